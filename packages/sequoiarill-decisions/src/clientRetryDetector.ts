/**
 * Which requests come from callers that have waited before.
 *
 * Load pattern: callers that were refused come back into the same crowd. Nothing in a request says so but
 * the time that its caller still gives, which is shorter by what has passed. It counts as returning
 * when more than the objective is missing from the longest time given for its kind, since then its answer is
 * late whatever is done. Where callers give different times anyway, that proves nothing: if more
 * than half of the requests look like returning ones, none is taken for one.
 */

export interface ClientRetryQuery {
  /** Requests of one kind come with the same time, normally. */
  readonly kind: string;
  readonly remainingMs: number;
  readonly objectiveMs: number;
}

export interface ClientRetryDetector {
  readonly isClientRetry: (question: ClientRetryQuery) => boolean;
}

interface Known {
  longestMs: number;
  /** Share of requests that look like returning ones, smoothed. */
  shortShare: number;
}

/** The last fifty requests count. */
const SHARE_GAIN = 0.02;
const MAX_SHORT_SHARE = 0.5;
/** Kinds come from the configuration; those that it dropped are forgotten oldest first. */
const MAX_KINDS = 2_000;

export function createClientRetryDetector(): ClientRetryDetector {
  const knownByKind = new Map<string, Known>();

  function getKnown(kind: string): Known {
    const known = knownByKind.get(kind);
    if (known !== undefined) return known;
    const created: Known = { longestMs: 0, shortShare: 0 };
    knownByKind.set(kind, created);
    const oldest = knownByKind.keys().next();
    if (knownByKind.size > MAX_KINDS && oldest.done !== true) knownByKind.delete(oldest.value);
    return created;
  }

  return {
    isClientRetry({ kind, remainingMs: givenMs, objectiveMs }) {
      const known = getKnown(kind);
      known.longestMs = Math.max(known.longestMs, givenMs);
      const isShort = known.longestMs - givenMs > objectiveMs;
      known.shortShare += ((isShort ? 1 : 0) - known.shortShare) * SHARE_GAIN;
      return isShort && known.shortShare <= MAX_SHORT_SHARE;
    },
  };
}
