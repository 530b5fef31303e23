import { describe, it, mock } from 'node:test';

import { expect } from 'earl';

import * as RunningTimes from '../runningTime';

const PAUSE_MS = 5_000;

/** A clock that tells the running time, and is moved tick by tick as the system clock moves it. */
function createPlayedTime() {
  let nowMs = 0;
  const getRunningMs = RunningTimes.createRunningTime(() => nowMs);
  return {
    getRunningMs,
    runFor(ms: number) {
      for (let left = ms; left > 0; left -= RunningTimes.RUNNING_TICK_MS) {
        nowMs += Math.min(left, RunningTimes.RUNNING_TICK_MS);
        getRunningMs();
      }
    },
    pauseFor(ms: number) {
      nowMs += ms;
    },
  };
}

describe('the running time of a process', () => {
  it('goes with the clock while nothing holds the process up', () => {
    const time = createPlayedTime();
    time.runFor(1_234);
    expect(time.getRunningMs()).toEqual(1_234);
  });

  it('leaves a pause out, whatever its length', () => {
    // Guards against targets that are given up for the silence of the process itself.
    for (const pauseMs of [150, 300, 800, 2_500, PAUSE_MS]) {
      const time = createPlayedTime();
      time.runFor(100);
      time.pauseFor(pauseMs);
      expect(time.getRunningMs()).toBeLessThanOrEqual(200);
    }
  });

  it('stands still for a moment after a pause, and then goes on', () => {
    // Guards against a target that was paused as well and is given up as it wakes.
    const time = createPlayedTime();
    time.runFor(100);
    time.pauseFor(PAUSE_MS);
    const wokenMs = time.getRunningMs();
    time.runFor(250);
    expect(time.getRunningMs()).toEqual(wokenMs);
    time.runFor(400);
    expect(time.getRunningMs()).toEqual(wokenMs + 400);
  });

  it('goes on in a process that is held up again and again', () => {
    // Guards against a target that ended without a word and is waited for without end under load.
    const time = createPlayedTime();
    for (let stall = 0; stall < 100; stall += 1) {
      time.pauseFor(250);
      time.runFor(250);
    }
    expect(time.getRunningMs()).toBeGreaterThanOrEqual(10_000);
  });
});

describe('a timer in running time', () => {
  it('is not due when its process wakes, but after what is left', async () => {
    // Guards against waits that end on waking, before what came during the pause was read.
    mock.timers.enable({ apis: ['setTimeout'] });
    try {
      const time = createPlayedTime();
      let due = 0;
      RunningTimes.startRunningTimer(time.getRunningMs, 300, () => {
        due += 1;
      });
      time.pauseFor(PAUSE_MS);
      mock.timers.tick(PAUSE_MS);
      await new Promise<void>(RunningTimes.runAfterPendingReads);
      expect(due).toEqual(0);
      time.runFor(500);
      mock.timers.tick(500);
      await new Promise<void>(RunningTimes.runAfterPendingReads);
      expect(due).toEqual(1);
    } finally {
      mock.timers.reset();
    }
  });
});
