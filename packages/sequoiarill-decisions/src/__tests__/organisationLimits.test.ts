import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as OrganisationLimits from '../organisationLimits';
import * as RetryAfter from '../retryAfter';

const LIMITS = { tokensPerSecond: 1_000, concurrentRequests: 100 };

function buildQuery(nowMs: number, tokens: number, share = 1) {
  return { organisation: 'shop', limits: LIMITS, share, tokens, nowMs };
}

describe('organisationLimits', () => {
  it('admits the tokens per second plus the burst, but no more', () => {
    // A shop sends twice its limit for a minute. It gets its limit plus a burst of five seconds.
    const limiter = OrganisationLimits.createOrganisationLimiter();
    let served = 0;
    for (let step = 0; step < 600; step += 1) {
      if (limiter.reserveUse(buildQuery(step * 100, 200)).kind === 'within') {
        served += 200;
        limiter.releaseUse('shop', 200, 200);
      }
    }
    expect(served <= 60_000 + 5_000).toEqual(true);
    expect(served >= 60_000).toEqual(true);
  });

  it('applies the share of the limit that this router has', () => {
    const limiter = OrganisationLimits.createOrganisationLimiter();
    expect(limiter.reserveUse(buildQuery(0, 500, 0.1)).kind).toEqual('within');
    const over = limiter.reserveUse(buildQuery(0, 200, 0.1));
    expect(over).toLooseEqual({
      kind: 'over',
      retryAfterSeconds: 2,
      message: 'organisation shop has used its limit of 1000 tokens a second',
    });
  });

  it('runs a request larger than the capacity once the budget is full', () => {
    // A contract of 60,000 tokens never fits into a budget of five seconds at 1,000 tokens a second. The
    // request must run nevertheless; it makes the balance negative, and later requests wait.
    const limiter = OrganisationLimits.createOrganisationLimiter();
    expect(limiter.reserveUse(buildQuery(0, 60_000)).kind).toEqual('within');
    expect(limiter.reserveUse(buildQuery(1_000, 10)).kind).toEqual('over');
    expect(limiter.reserveUse(buildQuery(56_000, 10)).kind).toEqual('within');
  });

  it('releases the tokens that an answer did not use', () => {
    const limiter = OrganisationLimits.createOrganisationLimiter();
    limiter.reserveUse(buildQuery(0, 5_000));
    limiter.releaseUse('shop', 5_000, 1_000);
    expect(limiter.getRunning('shop')).toEqual(0);
    expect(limiter.reserveUse(buildQuery(0, 4_000)).kind).toEqual('within');
  });
});

describe('retryAfter', () => {
  it('spreads the retries of refused callers over a time that grows with their number', () => {
    // A thousand callers are refused in one second. With the same Retry-After time for all, they would
    // all retry in the same second and be refused again, until they time out.
    let turn = 0;
    const retryAfter = RetryAfter.createRetryAfter(() => {
      turn += 1;
      return (turn * 0.618_033_988_7) % 1;
    });
    for (let index = 0; index < 100; index += 1) retryAfter.recordAdmitted(index * 10);
    const seconds = Array.from({ length: 1_000 }, (_value, index) => {
      retryAfter.recordRefused(index);
      return retryAfter.computeSeconds(400, 1_000);
    });
    expect(new Set(seconds.slice(-200)).size > 10).toEqual(true);
    expect(Math.max(...seconds) <= 30).toEqual(true);
    expect(Math.min(...seconds) >= 1).toEqual(true);
  });

  it('returns a short time when few are refused', () => {
    const retryAfter = RetryAfter.createRetryAfter(() => 0.99);
    for (let index = 0; index < 100; index += 1) retryAfter.recordAdmitted(index);
    expect(retryAfter.computeSeconds(400, 100)).toEqual(2);
  });
});
