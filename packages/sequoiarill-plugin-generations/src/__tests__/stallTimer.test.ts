import { describe, it, mock } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as StallTimers from '../stallTimer';

const LIMIT_MS = 900;
const CLOCK_STEP_MS = 10;

interface TimerSimulation {
  readonly timer: StallTimers.StallTimer;
  readonly countStalls: () => number;
  readonly runFor: (ms: number) => Promise<void>;
  /** Advances the clock in one step, so that timers fire late. */
  readonly simulatePause: (ms: number) => void;
}

async function simulateTimer(
  runScenario: (simulation: TimerSimulation) => Promise<void>,
): Promise<void> {
  let nowMs = 0;
  let stalls = 0;
  const getRunningMs = Kernel.createRunningTime(() => nowMs);
  const timer = StallTimers.createStallTimer(getRunningMs, () => {
    stalls += 1;
  });
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    await runScenario({
      timer,
      countStalls: () => stalls,
      async runFor(ms) {
        for (let passed = 0; passed < ms; passed += CLOCK_STEP_MS) {
          nowMs += CLOCK_STEP_MS;
          getRunningMs();
          mock.timers.tick(CLOCK_STEP_MS);
          await new Promise<void>(Kernel.runAfterPendingReads);
        }
      },
      simulatePause(ms) {
        nowMs += ms;
        mock.timers.tick(ms);
      },
    });
  } finally {
    mock.timers.reset();
  }
}

describe('stall timer', () => {
  for (const pauseMs of [300, 800, 1_400, 2_500, 3_800, 5_500]) {
    it(`does not count a router pause of ${pauseMs} ms`, async () => {
      // Guards against a router that moves all its streams to other engines after its own pause.
      await simulateTimer(async ({ timer, countStalls, runFor, simulatePause: pauseFor }) => {
        timer.start(LIMIT_MS);
        await runFor(400);
        pauseFor(pauseMs);
        await runFor(400);
        expect(countStalls()).toEqual(0);
      });
    });
  }

  it('continues to count after a pause, so that an engine lost meanwhile is detected', async () => {
    // Guards against a stream that waits forever for an engine that stopped during the pause.
    await simulateTimer(async ({ timer, countStalls, runFor, simulatePause: pauseFor }) => {
      timer.start(LIMIT_MS);
      await runFor(400);
      pauseFor(5_500);
      await runFor(250 + LIMIT_MS);
      expect(countStalls()).toEqual(1);
    });
  });

  it('reports one stall at the limit if the router is not delayed', async () => {
    await simulateTimer(async ({ timer, countStalls, runFor }) => {
      timer.start(LIMIT_MS);
      await runFor(LIMIT_MS - CLOCK_STEP_MS);
      expect(countStalls()).toEqual(0);
      await runFor(3 * CLOCK_STEP_MS);
      expect(countStalls()).toEqual(1);
    });
  });
});
