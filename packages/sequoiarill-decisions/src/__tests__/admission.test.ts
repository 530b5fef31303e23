import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Admission from '../admission';
import type { AdmissionDecision, AdmissionRequest } from '../admissionTypes';
import * as ConcurrencyLimit from '../concurrencyLimit';

/** Longer than the 750 ms that one slot takes to become free in these tests. */
const LONG_MAX_WAIT_MS = 2_000;
const LIMITS = { tokensPerSecond: 1e9, concurrentRequests: 1e9 };

function createFixedAdmission(
  limit: number,
  maxQueueLength?: number,
  maxWaitMs = LONG_MAX_WAIT_MS,
) {
  return Admission.createAdmission({
    maxWaitMs,
    nextRandom: () => 0.5,
    createLimit: () =>
      ConcurrencyLimit.createConcurrencyLimit({
        initial: limit,
        min: 1,
        max: limit,
        waitTargetMs: 500,
      }),
    ...(maxQueueLength === undefined ? {} : { maxQueueLength }),
  });
}

function buildRequest(name: string, change: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    organisation: { name, weight: 1, priority: 5, limits: LIMITS },
    model: 'advisor',
    promptTokens: 100,
    maxOutputTokens: 20,
    ...change,
  };
}

function getPermit(decision: AdmissionDecision) {
  if (decision.kind !== 'admitted') throw new Error(`not admitted: ${decision.kind}`);
  return decision.permit;
}

describe('admission', () => {
  it('starts a waiting request when a running one ends', () => {
    const admission = createFixedAdmission(1);
    const permit = getPermit(admission.admitRequest(buildRequest('a'), 0));
    const waiting = admission.admitRequest(buildRequest('a'), 10);
    expect(waiting.kind).toEqual('queued');
    expect(admission.takeNext(20)).toEqual([]);
    admission.releasePermit(permit, { outputTokens: 20 }, 100);
    const [started] = admission.takeNext(100);
    expect(started?.outcome.kind).toEqual('admitted');
  });

  it('refuses an organisation over its limit with a reason and retry time of its own', () => {
    const admission = createFixedAdmission(100);
    const limits = { tokensPerSecond: 60, concurrentRequests: 100 };
    const organisation = { name: 'a', weight: 1, priority: 5, limits };
    const first = admission.admitRequest(buildRequest('a', { organisation }), 0);
    expect(first.kind).toEqual('admitted');
    admission.admitRequest(buildRequest('a', { organisation }), 0);
    const third = admission.admitRequest(buildRequest('a', { organisation }), 0);
    expect(third).toLooseEqual({
      kind: 'refused',
      reason: 'organisationLimit',
      retryAfterSeconds: 1,
      message: 'organisation a has used its limit of 60 tokens a second',
    });
    expect(admission.admitRequest(buildRequest('b'), 0).kind).toEqual('admitted');
  });

  it('drops a ticket at its deadline and never hands it out afterwards', () => {
    // A caller was queued on an estimate that turns out wrong, since all running generations are
    // long. It must be refused at its deadline with a retry time, and the slot that becomes free
    // later must not go to a caller that has left.
    const admission = createFixedAdmission(1);
    const permit = getPermit(admission.admitRequest(buildRequest('a'), 0));
    admission.admitRequest(buildRequest('a'), 0);
    const deadlineMs = admission.getNextDeadlineMs() ?? 0;
    expect(admission.takeNext(deadlineMs - 1)).toEqual([]);
    const [dropped] = admission.takeNext(deadlineMs);
    expect(dropped?.outcome.kind).toEqual('refused');
    admission.releasePermit(permit, { outputTokens: 20 }, deadlineMs + 1);
    expect(admission.takeNext(deadlineMs + 1)).toEqual([]);
  });

  it('refuses at once a request that cannot start in time', () => {
    // All slots are taken by answers that end in 750 ms, and callers wait for 400 ms at most. If it
    // were queued, this caller would get the same refusal 400 ms later.
    const admission = createFixedAdmission(1, undefined, 400);
    admission.admitRequest(buildRequest('a'), 0);
    const refused = admission.admitRequest(buildRequest('a'), 0);
    expect(refused).toLooseEqual({
      kind: 'refused',
      reason: 'overloaded',
      retryAfterSeconds: 3,
      message: 'overloaded: expected wait of 758 ms for model advisor is above 400 ms',
    });
  });

  it('charges nothing for a caller who left the queue', () => {
    const admission = createFixedAdmission(1);
    const permit = getPermit(admission.admitRequest(buildRequest('a'), 0));
    const waiting = admission.admitRequest(buildRequest('a'), 0);
    if (waiting.kind !== 'queued') throw new Error('not queued');
    admission.removeTicket(waiting.ticket);
    admission.removeTicket(waiting.ticket);
    admission.releasePermit(permit, { outputTokens: 20 }, 50);
    expect(admission.takeNext(50)).toEqual([]);
    expect(admission.getNextDeadlineMs()).toEqual(undefined);
    expect(admission.listModelQueues()[0]?.queuedWork).toEqual(0);
  });

  it('estimates the length of answers from complete ones only', () => {
    // An engine dies and cuts off a hundred answers after a few tokens. If these counted as the
    // usual length, the organisation would be charged only a few tokens for each long answer
    // afterwards.
    const admission = createFixedAdmission(10);
    const long = { maxOutputTokens: 1_000 };
    for (let index = 0; index < 100; index += 1) {
      const permit = getPermit(admission.admitRequest(buildRequest('a', long), index));
      admission.releasePermit(permit, { outputTokens: 3, isComplete: false }, index);
    }
    expect(getPermit(admission.admitRequest(buildRequest('a', long), 200)).cost.tokens).toEqual(
      600,
    );
    for (let index = 0; index < 100; index += 1) {
      const permit = getPermit(admission.admitRequest(buildRequest('b', long), index));
      admission.releasePermit(permit, { outputTokens: 3 }, index);
    }
    expect(getPermit(admission.admitRequest(buildRequest('b', long), 200)).cost.tokens).toEqual(
      103,
    );
  });

  it('releases a permit once, however often it is returned', () => {
    const admission = createFixedAdmission(1);
    const permit = getPermit(admission.admitRequest(buildRequest('a'), 0));
    admission.releasePermit(permit, { outputTokens: 5 }, 10);
    admission.releasePermit(permit, { outputTokens: 5 }, 10);
    expect(admission.listModelQueues()[0]?.running).toEqual(0);
  });

  it('refuses the least important work first while more important work waits', () => {
    // Field technicians (priority 1) and a nightly batch (priority 9) use a saturated system. The
    // batch must be refused with a retry time, so that the technicians are still queued.
    const admission = createFixedAdmission(1);
    const urgent = { name: 'field', weight: 1, priority: 1, limits: LIMITS };
    const batch = { name: 'batch', weight: 1, priority: 9, limits: LIMITS };
    admission.admitRequest(buildRequest('field', { organisation: urgent }), 0);
    admission.admitRequest(buildRequest('field', { organisation: urgent }), 0);
    const refused = admission.admitRequest(buildRequest('batch', { organisation: batch }), 1);
    expect(refused).toLooseEqual({
      kind: 'refused',
      reason: 'overloaded',
      retryAfterSeconds: 3,
      message: 'overloaded: more important work waits for model advisor',
    });
  });

  it('evicts from a full queue a request of the organisation that filled it', () => {
    const admission = createFixedAdmission(1, 2);
    const small = { promptTokens: 1, maxOutputTokens: 1 };
    admission.admitRequest(buildRequest('large', small), 0);
    admission.admitRequest(buildRequest('large', small), 0);
    admission.admitRequest(buildRequest('large', small), 0);
    expect(admission.admitRequest(buildRequest('large', small), 0).kind).toEqual('refused');
    expect(admission.admitRequest(buildRequest('little', small), 0).kind).toEqual('queued');
    const [dropped] = admission.takeNext(0);
    expect(dropped?.ticket.organisation).toEqual('large');
    expect(dropped?.outcome.kind).toEqual('refused');
  });
});
