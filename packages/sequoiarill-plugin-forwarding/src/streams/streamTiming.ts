/** How long a stream's caller waited for its first event and between two events. */
import type { ForwardingRoute } from '@sequoiarill/types';

export interface StreamTiming {
  /** Some events are passed on to the caller. */
  readonly recordEvents: (nowMs: number) => void;
  readonly read: () => TimingSummary;
}

/** Milliseconds. */
export interface TimingSummary {
  /** Undefined while no event was passed on. */
  readonly firstEventMs: number | undefined;
  readonly longestPauseMs: number;
  /** After the request's arrival, the pause's end. */
  readonly pauseEndedMs: number;
}

export function createStreamTiming(arrivedAtMs: number): StreamTiming {
  let firstAtMs: number | undefined;
  let lastAtMs = 0;
  let longestPauseMs = 0;
  let pauseEndedAtMs = arrivedAtMs;
  return {
    recordEvents(nowMs) {
      if (firstAtMs === undefined) firstAtMs = nowMs;
      else if (nowMs - lastAtMs > longestPauseMs) {
        longestPauseMs = nowMs - lastAtMs;
        pauseEndedAtMs = nowMs;
      }
      lastAtMs = nowMs;
    },
    read: () => ({
      firstEventMs: firstAtMs === undefined ? undefined : Math.round(firstAtMs - arrivedAtMs),
      longestPauseMs: Math.round(longestPauseMs),
      pauseEndedMs: Math.round(pauseEndedAtMs - arrivedAtMs),
    }),
  };
}

/** Whether its caller had to wait for longer than the route's objectives. */
export function isLate(
  { firstEventMs, longestPauseMs }: TimingSummary,
  { objectiveMs, maxGapMs }: ForwardingRoute,
): boolean {
  return (firstEventMs ?? 0) > objectiveMs || longestPauseMs > maxGapMs;
}
