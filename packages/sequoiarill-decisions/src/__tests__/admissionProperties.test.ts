import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';

import * as Admission from '../admission';
import type { Permit, Ticket, TicketOutcome } from '../admissionTypes';
import * as ConcurrencyLimit from '../concurrencyLimit';

const LIMIT = 4;
const LIMITS = { tokensPerSecond: 2_000, concurrentRequests: 6 };

const step = fc.record({
  kind: fc.constantFrom('ask', 'end', 'leave', 'wait'),
  organisation: fc.integer({ min: 0, max: 4 }),
  tokens: fc.integer({ min: 1, max: 400 }),
  elapsedMs: fc.integer({ min: 0, max: 300 }),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Plays steps and fails as soon as a ticket is answered twice or too many run. */
function playSteps(steps: readonly Step[]) {
  const admission = Admission.createAdmission({
    nextRandom: () => 0.5,
    maxWaitMs: 5_000,
    maxQueueLength: 6,
    createLimit: () =>
      ConcurrencyLimit.createConcurrencyLimit({
        initial: LIMIT,
        min: LIMIT,
        max: LIMIT,
        targetMs: 30,
      }),
  });
  const running: Permit[] = [];
  const waiting = new Set<Ticket>();
  let nowMs = 0;

  function handleOutcomes(outcomes: readonly TicketOutcome[]): void {
    for (const { ticket, outcome } of outcomes) {
      if (!waiting.delete(ticket)) throw new Error('answered twice, or after the caller left');
      if (outcome.kind === 'admitted') running.push(outcome.permit);
    }
  }

  function playAsk(one: Step): void {
    const name = `organisation-${one.organisation}`;
    const answer = admission.admitRequest(
      {
        organisation: { name, weight: 1 + one.organisation, priority: 2, limits: LIMITS },
        model: 'model',
        promptTokens: one.tokens,
        maxOutputTokens: one.tokens,
      },
      nowMs,
    );
    if (answer.kind === 'admitted') running.push(answer.permit);
    if (answer.kind === 'queued') waiting.add(answer.ticket);
    if (answer.kind === 'refused' && answer.retryAfterSeconds < 1) throw new Error('no time');
  }

  function playOne(one: Step): void {
    nowMs += one.elapsedMs;
    if (one.kind === 'ask') playAsk(one);
    if (one.kind === 'end') {
      const permit = running.shift();
      if (permit !== undefined) {
        admission.releasePermit(permit, { outputTokens: one.tokens }, nowMs);
      }
    }
    if (one.kind === 'leave') {
      const [ticket] = waiting;
      if (ticket !== undefined) {
        waiting.delete(ticket);
        admission.removeTicket(ticket);
      }
    }
    handleOutcomes(admission.takeNext(nowMs));
    if (running.length > LIMIT) throw new Error('more run than the limit');
  }

  steps.forEach(playOne);
  for (const permit of running.splice(0)) {
    admission.releasePermit(permit, { outputTokens: 1 }, nowMs);
  }
  handleOutcomes(admission.takeNext(nowMs + 60_000));
  for (const permit of running.splice(0)) {
    admission.releasePermit(permit, { outputTokens: 1 }, nowMs);
  }
  return { waiting: waiting.size, lane: admission.listModelQueues()[0] };
}

describe('admission, whatever happens in whatever order', () => {
  it('answers each ticket once, keeps to the limit and ends with nothing held', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
        const { waiting, lane } = playSteps(steps);
        expect(waiting).toEqual(0);
        expect(lane?.running ?? 0).toEqual(0);
        expect(lane?.queued ?? 0).toEqual(0);
        expect(lane?.queuedWork ?? 0).toEqual(0);
      }),
      { seed: 20_261_202, numRuns: 300 },
    );
  });
});
