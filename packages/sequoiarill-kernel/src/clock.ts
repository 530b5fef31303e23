/** The system implementation of `Clock`; tests use the one in `fakeClock.ts`. */
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { Clock } from '@sequoiarill/types';

import * as RunningTimes from './runningTime';

/** Time that each wait takes at least. */
const MIN_WAIT_MS = 1;
/** The timers of Node.js end a longer wait at once. */
const MAX_WAIT_MS = 2 ** 31 - 1;

type StartTimeout = (ms: number, signal: AbortSignal | undefined) => Promise<unknown>;

function getNowMs(): number {
  return performance.now();
}

function startSystemTimeout(ms: number, signal: AbortSignal | undefined): Promise<unknown> {
  if (signal === undefined) return startTimeout(ms);
  return startTimeout(ms, undefined, { signal }).catch(() => undefined);
}

/**
 * Returns a function that waits, and never less than `MIN_WAIT_MS`.
 *
 * Failure: a loop whose wait ends at once, because its signal is aborted or nothing is left to wait for, goes on within the
 * same turn of the event loop: no timer fires, no socket is read, and SIGTERM is not heard. A timer that fires a fraction of
 * a millisecond early does the same to a loop that goes on until a deadline.
 */
export function createWait(
  readNowMs: () => number,
  startWait: StartTimeout = startSystemTimeout,
): Clock['waitMs'] {
  return async function waitMs(ms, signal) {
    const dueMs = readNowMs() + ms;
    const isAborted = () => signal?.aborted === true;
    if (isAborted()) {
      await startWait(MIN_WAIT_MS, undefined);
      return;
    }
    await startWait(Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, Math.ceil(ms))), signal);
    const isEarly = readNowMs() < dueMs && ms <= MAX_WAIT_MS;
    if (isEarly && !isAborted()) await startWait(MIN_WAIT_MS, signal);
  };
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
    waitMs: createWait(getNowMs),
  };
}
