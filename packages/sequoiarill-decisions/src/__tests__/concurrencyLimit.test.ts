import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ConcurrencyLimit from '../concurrencyLimit';

function createLimit() {
  return ConcurrencyLimit.createConcurrencyLimit({
    initial: 100,
    min: 10,
    max: 200,
    waitTargetMs: 100,
  });
}

/** Records ten first tokens a second for the given time; returns the time of its end. */
function simulateSeconds(
  limit: ConcurrencyLimit.ConcurrencyLimit,
  fromMs: number,
  seconds: number,
  getMs: (inFlight: number) => number,
): number {
  for (let step = 0; step < seconds * 10; step += 1) {
    const inFlight = limit.getLimit();
    limit.recordFirstToken(getMs(inFlight), inFlight, fromMs + step * 100);
  }
  return fromMs + seconds * 1_000;
}

describe('concurrencyLimit', () => {
  it('converges where first tokens are just in time, without oscillating', () => {
    // The engines run 80 at once; each one above that adds 20 ms to the wait. The limit must
    // approach this value from above and stay there: each dip idles engines, each peak makes first
    // tokens late.
    const limit = createLimit();
    const getMs = (inFlight: number) => Math.max(0, inFlight - 80) * 20;
    let nowMs = simulateSeconds(limit, 0, 120, getMs);
    const observedLimits: number[] = [];
    for (let minute = 0; minute < 10; minute += 1) {
      nowMs = simulateSeconds(limit, nowMs, 10, getMs);
      observedLimits.push(limit.getLimit());
    }
    expect(Math.min(...observedLimits) >= 80).toEqual(true);
    expect(Math.max(...observedLimits) <= 88).toEqual(true);
  });

  it('does not decrease while targets have free slots, however late first tokens are', () => {
    // Caches are cold after a restart, and first tokens are late at a fifth of the load. A lower
    // limit would refuse callers while engines idle, and the caches would stay cold without
    // prompts.
    const limit = createLimit();
    limit.setCapacity(100, 0.2);
    simulateSeconds(limit, 0, 120, () => 900);
    expect(limit.getLimit()).toEqual(100);
  });

  it('scales at once with the usable slots, in both directions', () => {
    const limit = createLimit();
    limit.setCapacity(512);
    limit.setCapacity(352);
    expect(limit.getLimit()).toEqual(68);
    limit.setCapacity(512);
    expect(limit.getLimit()).toEqual(100);
  });

  it('stays unchanged while it is not in use', () => {
    const limit = createLimit();
    for (let step = 0; step < 1_000; step += 1) limit.recordFirstToken(10, 5, step * 100);
    expect(limit.getLimit()).toEqual(100);
  });

  it('never leaves its bounds', () => {
    const limit = createLimit();
    simulateSeconds(limit, 0, 600, () => 5_000);
    expect(limit.getLimit()).toEqual(10);
    simulateSeconds(limit, 600_000, 1_200, () => 0);
    expect(limit.getLimit()).toEqual(200);
  });
});
