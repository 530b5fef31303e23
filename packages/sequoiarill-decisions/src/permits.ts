/**
 * The generations that run: what each was charged, and what was learned when it ended.
 *
 * Load pattern: callers and targets that fail in every possible order. A permit that is given back
 * twice would raise the concurrency limit for good, one that is never given back would lower it; so a
 * permit is known by identity and its second return does nothing.
 */
import type { PermitUsage, Permit } from './admissionTypes';
import type { Cost } from './cost';
import type { ModelQueueSet } from './modelQueueSet';
import type { OrganisationLimiter } from './organisationLimits';
import type { OutputEstimates } from './outputEstimates';

export interface PermitQuestion {
  readonly organisation: string;
  readonly model: string;
  readonly cost: Cost;
  readonly queuedAtMs: number;
}

export interface Permits {
  readonly createPermit: (question: PermitQuestion, nowMs: number) => Permit;
  readonly recordFirstToken: (permit: Permit, ms: number, nowMs: number) => void;
  readonly releasePermit: (permit: Permit, use: PermitUsage, nowMs: number) => void;
}

export interface PermitsOptions {
  readonly modelQueues: ModelQueueSet;
  readonly limiter: OrganisationLimiter;
  readonly estimates: OutputEstimates;
  /** What is judged is waiting at the engine, so the prefill that a prompt needs is taken off. */
  readonly prefillMsPerToken: number;
}

export function createPermits(options: PermitsOptions): Permits {
  const { modelQueues, limiter, estimates, prefillMsPerToken } = options;

  /** How many ran beside each permit when it was given. */
  const inFlightByPermit = new WeakMap<Permit, number>();

  function createPermit(question: PermitQuestion, nowMs: number): Permit {
    const { organisation, model, cost } = question;
    const modelQueue = modelQueues.getModelQueue(model);
    modelQueue.recordStart();
    const waitedMs = nowMs - question.queuedAtMs;
    const permit = { organisation, model, cost, waitedMs, grantedAtMs: nowMs };
    inFlightByPermit.set(permit, modelQueue.getRunning());
    return permit;
  }

  function recordFirstToken(permit: Permit, ms: number, nowMs: number): void {
    const modelQueue = modelQueues.getModelQueue(permit.model);
    const prefillMs = permit.cost.uncachedTokens * prefillMsPerToken;
    const waitMs = Math.max(0, ms - prefillMs);
    modelQueue.limit.recordFirstToken(
      waitMs,
      inFlightByPermit.get(permit) ?? modelQueue.getRunning(),
      nowMs,
    );
  }

  function releasePermit(permit: Permit, use: PermitUsage, nowMs: number): void {
    if (!inFlightByPermit.delete(permit)) return;
    const { organisation, model, cost } = permit;
    limiter.releaseUse(organisation, cost.tokens, cost.promptTokens + use.outputTokens);
    const work = cost.work - cost.expectedOutputTokens + use.outputTokens;
    modelQueues.getModelQueue(model).recordEnd(work, nowMs - permit.grantedAtMs);
    if (use.isComplete === false) return;
    estimates.recordOutput(organisation, model, use.outputTokens);
  }

  return { createPermit, recordFirstToken, releasePermit };
}
