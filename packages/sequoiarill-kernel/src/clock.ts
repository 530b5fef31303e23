/** The system implementation of `Clock`; tests use the one in `fakeClock.ts`. */
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { Clock } from '@sequoiarill/types';

import * as RunningTimes from './runningTime';

function getNowMs(): number {
  return performance.now();
}

/** `handleTick` is called about every `RunningTimes.RUNNING_TIME_TICK_MS`. */
export function createSystemClock(handleTick: () => void = () => undefined): Clock {
  const delays = RunningTimes.createDelayRecord(getNowMs(), RunningTimes.runAfterPendingReads);
  const getRunningMs = RunningTimes.createRunningTime(getNowMs);
  setInterval(() => {
    getRunningMs();
    delays.recordTick(getNowMs());
    handleTick();
  }, RunningTimes.RUNNING_TIME_TICK_MS).unref();
  return {
    getNowMs,
    getRunningMs,
    getLastDelay: delays.getLastDelay,
    getReadDelayMs: delays.getReadDelayMs,
    getWallTime: () => new Date().toISOString(),
    async waitMs(ms, signal) {
      if (signal === undefined) await startTimeout(ms);
      else await startTimeout(ms, undefined, { signal }).catch(() => undefined);
    },
  };
}
