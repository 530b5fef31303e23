/**
 * Bounds what retries and continuations may add to the load.
 *
 * Load pattern: many failures at once. Without a bound each failed attempt is tried again by every
 * router, the load of a fleet that lost a third rises instead of falling, and the survivors fail
 * too. Retries are a share of the requests, plus a little each second so that a quiet router can
 * still repair one request, plus a burst for a single lost target.
 */

export interface RetryBudgetOptions {
  /** Retries earned by each request, such as 0.1. */
  readonly ratio: number;
  /** Retries earned each second without any request. */
  readonly minPerSecond: number;
  /** Retries that may be saved up. */
  readonly burst: number;
}

export interface RetryBudget {
  readonly recordRequest: (nowMs: number) => void;
  /** Spends one retry; false when none is left and the attempt must end. */
  readonly takeRetry: (nowMs: number) => boolean;
  readonly getBalance: (nowMs: number) => number;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  let balance = options.burst;
  let updatedAtMs: number | undefined;

  function addEarned(nowMs: number, earned: number): void {
    const elapsedMs = Math.max(0, nowMs - (updatedAtMs ?? nowMs));
    updatedAtMs = Math.max(nowMs, updatedAtMs ?? nowMs);
    balance += (elapsedMs / 1000) * options.minPerSecond + earned;
    balance = Math.min(options.burst, balance);
  }

  function recordRequest(nowMs: number): void {
    addEarned(nowMs, options.ratio);
  }

  function takeRetry(nowMs: number): boolean {
    addEarned(nowMs, 0);
    if (balance < 1) return false;
    balance -= 1;
    return true;
  }

  function getBalance(nowMs: number): number {
    addEarned(nowMs, 0);
    return balance;
  }

  return { recordRequest, takeRetry, getBalance };
}
