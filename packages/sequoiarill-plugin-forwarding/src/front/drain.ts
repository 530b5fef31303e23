/** Shuts a process down without interrupting requests: callers move to other routers first. */
import type { Clock } from '@sequoiarill/types';

import type { HttpFrontEnd } from './httpFrontEnd';

/** Fields of the log line about the end. */
export type DrainResult = Readonly<{
  waitedMs: number;
  /** Requests that were in progress at the end of the grace period. */
  requests: number;
}>;

export interface Drain {
  readonly isDraining: () => boolean;
  /** When it began; undefined before. */
  readonly getStartedMs: () => number | undefined;
  /** Whether the load balancer has had time to notice that the process drains. */
  readonly isNoticed: () => boolean;
  /** Whether a request of this duration would complete before the process exits. */
  readonly hasTimeFor: (durationMs: number) => boolean;
  /** Ends when no connection is left or the grace period expires. */
  readonly drain: () => Promise<DrainResult>;
}

export interface DrainOptions {
  readonly frontEnd: Pick<
    HttpFrontEnd,
    'countRequests' | 'countConnections' | 'closeIdle' | 'stopListening'
  >;
  /** Refuses the requests that wait and have no time left; called repeatedly. */
  readonly refuseWaiting: () => void;
  /** Sends its last status to each request that has none. */
  readonly endRequests: () => void;
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
/** Time for the last answers to leave the process, and for connections that were just accepted to be read. */
const FLUSH_MS = 150;
const ACCEPTED_MS = 30;
const FLUSH_POLL_MS = 10;

export function createDrain(options: DrainOptions): Drain {
  const { frontEnd, clock, graceMs } = options;
  let startedMs: number | undefined;
  /** Whether open requests are being ended; one that a new connection brings then would be cut. */
  let isEnding = false;

  async function waitForConnections(beganMs: number): Promise<void> {
    const deadlineMs = beganMs + graceMs - SHUTDOWN_MARGIN_MS;
    const noticedMs = Math.min(beganMs + BALANCER_NOTICE_MS, deadlineMs);
    // Streams that wait for room are refused by their own tasks.
    await clock.waitMs(FLUSH_POLL_MS);
    for (;;) {
      options.refuseWaiting();
      const nowMs = clock.getNowMs();
      const isNoticed = nowMs >= noticedMs;
      if (isNoticed) frontEnd.closeIdle();
      const isDone = isNoticed && frontEnd.countConnections() === 0;
      if (isDone || nowMs >= deadlineMs) return;
      const untilMs = isNoticed ? deadlineMs : noticedMs;
      await clock.waitMs(Math.min(POLL_MS, untilMs - nowMs));
    }
  }

  async function waitForFlush(limitMs: number): Promise<void> {
    const untilMs = clock.getNowMs() + limitMs;
    do {
      frontEnd.closeIdle();
      await clock.waitMs(FLUSH_POLL_MS);
    } while (frontEnd.countRequests() > 0 && clock.getNowMs() < untilMs);
  }

  return {
    isDraining: () => startedMs !== undefined,
    getStartedMs: () => startedMs,
    isNoticed: () => startedMs !== undefined && clock.getNowMs() >= startedMs + BALANCER_NOTICE_MS,
    hasTimeFor(durationMs) {
      if (startedMs === undefined) return true;
      if (isEnding) return false;
      return clock.getNowMs() - startedMs + durationMs <= graceMs - SHUTDOWN_MARGIN_MS;
    },
    async drain() {
      const beganMs = clock.getNowMs();
      startedMs = beganMs;
      await waitForConnections(beganMs);
      const waitedMs = Math.round(clock.getNowMs() - beganMs);
      const requests = frontEnd.countRequests();
      isEnding = true;
      options.endRequests();
      await waitForFlush(FLUSH_MS);
      // Node.js closes connections whose last answer is not flushed together with the listener.
      frontEnd.stopListening();
      await waitForFlush(ACCEPTED_MS);
      return { waitedMs, requests };
    },
  };
}
