/** How long to wait before the next attempt. Pure: the random number is an argument. */

export interface BackoffSettings {
  /** Attempts in a row that bring nothing new before an answer is given up. */
  readonly maxAttempts: number;
  /** Bound of the first wait, in milliseconds; it doubles with each attempt. */
  readonly firstDelayMs: number;
  /** Bound of every wait that the server did not name, in milliseconds. */
  readonly maxDelayMs: number;
  /** A server that asks for more patience than this gets none, in milliseconds. */
  readonly maxRetryAfterMs: number;
}

/**
 * A broken stream is tried again soon, since a router or engine is replaced in seconds, and the
 * fifth wait is already at the bound, so that thousands of callers do not bury what came back.
 */
export const DEFAULT_BACKOFF: BackoffSettings = {
  maxAttempts: 8,
  firstDelayMs: 100,
  maxDelayMs: 2_000,
  maxRetryAfterMs: 30_000,
};

/** Without it, callers that a server sent away together would come back together. */
const RETRY_AFTER_SPREAD = 0.25;
const MS_PER_SECOND = 1_000;

/**
 * Waits at random up to the bound, so that callers cut off together come back spread out. A wait
 * that the server named is never shortened.
 */
export function computeDelayMs(
  settings: BackoffSettings,
  attempt: number,
  retryAfterSeconds: number | undefined,
  nextRandom: () => number,
): number {
  if (retryAfterSeconds !== undefined) {
    return retryAfterSeconds * MS_PER_SECOND * (1 + RETRY_AFTER_SPREAD * nextRandom());
  }
  const bound = Math.min(settings.maxDelayMs, settings.firstDelayMs * 2 ** (attempt - 1));
  return bound * nextRandom();
}

/** Whether to give up: too many attempts, or a server that asks for more patience than there is. */
export function isExhausted(
  settings: BackoffSettings,
  attempt: number,
  retryAfterSeconds: number | undefined,
): boolean {
  const waitMs = (retryAfterSeconds ?? 0) * MS_PER_SECOND;
  return attempt >= settings.maxAttempts || waitMs > settings.maxRetryAfterMs;
}
