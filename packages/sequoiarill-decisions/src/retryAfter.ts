/**
 * When a refused caller may come back.
 *
 * Load pattern: a retry storm. Told one and the same second, all refused callers return together,
 * are refused again and double with each round. So the time grows with the share that is being
 * refused and is spread at random over its range.
 */

/** Counts halve in this time, milliseconds: a burst of 5 s is still seen when it ends. */
const HALF_LIFE_MS = 5_000;
const MIN_SECONDS = 1;
const MAX_SECONDS = 30;

export interface RetryAfter {
  readonly recordAdmitted: (nowMs: number) => void;
  readonly recordRefused: (nowMs: number) => void;
  /** Whole seconds, from the wait that was expected at the door. */
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
    const kept = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    admitted *= kept;
    refused *= kept;
  }

  function computeSeconds(waitMs: number, nowMs: number): number {
    updateCounts(nowMs);
    // The refused of the last seconds come back as well; serving them takes this many times longer.
    const pressure = 1 + refused / Math.max(1, admitted);
    const range = Math.max(1, waitMs / 1000) * pressure * 2;
    const seconds = MIN_SECONDS + Math.floor(nextRandom() * range);
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
