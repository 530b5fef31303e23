import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';

import * as Admission from '../admission';
import type { Permit, Ticket, TicketOutcome } from '../admissionTypes';
import * as ConcurrencyLimit from '../concurrencyLimit';

const LIMIT = 4;
const LIMITS = { tokensPerSecond: 2_000, concurrentRequests: 6 };

const stepArbitrary = fc.record({
  kind: fc.constantFrom('ask', 'end', 'leave', 'wait'),
  organisation: fc.integer({ min: 0, max: 4 }),
  tokens: fc.integer({ min: 1, max: 400 }),
  elapsedMs: fc.integer({ min: 0, max: 300 }),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/**
 * Simulates the steps; throws when a ticket gets two outcomes or more permits are held than the
 * limit.
 */
function simulateSteps(steps: readonly Step[]) {
  const admission = Admission.createAdmission({
    nextRandom: () => 0.5,
    maxWaitMs: 5_000,
    maxQueueLength: 6,
    createLimit: () =>
      ConcurrencyLimit.createConcurrencyLimit({
        initial: LIMIT,
        min: LIMIT,
        max: LIMIT,
        waitTargetMs: 30,
      }),
  });
  const running: Permit[] = [];
  const waiting = new Set<Ticket>();
  let nowMs = 0;

  function handleOutcomes(outcomes: readonly TicketOutcome[]): void {
    for (const { ticket, outcome } of outcomes) {
      if (!waiting.delete(ticket)) throw new Error('second outcome, or caller has left');
      if (outcome.kind === 'admitted') running.push(outcome.permit);
    }
  }

  function simulateRequest(step: Step): void {
    const name = `organisation-${step.organisation}`;
    const result = admission.admitRequest(
      {
        organisation: { name, weight: 1 + step.organisation, priority: 2, limits: LIMITS },
        model: 'model',
        promptTokens: step.tokens,
        maxOutputTokens: step.tokens,
      },
      nowMs,
    );
    if (result.kind === 'admitted') running.push(result.permit);
    if (result.kind === 'queued') waiting.add(result.ticket);
    if (result.kind === 'refused' && result.retryAfterSeconds < 1) throw new Error('no retry time');
  }

  function simulateStep(step: Step): void {
    nowMs += step.elapsedMs;
    if (step.kind === 'ask') simulateRequest(step);
    if (step.kind === 'end') {
      const permit = running.shift();
      if (permit !== undefined) {
        admission.releasePermit(permit, { outputTokens: step.tokens }, nowMs);
      }
    }
    if (step.kind === 'leave') {
      const [ticket] = waiting;
      if (ticket !== undefined) {
        waiting.delete(ticket);
        admission.removeTicket(ticket);
      }
    }
    handleOutcomes(admission.takeNext(nowMs));
    if (running.length > LIMIT) throw new Error('more generations run than the limit allows');
  }

  steps.forEach(simulateStep);
  for (const permit of running.splice(0)) {
    admission.releasePermit(permit, { outputTokens: 1 }, nowMs);
  }
  handleOutcomes(admission.takeNext(nowMs + 60_000));
  for (const permit of running.splice(0)) {
    admission.releasePermit(permit, { outputTokens: 1 }, nowMs);
  }
  return { waiting: waiting.size, modelQueue: admission.listModelQueues()[0] };
}

describe('admission under random sequences of events', () => {
  it('gives each ticket one outcome, respects the limit and ends with nothing held', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 120 }), (steps) => {
        const { waiting, modelQueue } = simulateSteps(steps);
        expect(waiting).toEqual(0);
        expect(modelQueue?.running ?? 0).toEqual(0);
        expect(modelQueue?.queued ?? 0).toEqual(0);
        expect(modelQueue?.queuedWork ?? 0).toEqual(0);
      }),
      { seed: 20_261_202, numRuns: 300 },
    );
  });
});
