/**
 * A clock with virtual time for tests: waits end in the order of their deadlines when the test
 * advances the clock.
 */
import { setImmediate as startTurn } from 'node:timers/promises';

import type { Clock, ProcessDelay } from '@sequoiarill/types';

interface Waiter {
  readonly dueMs: number;
  readonly resume: () => void;
}

export interface FakeClock extends Clock {
  /** Advances the time and runs every task that becomes due. */
  readonly runFor: (ms: number) => Promise<void>;
  /** Advances the time without running any task, as if the process had been paused. */
  readonly simulatePause: (ms: number) => void;
}

/** Covers the longest chain of awaits between two waits of the code under test. */
const MICROTASK_TURNS = 60;

export async function waitForMicrotasks(turns = MICROTASK_TURNS): Promise<void> {
  for (let turn = 0; turn < turns; turn += 1) await Promise.resolve();
}

export function createFakeClock(): FakeClock {
  let nowMs = 0;
  let pausedMs = 0;
  let lastDelay: ProcessDelay | undefined;
  /** In the order of their deadlines; equal ones in the order of their start. */
  const waiters: Waiter[] = [];

  function takeNextDue(limitMs: number): Waiter | undefined {
    const [first] = waiters;
    return first === undefined || first.dueMs > limitMs ? undefined : waiters.shift();
  }

  function addWaiter(waiter: Waiter): void {
    let low = 0;
    let high = waiters.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((waiters[middle] as Waiter).dueMs <= waiter.dueMs) low = middle + 1;
      else high = middle;
    }
    waiters.splice(low, 0, waiter);
  }

  return {
    getNowMs: () => nowMs,
    getRunningMs: () => nowMs - pausedMs,
    getLastDelay: () => lastDelay,
    getReadDelayMs: () => 0,
    getWallTime: () => new Date(nowMs).toISOString(),
    waitMs: (ms, signal) =>
      new Promise((resolve) => {
        if (signal?.aborted === true) {
          resolve();
          return;
        }
        const handleAbort = () => {
          waiters.splice(waiters.indexOf(waiter), 1);
          resolve();
        };
        const resumeWait = () => {
          signal?.removeEventListener('abort', handleAbort);
          resolve();
        };
        const waiter = { dueMs: nowMs + ms, resume: resumeWait };
        addWaiter(waiter);
        signal?.addEventListener('abort', handleAbort, { once: true });
      }),
    async runFor(ms) {
      const endMs = nowMs + ms;
      await waitForMicrotasks();
      for (let due = takeNextDue(endMs); due !== undefined; due = takeNextDue(endMs)) {
        nowMs = Math.max(nowMs, due.dueMs);
        due.resume();
        await waitForMicrotasks();
      }
      nowMs = endMs;
    },
    simulatePause(ms) {
      nowMs += ms;
      pausedMs += ms;
      lastDelay = { endedAtMs: nowMs, lastedMs: ms };
    },
  };
}

export interface StandingClock {
  readonly clock: FakeClock;
  readonly countWaits: () => number;
  /** Lets the event loop turn so often; no wait ends afterwards, so that loops under test end with it. */
  readonly runTurns: (turns: number) => Promise<void>;
}

/** A clock that stands still; each wait ends in the next turn of the event loop, whatever its time or signal. */
export function createStandingClock(): StandingClock {
  let waits = 0;
  let isStopped = false;
  return {
    clock: {
      ...createFakeClock(),
      async waitMs() {
        waits += 1;
        await (isStopped ? Promise.race([]) : startTurn());
      },
    },
    countWaits: () => waits,
    async runTurns(turns) {
      for (let turn = 0; turn < turns; turn += 1) await startTurn();
      isStopped = true;
    },
  };
}
