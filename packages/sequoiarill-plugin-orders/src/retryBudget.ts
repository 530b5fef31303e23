/**
 * Limits retries to a share of the first attempts. Uses no clock and no I/O.
 *
 * Load pattern: a slow or failing service under steady traffic. Without a budget, every order would
 * be sent up to the attempt limit: a service that fails under load would receive a multiple of that
 * load and could not recover. With the budget, retries add at most `ratio` to the load over time,
 * whatever the failure rate.
 */

/**
 * Lets a router with little traffic retry its few orders. A single burst of this size does not
 * overload a service.
 */
const RESERVED_RETRIES = 10;

export interface RetryBudget {
  /** Counts a first attempt, which adds to the budget. */
  readonly addFirstAttempt: () => void;
  /** Takes one retry from the budget; returns whether it was available. */
  readonly takeRetry: () => boolean;
  readonly getRemainingRetries: () => number;
}

/** `recordRetry` is called for each retry that is allowed. */
export function createRetryBudget(ratio: number, recordRetry: () => void): RetryBudget {
  let remaining = RESERVED_RETRIES;
  return {
    addFirstAttempt() {
      remaining = Math.min(RESERVED_RETRIES, remaining + ratio);
    },
    takeRetry() {
      if (remaining < 1) return false;
      remaining -= 1;
      recordRetry();
      return true;
    },
    getRemainingRetries: () => remaining,
  };
}
