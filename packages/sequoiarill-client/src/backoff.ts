/**
 * Computes the delay before the next attempt. Pure functions; the random generator is an argument.
 */

export interface BackoffSettings {
  /** Consecutive attempts without a new event after which the client gives up. */
  readonly maxAttempts: number;
  /** Upper bound of the first delay, in milliseconds; it doubles with each attempt. */
  readonly firstDelayMs: number;
  /** Upper bound of all delays, in milliseconds, unless the server sends `Retry-After`. */
  readonly maxDelayMs: number;
  /** The client gives up if the server requests a longer delay than this, in milliseconds. */
  readonly maxRetryAfterMs: number;
}

/**
 * The first retries of a broken stream follow quickly, since a router or engine is replaced within
 * seconds. The bound of the delay rises to 1.6 s by the fifth retry, so that retries of thousands of
 * callers do not overload a router or engine that has just recovered.
 */
export const DEFAULT_BACKOFF: BackoffSettings = {
  maxAttempts: 8,
  firstDelayMs: 100,
  maxDelayMs: 2_000,
  maxRetryAfterMs: 30_000,
};

/** Prevents callers that were refused at the same time from retrying at the same time. */
const RETRY_AFTER_JITTER_RATIO = 0.25;
const MS_PER_SECOND = 1_000;

/**
 * Returns a random delay up to the current bound (full jitter), so that callers that were
 * disconnected together do not reconnect together. A `Retry-After` delay is never shortened.
 */
export function computeDelayMs(
  settings: BackoffSettings,
  attempt: number,
  retryAfterSeconds: number | undefined,
  nextRandom: () => number,
): number {
  if (retryAfterSeconds !== undefined) {
    return retryAfterSeconds * MS_PER_SECOND * (1 + RETRY_AFTER_JITTER_RATIO * nextRandom());
  }
  const maxWaitMs = Math.min(settings.maxDelayMs, settings.firstDelayMs * 2 ** (attempt - 1));
  return maxWaitMs * nextRandom();
}

/** Whether to give up, after too many attempts or if the server requests too long a delay. */
export function isExhausted(
  settings: BackoffSettings,
  attempt: number,
  retryAfterSeconds: number | undefined,
): boolean {
  const waitMs = (retryAfterSeconds ?? 0) * MS_PER_SECOND;
  return attempt >= settings.maxAttempts || waitMs > settings.maxRetryAfterMs;
}
