/** Virtual time: waits end when the test moves the clock, in the order of their deadlines. */
import type { Clock } from '@sequoiarill/types';

interface Waiter {
  readonly dueMs: number;
  readonly resume: () => void;
}

export interface FakeClock extends Clock {
  /** Moves time forward and lets every task run that becomes due meanwhile. */
  readonly runFor: (ms: number) => Promise<void>;
  /** Moves time without running anything, as a paused process sees it. */
  readonly simulatePause: (ms: number) => void;
}

/** Long enough for the longest chain of awaits between two waits of the code under test. */
const TURNS = 60;

export async function waitForMicrotasks(turns = TURNS): Promise<void> {
  for (let turn = 0; turn < turns; turn += 1) await Promise.resolve();
}

export function createFakeClock(): FakeClock {
  let nowMs = 0;
  let pausedMs = 0;
  let waiters: readonly Waiter[] = [];

  function takeDue(limitMs: number): Waiter | undefined {
    const [first] = [...waiters].sort((left, right) => left.dueMs - right.dueMs);
    if (first === undefined || first.dueMs > limitMs) return undefined;
    waiters = waiters.filter((waiter) => waiter !== first);
    return first;
  }

  return {
    getNowMs: () => nowMs,
    getRunningMs: () => nowMs - pausedMs,
    getWallTime: () => new Date(nowMs).toISOString(),
    waitMs: (ms, signal) =>
      new Promise((resolve) => {
        if (signal?.aborted === true) {
          resolve();
          return;
        }
        const handleAbort = () => {
          waiters = waiters.filter((other) => other.resume !== resumeWait);
          resolve();
        };
        const resumeWait = () => {
          signal?.removeEventListener('abort', handleAbort);
          resolve();
        };
        waiters = [...waiters, { dueMs: nowMs + ms, resume: resumeWait }];
        signal?.addEventListener('abort', handleAbort, { once: true });
      }),
    async runFor(ms) {
      const endMs = nowMs + ms;
      await waitForMicrotasks();
      for (let due = takeDue(endMs); due !== undefined; due = takeDue(endMs)) {
        nowMs = Math.max(nowMs, due.dueMs);
        due.resume();
        await waitForMicrotasks();
      }
      nowMs = endMs;
    },
    simulatePause(ms) {
      nowMs += ms;
      pausedMs += ms;
    },
  };
}
