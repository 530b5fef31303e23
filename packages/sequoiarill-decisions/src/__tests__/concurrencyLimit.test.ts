import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ConcurrencyLimit from '../concurrencyLimit';

function createLimit() {
  return ConcurrencyLimit.createConcurrencyLimit({
    initial: 100,
    min: 10,
    max: 200,
    targetMs: 100,
  });
}

/** Ten first tokens a second for some seconds. */
function playSeconds(
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
  it('settles where first tokens are just in time, without swinging', () => {
    // The engines take 80 at once; each one more waits 20 ms. The limit must find that place from
    // above and stay there: each swing down idles engines, each swing up makes first tokens late.
    const limit = createLimit();
    const getMs = (inFlight: number) => Math.max(0, inFlight - 80) * 20;
    let nowMs = playSeconds(limit, 0, 120, getMs);
    const seen: number[] = [];
    for (let minute = 0; minute < 10; minute += 1) {
      nowMs = playSeconds(limit, nowMs, 10, getMs);
      seen.push(limit.getLimit());
    }
    expect(Math.min(...seen) >= 80).toEqual(true);
    expect(Math.max(...seen) <= 88).toEqual(true);
  });

  it('does not fall while targets have free slots, whatever first tokens say', () => {
    // Caches are cold after a restart and first tokens are late at a fifth of the load. A lower limit
    // would refuse callers in front of idle engines, and prompts that are never sent warm no cache.
    const limit = createLimit();
    limit.setCapacity(100, 0.2);
    playSeconds(limit, 0, 120, () => 900);
    expect(limit.getLimit()).toEqual(100);
  });

  it('follows the slots that are usable at once, both ways', () => {
    const limit = createLimit();
    limit.setCapacity(512);
    limit.setCapacity(352);
    expect(limit.getLimit()).toEqual(68);
    limit.setCapacity(512);
    expect(limit.getLimit()).toEqual(100);
  });

  it('stays where it is while nobody asks for more', () => {
    const limit = createLimit();
    for (let step = 0; step < 1_000; step += 1) limit.recordFirstToken(10, 5, step * 100);
    expect(limit.getLimit()).toEqual(100);
  });

  it('never leaves its bounds', () => {
    const limit = createLimit();
    playSeconds(limit, 0, 600, () => 5_000);
    expect(limit.getLimit()).toEqual(10);
    playSeconds(limit, 600_000, 1_200, () => 0);
    expect(limit.getLimit()).toEqual(200);
  });
});
