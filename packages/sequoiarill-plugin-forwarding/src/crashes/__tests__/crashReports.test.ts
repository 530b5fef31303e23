import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Routers from './routers';
import type { PlayedRouter, PlayedRouters } from './routers';

/** Every router in touch is to know within this of the third crash, milliseconds. */
const KNOWN_MS = 3_000;
const CONTENT = '00000000000000c1';

/** Each crash is seen by another router, as a balancer spreads a caller's repeats. */
async function playCrashes(
  played: PlayedRouters,
  firstTarget = 0,
  among: readonly PlayedRouter[] = played.routers,
): Promise<void> {
  for (let index = firstTarget; index < firstTarget + 3; index += 1) {
    const router = among[(index * 5) % among.length];
    if (router !== undefined) await played.crash(router, CONTENT, `t${index}`);
  }
  await played.clock.runFor(KNOWN_MS);
}

function countBlocking(routers: readonly PlayedRouter[]): number {
  return routers.filter(({ reports }) => reports.getBlockedMs(CONTENT) > 0).length;
}

describe('crashes that several routers see', () => {
  for (const count of [7, 80, 300]) {
    it(`are known to all of ${count} routers`, async () => {
      // Guards against a caller whose repeats reach other routers than the one that saw the crashes.
      const played = Routers.playRouters(count);
      await playCrashes(played);
      expect(countBlocking(played.routers)).toEqual(count);
      played.stop();
    });

    it(`are known to all of ${count} routers while the store is away`, async () => {
      // Guards against knowledge that only the store passes on.
      const played = Routers.playRouters(count);
      played.setStoreAway(true);
      await playCrashes(played);
      expect(countBlocking(played.routers)).toEqual(count);
      played.stop();
    });

    it(`are known on both sides of a cut of ${count} routers, each for its own`, async () => {
      // Guards against counting routers that all lie behind the cut.
      const played = Routers.playRouters(count);
      played.cutZone(0);
      const inside = played.routers.filter(({ zone }) => zone === 0);
      await playCrashes(played, 0, inside);
      expect(countBlocking(inside)).toEqual(inside.length);
      played.cutZone(undefined);
      await played.clock.runFor(KNOWN_MS);
      expect(countBlocking(played.routers)).toEqual(count);
      played.stop();
    });
  }

  it('are counted together once the routers that count are known or reached again', async () => {
    // Guards against crashes that are seen while a router knows few others, or is cut off.
    const played = Routers.playRouters(9);
    const inside = played.routers.filter(({ zone }) => zone === 0);
    const outside = played.routers.filter(({ zone }) => zone !== 0);
    played.cutZone(0);
    const [first, second] = [inside[0], outside[0]];
    if (first === undefined || second === undefined) throw new Error('too few routers');
    await played.crash(first, CONTENT, 't0');
    await played.crash(first, CONTENT, 't1');
    await played.crash(second, CONTENT, 't2');
    await played.clock.runFor(1_000);
    expect(countBlocking(played.routers)).toEqual(0);
    played.cutZone(undefined);
    await played.clock.runFor(KNOWN_MS);
    expect(countBlocking(played.routers)).toEqual(9);
    played.stop();
  });

  it('are known to a router that starts later', async () => {
    // Guards against restarted routers that crash as many targets again.
    for (const isAway of [false, true]) {
      const played = Routers.playRouters(7);
      played.setStoreAway(isAway);
      await playCrashes(played);
      const started = played.addRouter();
      await played.clock.runFor(KNOWN_MS);
      expect(started.reports.getBlockedMs(CONTENT)).toBeGreaterThan(0);
      played.stop();
    }
  });

  it('block no content that was answered meanwhile, unless it crashes targets again', async () => {
    // Guards against a sound content, asked for often, that is refused after crashes of any cause.
    const played = Routers.playRouters(80);
    await playCrashes(played);
    expect(countBlocking(played.routers)).toEqual(80);
    played.routers[17]?.reports.recordAnswer(CONTENT);
    await played.clock.runFor(KNOWN_MS);
    expect(countBlocking(played.routers)).toEqual(0);
    const started = played.addRouter();
    await played.clock.runFor(KNOWN_MS);
    expect(started.reports.getBlockedMs(CONTENT)).toEqual(0);
    await playCrashes(played, 3);
    expect(countBlocking(played.routers)).toEqual(81);
    played.stop();
  });

  it('cost a few messages for each request that was lost, however many routers there are', async () => {
    // Guards against a lost zone whose streams are each told to the whole fleet.
    const played = Routers.playRouters(300);
    for (let index = 0; index < 1_000; index += 1) {
      const content = index.toString(16).padStart(16, '0');
      const router = played.routers[index % 300];
      if (router !== undefined) await played.crash(router, content, `t${index % 40}`);
    }
    await played.clock.runFor(KNOWN_MS);
    expect(played.countCalls()).toBeLessThan(2_001);
    expect(played.routers.every(({ reports }) => reports.dumpState().blocked === 0)).toEqual(true);
    played.stop();
  });
});
