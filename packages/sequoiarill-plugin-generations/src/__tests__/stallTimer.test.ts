import { describe, it, mock } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as StallTimers from '../stallTimer';

const LIMIT_MS = 900;
const STEP_MS = 10;

interface Play {
  readonly timer: StallTimers.StallTimer;
  readonly countStalls: () => number;
  readonly runFor: (ms: number) => Promise<void>;
  /** Moves the clock alone, so that timers are late. */
  readonly pauseFor: (ms: number) => void;
}

async function playTimer(play: (parts: Play) => Promise<void>): Promise<void> {
  let nowMs = 0;
  let stalls = 0;
  const getRunningMs = Kernel.createRunningTime(() => nowMs);
  const timer = StallTimers.createStallTimer(getRunningMs, () => {
    stalls += 1;
  });
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    await play({
      timer,
      countStalls: () => stalls,
      async runFor(ms) {
        for (let passed = 0; passed < ms; passed += STEP_MS) {
          nowMs += STEP_MS;
          getRunningMs();
          mock.timers.tick(STEP_MS);
          await new Promise<void>(Kernel.runAfterPendingReads);
        }
      },
      pauseFor(ms) {
        nowMs += ms;
        mock.timers.tick(ms);
      },
    });
  } finally {
    mock.timers.reset();
  }
}

describe('the limit on the silence of an engine', () => {
  for (const pauseMs of [300, 800, 1_400, 2_500, 3_800, 5_500]) {
    it(`does not count a pause of the router of ${pauseMs} ms`, async () => {
      // Guards against a second engine for each stream of a router that was paused and woken.
      await playTimer(async ({ timer, countStalls, runFor, pauseFor }) => {
        timer.start(LIMIT_MS);
        await runFor(400);
        pauseFor(pauseMs);
        await runFor(400);
        expect(countStalls()).toEqual(0);
      });
    });
  }

  it('counts from where it was, so that an engine that died meanwhile is left', async () => {
    // Guards against a stream that waits without end for an engine which ended during the pause.
    await playTimer(async ({ timer, countStalls, runFor, pauseFor }) => {
      timer.start(LIMIT_MS);
      await runFor(400);
      pauseFor(5_500);
      await runFor(250 + LIMIT_MS);
      expect(countStalls()).toEqual(1);
    });
  });

  it('is over after the limit where nothing holds the router up', async () => {
    await playTimer(async ({ timer, countStalls, runFor }) => {
      timer.start(LIMIT_MS);
      await runFor(LIMIT_MS - STEP_MS);
      expect(countStalls()).toEqual(0);
      await runFor(3 * STEP_MS);
      expect(countStalls()).toEqual(1);
    });
  });
});
