import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Room from '../..';
import * as Random from '../../simulation/random';

const BAD_NUMBERS = [Number.NaN, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY, -5];

describe('urgency', () => {
  // A bad priority must neither be served first nor make the scale fail.
  it('spreads priorities over three levels, and takes a bad one for the least urgent', () => {
    const scale = Room.createUrgencyScale([7, 0, 3, 3, Number.NaN, 9]);
    expect([0, 3, 7, 9].map(scale.getLevel)).toEqual([0, 0, 1, 2]);
    expect([-1, 5, 100, Number.NaN].map(scale.getLevel)).toEqual([0, 1, 2, 2]);
    const counts = [[], [4], [4, 4, 5], [1, 2, 3, 4]].map((list) =>
      Room.createUrgencyScale(list).countLevels(),
    );
    expect(counts).toEqual([1, 1, 2, 3]);
  });

  it('ranks begun streams before new ones, and those beyond their share last', () => {
    const list = (hasBegun: boolean, isWithinShare: boolean) =>
      [0, 1, 2].map((level) => Room.computeRank({ level, hasBegun, isWithinShare }));
    expect(list(true, false)).toEqual([0, 2, 4]);
    expect(list(false, true)).toEqual([1, 3, 5]);
    expect(list(false, false)).toEqual([6, 7, 8]);
  });
});

describe('shares of organisations', () => {
  it('meets small demands and fills a large one in the order of its levels', () => {
    const work = [
      { organisation: 'large', demand: [20, 60, 60] },
      { organisation: 'small', demand: [2, 2, 1] },
      { organisation: 'idle', demand: [] },
    ];
    // 90 of 100 are shared out: 5 to the small one, and 20 + 20 + 20 + 25 of the large one's.
    const fractions = Room.computeShareFractions(work, 100);
    expect(fractions.get('small')).toEqual([1, 1, 1]);
    const large = (fractions.get('large') ?? []).map((value) => Math.round(value * 1_000));
    expect(large).toEqual([1_000, 750, 333]);
    expect(Room.computeShareFractions(work, 145).get('large')).toEqual([1, 1, 1]);
  });

  // One bad number in a report must not take the room of the other organisations.
  it('stays within 0 to 1 and within the capacity for any numbers', () => {
    const nextRandom = Random.createRandom(3);
    const pickNumber = () => [...BAD_NUMBERS, nextRandom() * 50][Math.floor(nextRandom() * 25)];
    for (let run = 0; run < 500; run += 1) {
      const capacity = nextRandom() * 300;
      const work = Array.from({ length: 6 }, (_, index) => ({
        organisation: `organisation-${index}`,
        demand: [0, 1, 2].map(() => pickNumber() ?? nextRandom() * 50),
      }));
      const fractions = Room.computeShareFractions(work, capacity);
      const parts = work.flatMap(({ organisation, demand }) =>
        demand.map((value, level) => ({ value, fraction: fractions.get(organisation)?.[level] })),
      );
      expect(parts.every(({ fraction = -1 }) => fraction >= 0 && fraction <= 1)).toEqual(true);
      const valid = parts.filter(({ value }) => value > 0 && Number.isFinite(value));
      const marked = valid.reduce((sum, { value, fraction = 0 }) => sum + value * fraction, 0);
      expect(marked).toBeLessThanOrEqual(capacity + 1e-6);
    }
    const fractions = Room.computeShareFractions([{ organisation: '', demand: [1] }], NaN);
    expect(fractions.get('')).toEqual([0]);
  });

  it('marks the given part of a key, and of many keys with one request each', () => {
    const marker = Room.createShareMarker();
    const count = (total: number, getKey: (index: number) => string) =>
      Array.from({ length: total }, (_, index) => marker.markNext(getKey(index), 0.3)).filter(
        Boolean,
      ).length;
    expect(Math.abs(count(1_000, () => 'one') - 300)).toBeLessThanOrEqual(1);
    expect(Math.abs(count(10_000, (index) => `key-${index}`) - 3_000)).toBeLessThan(300);
    expect([1, 2, Number.NaN, -1, 0].map((part) => marker.markNext('one', part))).toEqual([
      ...[true, true, false, false, false],
    ]);
  });

  it('measures rates, sums organisations beyond the limit and forgets idle ones', () => {
    const rates = Room.createWorkRates();
    for (let ms = 0; ms < 20_000; ms += 100) rates.recordWork('steady', 1, 5, ms);
    BAD_NUMBERS.forEach((work) => rates.recordWork('steady', 1, work, 20_000));
    const [steady] = rates.listRates(20_000);
    expect(Math.abs((steady?.rates[1] ?? 0) - 50)).toBeLessThan(3);
    for (let index = 0; index < 5_000; index += 1) rates.recordWork(`o${index}`, 0, 1, 20_000);
    expect(rates.listRates(20_000).length).toBeLessThanOrEqual(1_025);
    expect(rates.listRates(60_000)).toEqual([]);
  });
});

function createLine() {
  const clock = { nowMs: 0 };
  const line = Room.createWaitingLine({ getNowMs: () => clock.nowMs });
  const add = (rank: number, isReturning = false, maxWaitMs = 2_000) => {
    const outcome = line.add({ rank, isReturning, maxWaitMs });
    return outcome.kind === 'waits' ? outcome.waiter : undefined;
  };
  return { clock, line, add };
}

describe('the waiting line', () => {
  it('orders by rank, then returning callers, then arrival, and lets the first few ask', () => {
    const { line, add } = createLine();
    const ranks = [add(5), add(3, true), add(3), add(1), add(3)];
    const waiters = ranks.flatMap((waiter) => waiter ?? []);
    expect(waiters.map(line.getPlace)).toEqual([4, 3, 1, 0, 2]);
    expect(waiters.map(line.isAskAllowed)).toEqual([false, true, true, true, true]);
    const [first, second] = waiters;
    if (first === undefined || second === undefined) throw new Error('a waiter was refused');
    line.setRank(first, 1);
    expect(waiters.map(line.getPlace)).toEqual([0, 4, 2, 1, 3]);
    expect([line.remove(second), line.remove(second)]).toEqual([true, false]);
    expect(line.getPlace(second)).toEqual(undefined);
    const summary = line.listRanks().map(({ rank, waiting }) => [rank, waiting]);
    expect(summary).toEqual([
      [1, 2],
      [3, 2],
    ]);
  });

  // After a quiet time no stream has started for long, which does not tell that none could.
  it('refuses none at once before starts are known, also after a quiet time', () => {
    const { clock, line, add } = createLine();
    const waiter = add(1);
    clock.nowMs = 2_000;
    line.recordStart(1);
    if (waiter !== undefined) line.remove(waiter);
    clock.nowMs = 600_000;
    for (let index = 0; index < 50; index += 1) expect(add(1)).not.toEqual(undefined);
    clock.nowMs += 3_000;
    expect(add(1)).not.toEqual(undefined);
    // Nothing has started for as long as rates are measured, so only the first place has a chance.
    clock.nowMs += 2_000;
    expect([add(1), add(0)].map(Boolean)).toEqual([false, true]);
  });

  it('refuses at once what cannot start in time, and tells when to come back', () => {
    const { clock, line, add } = createLine();
    for (let index = 0; index < 20; index += 1) add(3);
    for (; clock.nowMs < 5_000; clock.nowMs += 500) line.recordStart(3);
    // Two starts a second: 20 streams take 10 s, and 2 s may be waited.
    const outcome = line.add({ rank: 3, isReturning: false, maxWaitMs: 2_000 });
    const retryAfterMs = outcome.kind === 'refused' ? outcome.retryAfterMs : 0;
    expect(retryAfterMs >= 6_000 && retryAfterMs <= 10_000).toEqual(true);
    expect(add(1)).not.toEqual(undefined);
    expect(add(3, true, 20_000)).not.toEqual(undefined);
    // More urgent streams take all starts, so a second one of rank 5 has no chance.
    expect([add(5, false, 8_000), add(5, false, 8_000)].map(Boolean)).toEqual([true, false]);
    expect(Room.computeRetryAfterMs(100, 30_000)).toEqual(500);
    expect(Room.computeRetryAfterMs(20_000, 30_000)).toEqual(10_000);
  });

  it('bounds the streams that wait and keeps places for the most urgent level', () => {
    const { line, add } = createLine();
    for (let index = 0; index < 5_000; index += 1) add(5);
    expect(line.count()).toEqual(3_000);
    for (let index = 0; index < 5_000; index += 1) add(1);
    expect(line.count()).toEqual(4_000);
  });
});

const ENGINE = {
  ...{ slots: 6, running: 4, queued: 0, sentSince: 1, totalTokens: 88_000, usedTokens: 40_000 },
  ...{ sentTokens: 9_000, copyTokens: 8_000, usualPromptTokens: 8_000, usualOutputTokens: 1_000 },
};
const ENTRY = {
  ...{ room: { freeSlots: 1, freeTokens: 9_000 }, neededTokens: 9_000, rank: 3, level: 1 },
  ...{ waitedMs: 0, objectiveMs: 4_000, promptsAhead: 2, firstEventMs: 1_200 },
};

describe('room at an engine', () => {
  it('leaves out what was sent, copied and will grow, and prompts that wait for cache', () => {
    expect(Room.computeEngineRoom(ENGINE)).toEqual({ freeSlots: 1, freeTokens: 29_000 });
    const waiting = Room.computeEngineRoom({ ...ENGINE, queued: 1 });
    expect(waiting).toEqual({ freeSlots: 0, freeTokens: 20_000 });
    // More queued than slots: one waits for cache at most where one slot is free.
    expect(Room.computeEngineRoom({ ...ENGINE, running: 6, queued: 9 }).freeTokens).toEqual(28_000);
    const unknown = { ...ENGINE, slots: undefined, totalTokens: 0, queued: 0 };
    expect(Room.computeEngineRoom(unknown)).toEqual({ freeSlots: Infinity, freeTokens: Infinity });
  });

  it('decides by the table of cases', () => {
    const decide = (change: Partial<Room.EntryQuery>) =>
      Room.decideEntry({ ...ENTRY, ...change }).kind;
    const full = { room: { freeSlots: 0, freeTokens: 9_000 } };
    const noTokens = { room: { freeSlots: 1, freeTokens: 8_999 } };
    expect(decide({})).toEqual('enter');
    expect(decide({ firstEventMs: 1_201 })).toEqual('wait');
    expect(decide({ firstEventMs: 2_400, level: 0, rank: 1 })).toEqual('enter');
    expect(decide({ firstEventMs: 9_000, promptsAhead: 0 })).toEqual('enter');
    expect(decide({ ...full })).toEqual('queue');
    expect(decide({ ...full, rank: 7, promptsAhead: 0 })).toEqual('wait');
    expect(decide({ ...noTokens, waitedMs: 9_000 })).toEqual('wait');
    expect(decide({ ...noTokens, level: 0, waitedMs: 1_199 })).toEqual('wait');
    expect(decide({ ...noTokens, level: 0, waitedMs: 1_200 })).toEqual('preempt');
    // A report without run ids: all five running requests count as short prompts ahead.
    const listsNoRuns = { promptsAhead: 5, firstEventMs: 5 * 30 * 0.125 };
    expect(decide({ ...listsNoRuns, rank: 8, level: 2 })).toEqual('enter');
  });
});

describe('speeds of engines', () => {
  function createSpeeds() {
    const clock = { nowMs: 0 };
    return { clock, speeds: Room.createEngineSpeeds({ getNowMs: () => clock.nowMs }) };
  }

  it('compares engines with the median once three are known, and forgets', () => {
    const { clock, speeds } = createSpeeds();
    speeds.recordGapQuartile('slow', 40);
    speeds.recordGapQuartile('b', 20);
    expect(speeds.getFactor('slow')).toEqual(1);
    clock.nowMs = 1_000;
    speeds.recordGapQuartile('c', 20);
    BAD_NUMBERS.forEach((ms) => speeds.recordPrefill('c', 8_000, ms));
    speeds.recordGapQuartile('huge', 1e9);
    speeds.recordGapQuartile('d', 20);
    const list = ['slow', 'b', 'huge', 'unknown'].map(speeds.getFactor);
    expect(list).toEqual([2, 1, 8, 1]);
    expect(speeds.listNotable().map(({ engine }) => engine)).toEqual(['huge', 'slow']);
    clock.nowMs = 61_001;
    expect([speeds.getFactor('slow'), speeds.listNotable().length]).toEqual([1, 0]);
  });

  // Routers that passed on what others told them would keep an old factor alive among themselves.
  it('uses what other routers tell with less weight, and does not pass it on', () => {
    const { speeds } = createSpeeds();
    for (const engine of ['a', 'b', 'c']) speeds.recordGapQuartile(engine, 20);
    [8, ...BAD_NUMBERS].forEach((factor) => speeds.recordReported('a', factor));
    speeds.recordReported('told', 100);
    expect([speeds.getFactor('a'), speeds.getFactor('told')].map(Math.round)).toEqual([2, 8]);
    expect(speeds.listNotable()).toEqual([]);
    for (let index = 0; index < 3_000; index += 1) speeds.recordGapQuartile(`e${index}`, index + 1);
    expect(speeds.countEngines()).toBeLessThanOrEqual(1_024);
    expect(speeds.listNotable().length).toBeLessThanOrEqual(64);
  });
});
