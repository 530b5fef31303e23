import { describe, it } from 'node:test';
import { setImmediate as startTurn } from 'node:timers/promises';

import { expect } from 'earl';

import * as Clocks from '../clock';
import * as FakeClocks from '../fakeClock';
import * as RoundPacers from '../roundPacer';

/** Runs a loop until the event loop has turned so often; returns the number of rounds. */
async function countRounds(turns: number, runRound: () => Promise<unknown>): Promise<number> {
  let isOver = false;
  let rounds = 0;
  async function runLoop(): Promise<void> {
    // Bounds the test where a round never lets the event loop turn.
    while (!isOver && rounds < 10_000) {
      rounds += 1;
      await runRound();
    }
  }
  const running = runLoop();
  for (let turn = 0; turn < turns; turn += 1) await startTurn();
  isOver = true;
  await running;
  return rounds;
}

const TURNS = 20;

describe('a wait', () => {
  // Failure: a loop whose signal is aborted goes on within one turn of the event loop, and the process hears nothing.
  it('lets the event loop turn where its signal is aborted', async () => {
    const { waitMs } = Clocks.createSystemClock();
    const rounds = await countRounds(TURNS, () => waitMs(1_000, AbortSignal.abort()));
    expect(rounds).toBeLessThanOrEqual(TURNS + 1);
  });

  // Failure: a loop that has nothing left to wait for takes the whole processor time.
  it('takes time where nothing is left to wait for', async () => {
    const { waitMs } = Clocks.createSystemClock();
    for (const ms of [0, -5, Number.NaN, 1e-9]) {
      const startedMs = performance.now();
      for (let wait = 0; wait < 10; wait += 1) await waitMs(ms);
      expect(performance.now() - startedMs).toBeGreaterThan(9);
    }
  });

  // Failure: a timer fires before its deadline by the clock, and a loop until that deadline spins for the rest.
  it('does not end before its time', async () => {
    const { waitMs, getNowMs } = Clocks.createSystemClock();
    for (let wait = 0; wait < 50; wait += 1) {
      const dueMs = getNowMs() + 2.9;
      await waitMs(2.9);
      expect(getNowMs()).toBeGreaterThanOrEqual(dueMs);
    }
  });

  // Failure: a wait that is longer than timers allow ends after a millisecond, again and again.
  it('is bounded by what timers allow', async () => {
    const startedMs: number[] = [];
    const waitMs = Clocks.createWait(
      () => 0,
      async (ms) => startedMs.push(ms),
    );
    await waitMs(Number.POSITIVE_INFINITY);
    expect(startedMs).toEqual([2 ** 31 - 1]);
  });

  it('ends when its signal is aborted', async () => {
    const { waitMs } = Clocks.createSystemClock();
    const ended = new AbortController();
    const startedMs = performance.now();
    const waiting = waitMs(60_000, ended.signal);
    ended.abort();
    await waiting;
    expect(performance.now() - startedMs).toBeLessThan(30_000);
  });
});

describe('the pacer of a loop', () => {
  it('lets some rounds follow each other at once', async () => {
    const clock = FakeClocks.createFakeClock();
    const pacer = RoundPacers.createRoundPacer(clock);
    for (let round = 0; round < 8; round += 1) await pacer.waitForRound();
    expect(clock.getNowMs()).toEqual(0);
  });

  it('does not hold up rounds that take their time', async () => {
    const clock = FakeClocks.createFakeClock();
    const pacer = RoundPacers.createRoundPacer(clock);
    let rounds = 0;
    async function runRounds(): Promise<void> {
      for (; rounds < 1_000; rounds += 1) {
        await pacer.waitForRound();
        await clock.waitMs(5);
      }
    }
    const running = runRounds();
    await clock.runFor(5_000);
    await running;
    expect(rounds).toEqual(1_000);
  });

  // Failure: rounds that take some processor time and wait for nothing go on for ever.
  it('holds up rounds that follow each other at once', async () => {
    const clock = FakeClocks.createFakeClock();
    const pacer = RoundPacers.createRoundPacer(clock);
    let rounds = 0;
    async function runRounds(): Promise<void> {
      while (clock.getNowMs() < 1_000) {
        await pacer.waitForRound();
        rounds += 1;
      }
    }
    const running = runRounds();
    await clock.runFor(1_100);
    await running;
    expect(rounds).toBeLessThanOrEqual(1_000 / 5 + 10);
  });
});
