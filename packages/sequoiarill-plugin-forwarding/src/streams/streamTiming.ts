/** Measures how long a stream's caller waited for the first event and between events. */
import type { ForwardingRoute } from '@sequoiarill/types';

export interface StreamTiming {
  /** Records that events were relayed to the caller. */
  readonly recordEvents: (nowMs: number) => void;
  readonly read: () => TimingSummary;
}

/** Milliseconds. */
export interface TimingSummary {
  /** Undefined while no event was relayed. */
  readonly firstEventMs: number | undefined;
  readonly longestPauseMs: number;
  /** End of the longest pause, measured from the request's arrival. */
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

/** Whether the caller waited longer than the route's objectives. */
export function isLate(
  { firstEventMs, longestPauseMs }: TimingSummary,
  { objectiveMs, maxGapMs }: ForwardingRoute,
): boolean {
  return (firstEventMs ?? 0) > objectiveMs || longestPauseMs > maxGapMs;
}
