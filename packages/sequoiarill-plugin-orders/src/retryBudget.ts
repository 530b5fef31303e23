/**
 * Second sendings allowed while first ones flow. Pure.
 *
 * Load pattern: a slow or failing service under steady traffic. Without a budget each order is sent
 * up to the attempt limit, so a service that fails under load gets a multiple of that load and
 * cannot come back. With it, retries add at most `ratio` to the load, whatever the failure rate.
 */

/** Lets a quiet router retry the few orders it has; one burst of this size is no overload. */
const RESERVE = 10;

export interface RetryBudget {
  /** Counts a first sending. */
  readonly addFirst: () => void;
  /** Whether one more sending is allowed; if so, it is counted. */
  readonly takeRetry: () => boolean;
  readonly getRemaining: () => number;
}

/** `recordRetry` is told of each retry that is allowed. */
export function createRetryBudget(ratio: number, recordRetry: () => void): RetryBudget {
  let remaining = RESERVE;
  return {
    addFirst() {
      remaining = Math.min(RESERVE, remaining + ratio);
    },
    takeRetry() {
      if (remaining < 1) return false;
      remaining -= 1;
      recordRetry();
      return true;
    },
    getRemaining: () => remaining,
  };
}
