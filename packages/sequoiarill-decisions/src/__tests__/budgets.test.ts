import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ContinuationPacer from '../continuationPacer';
import * as RetryBudget from '../retryBudget';
import * as StallPolicy from '../stallPolicy';

describe('retryBudget', () => {
  it('bounds retries to a share of the requests when everything fails', () => {
    // Every target of a model fails at once. Each request would be tried three more times, and the
    // load on the remaining capacity would rise fourfold.
    const budget = RetryBudget.createRetryBudget({ ratio: 0.1, minPerSecond: 1, burst: 10 });
    let retries = 0;
    for (let index = 0; index < 10_000; index += 1) {
      budget.recordRequest(index);
      if (budget.takeRetry(index)) retries += 1;
    }
    expect(retries).toEqual(1_019);
  });

  it('does not run backwards when a late time is passed', () => {
    const budget = RetryBudget.createRetryBudget({ ratio: 0, minPerSecond: 1, burst: 1 });
    expect(budget.takeRetry(1_000)).toEqual(true);
    expect(budget.takeRetry(0)).toEqual(false);
    expect(budget.takeRetry(1_000)).toEqual(false);
    expect(budget.takeRetry(2_000)).toEqual(true);
  });
});

describe('continuationPacer', () => {
  it('spreads the continuations of a loss and starts every one within the bound', () => {
    // A zone is lost and one remaining target gets 500 streams of 2,000 tokens each: 125 s at its
    // prefill rate. All must start within the bound, and the first ones at the target's own rate.
    const pacer = ContinuationPacer.createContinuationPacer({ tokensPerSecond: 8_000 });
    const starts = Array.from({ length: 500 }, () => pacer.reserveStart(0, 't', 2_000).startAtMs);
    expect(starts[0]).toEqual(0);
    expect(Math.round(starts[1] ?? 0)).toEqual(238);
    expect(Math.max(...starts) <= 2_500).toEqual(true);
    expect([...starts].sort((left, right) => left - right)).toEqual(starts);
  });

  it('starts a single continuation at once, whatever the backlog of other targets', () => {
    const pacer = ContinuationPacer.createContinuationPacer();
    for (let index = 0; index < 50; index += 1) pacer.reserveStart(0, 'busy', 4_000);
    expect(pacer.reserveStart(100, 'idle', 4_000).startAtMs).toEqual(100);
  });
});

describe('stallPolicy', () => {
  it('keeps inside the bounds of each preference before anything is measured', () => {
    const policy = StallPolicy.createStallPolicy();
    expect(policy.getLimits('t', 'resumeLatency').gapMs).toEqual(900);
    expect(policy.getLimits('t', 'resourceUse').gapMs).toEqual(2_700);
  });

  it('follows measured gaps down and up again', () => {
    // Without load, engines send a token every 30 ms, so a gap of 300 ms means that the target is
    // lost. Under load the same engines sometimes pause for 200 ms, and the same threshold would
    // cut healthy streams.
    const policy = StallPolicy.createStallPolicy();
    for (let index = 0; index < 1_000; index += 1) policy.recordGap('t', 30);
    expect(policy.getLimits('t', 'resumeLatency').gapMs).toEqual(300);
    expect(policy.getLimits('t', 'resourceUse').gapMs).toEqual(1_500);
    for (let index = 0; index < 1_000; index += 1) {
      policy.recordGap('t', index % 100 === 0 ? 200 : 60);
    }
    expect(policy.getLimits('t', 'resumeLatency').gapMs > 550).toEqual(true);
  });

  it('leaves room for the prefill of a long prompt', () => {
    const policy = StallPolicy.createStallPolicy();
    const short = policy.getLimits('t', 'resumeLatency', 100).firstTokenMs;
    const long = policy.getLimits('t', 'resumeLatency', 30_000).firstTokenMs;
    expect(long - short > 5_000).toEqual(true);
  });
});
