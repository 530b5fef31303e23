/**
 * Permits of running generations: charges each one, and updates the limits and estimates when it ends.
 *
 * Load pattern: callers and targets fail in any order. A permit that is released twice would raise the
 * concurrency limit permanently, and one that is never released would lower it. Permits are therefore
 * tracked by object identity, and a second release has no effect.
 */
import type { PermitUsage, Permit } from './admissionTypes';
import type { Cost } from './cost';
import type { ModelQueueSet } from './modelQueueSet';
import type { OrganisationLimiter } from './organisationLimits';
import type { OutputEstimates } from './outputEstimates';

export interface PermitInput {
  readonly organisation: string;
  readonly model: string;
  readonly cost: Cost;
  readonly queuedAtMs: number;
}

export interface Permits {
  readonly createPermit: (input: PermitInput, nowMs: number) => Permit;
  readonly recordFirstToken: (permit: Permit, ms: number, nowMs: number) => void;
  readonly releasePermit: (permit: Permit, use: PermitUsage, nowMs: number) => void;
}

export interface PermitsOptions {
  readonly modelQueues: ModelQueueSet;
  readonly limiter: OrganisationLimiter;
  readonly estimates: OutputEstimates;
  /** Prefill time is subtracted from the time to the first token to get the wait at the engine. */
  readonly prefillMsPerToken: number;
}

export function createPermits(options: PermitsOptions): Permits {
  const { modelQueues, limiter, estimates, prefillMsPerToken } = options;

  /** Generations of the model that were running when the permit was created, including its own. */
  const inFlightByPermit = new WeakMap<Permit, number>();

  function createPermit(input: PermitInput, nowMs: number): Permit {
    const { organisation, model, cost } = input;
    const modelQueue = modelQueues.getModelQueue(model);
    modelQueue.recordStart();
    const waitedMs = nowMs - input.queuedAtMs;
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
