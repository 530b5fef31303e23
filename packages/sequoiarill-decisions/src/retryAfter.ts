/**
 * Computes the `Retry-After` time of refused requests.
 *
 * Load pattern: a retry storm. With the same time for all, the refused callers retry together, are refused
 * again, and their number doubles with each round. The time therefore grows with the share of refused
 * requests and is chosen at random within its range.
 */

/** Half-life of the counts: a burst of 5 s still counts when it ends. */
const HALF_LIFE_MS = 5_000;
const MIN_SECONDS = 1;
const MAX_SECONDS = 30;

export interface RetryAfter {
  readonly recordAdmitted: (nowMs: number) => void;
  readonly recordRefused: (nowMs: number) => void;
  /** Returns whole seconds, computed from the wait that was expected at admission. */
  readonly computeSeconds: (waitMs: number, nowMs: number) => number;
}

export function createRetryAfter(nextRandom: () => number): RetryAfter {
  let admitted = 0;
  let refused = 0;
  let updatedAtMs: number | undefined;

  function updateCounts(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - (updatedAtMs ?? nowMs));
    updatedAtMs = nowMs;
    if (elapsedMs === 0) return;
    const decay = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    admitted *= decay;
    refused *= decay;
  }

  function computeSeconds(waitMs: number, nowMs: number): number {
    updateCounts(nowMs);
    // Callers that were refused in the last seconds retry too, so serving all takes this many times longer.
    const pressure = 1 + refused / Math.max(1, admitted);
    const rangeSeconds = Math.max(1, waitMs / 1000) * pressure * 2;
    const seconds = MIN_SECONDS + Math.floor(nextRandom() * rangeSeconds);
    return Math.min(MAX_SECONDS, seconds);
  }

  function recordAdmitted(nowMs: number): void {
    updateCounts(nowMs);
    admitted += 1;
  }

  function recordRefused(nowMs: number): void {
    updateCounts(nowMs);
    refused += 1;
  }

  return { recordAdmitted, recordRefused, computeSeconds };
}
