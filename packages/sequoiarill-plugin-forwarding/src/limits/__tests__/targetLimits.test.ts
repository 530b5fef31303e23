import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as LimitPlays from './limitPlay';

/** Time until routers keep to a limit, and the span in which requests are counted, milliseconds. */
const KNOWN_MS = 3_000;
const SPAN_MS = 4_000;
const PLAYED_MS = 20_000;
/** What the users allow in a span: so many times the limit, and so many requests more. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_MORE = 5;
/** Part of the limit that callers who press are to get at least. */
const USED_PART = 0.75;

function computeAllowed(perSecond: number): number {
  return (ALLOWED_FACTOR * perSecond * SPAN_MS) / 1_000 + ALLOWED_MORE;
}

async function playLimit(play: LimitPlays.LimitPlay, perSecond: number) {
  await play.runFor(1_000);
  play.setLimit(perSecond);
  await play.runFor(KNOWN_MS);
  const sinceMs = play.getNowMs();
  await play.runFor(PLAYED_MS);
  const used = play.countArrivals(sinceMs) / ((perSecond * PLAYED_MS) / 1_000);
  return { most: play.countMost(SPAN_MS, sinceMs), used };
}

describe('a limit that a target names', () => {
  for (const routers of [7, 80, 300]) {
    for (const perSecond of [0.4, 4.5, 60]) {
      it(`of ${perSecond} a second is kept and used by ${routers} routers`, async () => {
        // Guards against routers that each send as much as all of them may, and against idle parts.
        const play = LimitPlays.createLimitPlay({ routers, perSecond: 200 });
        const { most, used } = await playLimit(play, perSecond);
        expect(most).toBeLessThan(computeAllowed(perSecond) + 1);
        expect(used).toBeGreaterThan(USED_PART);
      });
    }
  }

  it('is used where most callers come to one router', async () => {
    // Guards against parts that lie idle at routers which nobody asks.
    const play = LimitPlays.createLimitPlay({ routers: 7, perSecond: 60, firstShare: 0.9 });
    const { most, used } = await playLimit(play, 20);
    expect(most).toBeLessThan(computeAllowed(20) + 1);
    expect(used).toBeGreaterThan(USED_PART);
  });

  it('is used by a zone that is cut off with its target', async () => {
    // Guards against parts that only routers behind the cut may use.
    const play = LimitPlays.createLimitPlay({ routers: 9, perSecond: 60 });
    play.setLimit(4);
    await play.runFor(KNOWN_MS);
    play.cutZone(1);
    const sinceMs = play.getNowMs();
    await play.runFor(PLAYED_MS);
    expect(play.countMost(SPAN_MS, sinceMs)).toBeLessThan(computeAllowed(4) + 1);
    expect(play.countArrivals(sinceMs)).toBeGreaterThan((USED_PART * 4 * PLAYED_MS) / 1_000);
  });

  for (const [routers, freeMs] of [
    [7, 3_000],
    [300, 10_000],
  ] as const) {
    it(`binds none of ${routers} routers once the target names none`, async () => {
      // Guards against routers that send nothing to a target which recovered long ago.
      const play = LimitPlays.createLimitPlay({ routers, perSecond: 400 });
      play.setLimit(4.5);
      await play.runFor(KNOWN_MS);
      expect(play.countOpen()).toBeLessThan(routers);
      play.setLimit(undefined);
      await play.runFor(freeMs);
      expect(play.countOpen()).toEqual(routers);
    });
  }

  it('of none at all still lets the target tell that it takes requests again', async () => {
    // Guards against a target that is never asked again after it named 0.
    const play = LimitPlays.createLimitPlay({ routers: 7, perSecond: 60 });
    play.setLimit(0);
    await play.runFor(KNOWN_MS);
    const sinceMs = play.getNowMs();
    await play.runFor(PLAYED_MS);
    expect(play.countMost(SPAN_MS, sinceMs)).toBeLessThan(computeAllowed(0) + 1);
    play.setLimit(undefined);
    await play.runFor(6_000);
    expect(play.countOpen()).toEqual(7);
  });
});
