/**
 * Detects requests that a client sends again after it was refused.
 *
 * Refused callers retry into the same overload. The only sign of a retry is the remaining time in
 * the request, which is shorter by the time that has passed. A request counts as a retry if its
 * remaining time is below the longest one seen for its kind by more than the latency objective,
 * since its answer is then late in any case. Where callers use different timeouts anyway, this
 * proves nothing: if more than half of the requests look like retries, none is treated as one.
 */

export interface ClientRetryQuery {
  /** Requests of one kind normally have the same timeout. */
  readonly kind: string;
  readonly remainingMs: number;
  readonly objectiveMs: number;
}

export interface ClientRetryDetector {
  readonly isClientRetry: (query: ClientRetryQuery) => boolean;
}

interface RequestKindStatistics {
  longestRemainingMs: number;
  /** Smoothed share of requests that look like retries. */
  apparentRetryShare: number;
}

/** Smoothing over about the last fifty requests. */
const SHARE_GAIN = 0.02;
const MAX_APPARENT_RETRY_SHARE = 0.5;
/** Bounds the memory for kinds no longer configured; the kind recorded first is evicted first. */
const MAX_KINDS = 2_000;

export function createClientRetryDetector(): ClientRetryDetector {
  const kinds = new Map<string, RequestKindStatistics>();

  function getStatistics(kind: string): RequestKindStatistics {
    const existing = kinds.get(kind);
    if (existing !== undefined) return existing;
    const statistics: RequestKindStatistics = { longestRemainingMs: 0, apparentRetryShare: 0 };
    kinds.set(kind, statistics);
    const oldest = kinds.keys().next();
    if (kinds.size > MAX_KINDS && oldest.done !== true) kinds.delete(oldest.value);
    return statistics;
  }

  return {
    isClientRetry({ kind, remainingMs, objectiveMs }) {
      const statistics = getStatistics(kind);
      statistics.longestRemainingMs = Math.max(statistics.longestRemainingMs, remainingMs);
      const looksLikeRetry = statistics.longestRemainingMs - remainingMs > objectiveMs;
      statistics.apparentRetryShare +=
        ((looksLikeRetry ? 1 : 0) - statistics.apparentRetryShare) * SHARE_GAIN;
      return looksLikeRetry && statistics.apparentRetryShare <= MAX_APPARENT_RETRY_SHARE;
    },
  };
}
