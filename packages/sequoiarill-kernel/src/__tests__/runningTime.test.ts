import { describe, it, mock } from 'node:test';

import { expect } from 'earl';

import * as RunningTimes from '../runningTime';

const PAUSE_MS = 5_000;

/** A running-time clock on simulated time, updated once per tick as by the system clock. */
function createSimulatedTime() {
  let nowMs = 0;
  const getRunningMs = RunningTimes.createRunningTime(() => nowMs);
  return {
    getRunningMs,
    runFor(ms: number) {
      for (let left = ms; left > 0; left -= RunningTimes.RUNNING_TIME_TICK_MS) {
        nowMs += Math.min(left, RunningTimes.RUNNING_TIME_TICK_MS);
        getRunningMs();
      }
    },
    pauseFor(ms: number) {
      nowMs += ms;
    },
  };
}

describe('running time', () => {
  it('follows the clock while the process is not paused', () => {
    const time = createSimulatedTime();
    time.runFor(1_234);
    expect(time.getRunningMs()).toEqual(1_234);
  });

  it('excludes a pause of any length', () => {
    // Guards against targets that are considered lost because this process itself was paused.
    for (const pauseMs of [150, 300, 800, 2_500, PAUSE_MS]) {
      const time = createSimulatedTime();
      time.runFor(100);
      time.pauseFor(pauseMs);
      expect(time.getRunningMs()).toBeLessThanOrEqual(200);
    }
  });

  it('stops for a grace period after a pause and then continues', () => {
    // Guards against a target that was paused as well and is considered lost while it resumes.
    const time = createSimulatedTime();
    time.runFor(100);
    time.pauseFor(PAUSE_MS);
    const afterPauseMs = time.getRunningMs();
    time.runFor(250);
    expect(time.getRunningMs()).toEqual(afterPauseMs);
    time.runFor(400);
    expect(time.getRunningMs()).toEqual(afterPauseMs + 400);
  });

  it('advances in a process that is blocked repeatedly', () => {
    // Guards against waiting forever for a target that terminated silently while this process is
    // overloaded.
    const time = createSimulatedTime();
    for (let stall = 0; stall < 100; stall += 1) {
      time.pauseFor(250);
      time.runFor(250);
    }
    expect(time.getRunningMs()).toBeGreaterThanOrEqual(10_000);
  });
});

describe('delays of this process', () => {
  function createDelays() {
    let nowMs = 0;
    const pendingReads: (() => void)[] = [];
    const delays = RunningTimes.createDelayRecord(nowMs, (callback) => pendingReads.push(callback));
    return {
      getLastDelay: delays.getLastDelay,
      getReadDelayMs: delays.getReadDelayMs,
      runPendingReads: () => pendingReads.splice(0).forEach((callback) => callback()),
      recordTickAfter(ms: number) {
        nowMs += ms;
        delays.recordTick(nowMs);
      },
    };
  }

  it('are known with their length and end, and none while the process runs', () => {
    // Guards against a target that is said to be silent where the router itself read nothing.
    const { getLastDelay, recordTickAfter } = createDelays();
    for (let tick = 0; tick < 20; tick += 1) recordTickAfter(RunningTimes.RUNNING_TIME_TICK_MS + 5);
    expect(getLastDelay()).toEqual(undefined);
    recordTickAfter(1_300);
    expect(getLastDelay()).toEqual({ endedAtMs: 2_400, lastedMs: 1_250 });
  });

  it('are not hidden by shorter ones that follow', () => {
    // Guards against a pause that a busy router no longer shows a second later.
    const { getLastDelay, recordTickAfter } = createDelays();
    recordTickAfter(1_300);
    for (let tick = 0; tick < 100; tick += 1) recordTickAfter(90);
    expect(getLastDelay()).toEqual({ endedAtMs: 1_300, lastedMs: 1_250 });
    for (let tick = 0; tick < 15; tick += 1) recordTickAfter(90);
    expect(getLastDelay()?.lastedMs).toEqual(40);
  });

  it('count for what is read right after them, and for nothing later', () => {
    // Guards against sound requests that are taken for late ones long after a pause.
    const { getReadDelayMs, recordTickAfter, runPendingReads } = createDelays();
    recordTickAfter(1_300);
    expect(getReadDelayMs()).toEqual(1_250);
    runPendingReads();
    expect(getReadDelayMs()).toEqual(1_250);
    runPendingReads();
    expect(getReadDelayMs()).toEqual(0);
  });

  it('count in full where the process is busy right after them', () => {
    // Guards against late requests that are sent on because a short delay follows the pause before they are read.
    const { getReadDelayMs, recordTickAfter, runPendingReads } = createDelays();
    recordTickAfter(1_300);
    recordTickAfter(90);
    expect(getReadDelayMs()).toEqual(1_250);
    runPendingReads();
    recordTickAfter(170);
    expect(getReadDelayMs()).toEqual(1_250);
    runPendingReads();
    expect(getReadDelayMs()).toEqual(120);
    runPendingReads();
    expect(getReadDelayMs()).toEqual(0);
  });
});

describe('running-time timer', () => {
  it('fires after the remaining running time, not immediately after a pause', async () => {
    // Guards against waits that end as soon as the process resumes, before data received during the
    // pause is read.
    mock.timers.enable({ apis: ['setTimeout'] });
    try {
      const time = createSimulatedTime();
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
