/** Shuts a process down without interrupting requests: callers move to other routers first. */
import type { Clock } from '@sequoiarill/types';

import type { HttpFrontEnd } from './httpFrontEnd';

export interface Drain {
  readonly isDraining: () => boolean;
  /** Whether a request of this duration would complete before the process exits. */
  readonly hasTimeFor: (durationMs: number) => boolean;
  /** Returns the milliseconds it took; ends when no connection is left or the grace period expires. */
  readonly drain: () => Promise<number>;
}

export interface DrainOptions {
  readonly frontEnd: Pick<HttpFrontEnd, 'countRequests' | 'countConnections' | 'closeIdle'>;
  readonly clock: Clock;
  /** From the signal to the exit of the process. */
  readonly graceMs: number;
}

/**
 * The load balancer checks readiness once a second and removes a router after two failed checks. New
 * connections arrive until then, and a newly opened one must not be closed before its request is read.
 */
const BALANCER_NOTICE_MS = 2_600;
/** Reserved for closing the remaining connections and writing the last log lines. */
const SHUTDOWN_MARGIN_MS = 400;
const POLL_MS = 100;

export function createDrain(options: DrainOptions): Drain {
  const { frontEnd, clock, graceMs } = options;
  let startedMs: number | undefined;

  return {
    isDraining: () => startedMs !== undefined,
    hasTimeFor(durationMs) {
      if (startedMs === undefined) return true;
      return clock.getNowMs() - startedMs + durationMs <= graceMs - SHUTDOWN_MARGIN_MS;
    },
    async drain() {
      const beganMs = clock.getNowMs();
      startedMs = beganMs;
      const deadlineMs = beganMs + graceMs - SHUTDOWN_MARGIN_MS;
      await clock.waitMs(Math.min(BALANCER_NOTICE_MS, graceMs - SHUTDOWN_MARGIN_MS));
      frontEnd.closeIdle();
      while (frontEnd.countConnections() > 0 && clock.getNowMs() < deadlineMs) {
        await clock.waitMs(POLL_MS);
        frontEnd.closeIdle();
      }
      return Math.round(clock.getNowMs() - beganMs);
    },
  };
}
