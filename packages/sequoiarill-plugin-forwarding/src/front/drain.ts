/** Ends a process without cutting a request: callers are sent elsewhere first. */
import type { Clock } from '@sequoiarill/types';

import type { Front } from './front';

export interface Drain {
  readonly isDraining: () => boolean;
  /** Whether a request that takes so long, milliseconds, would still end before the process does. */
  readonly hasTimeFor: (lastsMs: number) => boolean;
  /** Milliseconds it took; ends when nothing is in progress or the time is up. */
  readonly drain: () => Promise<number>;
}

export interface DrainOptions {
  readonly front: Pick<Front, 'countRequests' | 'countConnections' | 'closeIdle'>;
  readonly clock: Clock;
  /** From the signal to the end of the process. */
  readonly graceMs: number;
}

/**
 * The balancer asks once a second and takes a router out after two misses. New connections come until
 * then, and one that was just opened must not be closed before its request is read.
 */
const NOTICE_MS = 2_600;
/** Left for closing what is left and for the last log lines, milliseconds. */
const END_MARGIN_MS = 400;
const POLL_MS = 100;

export function createDrain(options: DrainOptions): Drain {
  const { front, clock, graceMs } = options;
  let startedMs: number | undefined;

  return {
    isDraining: () => startedMs !== undefined,
    hasTimeFor(lastsMs) {
      if (startedMs === undefined) return true;
      return clock.getNowMs() - startedMs + lastsMs <= graceMs - END_MARGIN_MS;
    },
    async drain() {
      const beganMs = clock.getNowMs();
      startedMs = beganMs;
      const lastMs = beganMs + graceMs - END_MARGIN_MS;
      await clock.waitMs(Math.min(NOTICE_MS, graceMs - END_MARGIN_MS));
      front.closeIdle();
      while (front.countConnections() > 0 && clock.getNowMs() < lastMs) {
        await clock.waitMs(POLL_MS);
        front.closeIdle();
      }
      return Math.round(clock.getNowMs() - beganMs);
    },
  };
}
