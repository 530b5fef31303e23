/**
 * Retry budget: bounds the load that retries and continuations may add.
 *
 * Load pattern: many failures at once. Without a bound every router retries each failed attempt, the load
 * on a fleet that lost a third of its targets rises instead of falling, and the remaining targets fail
 * too. The budget is a share of the requests, plus a minimum rate so that a router with little load can
 * still retry a request, plus a burst that covers the loss of a single target.
 */

export interface RetryBudgetOptions {
  /** Retries earned by each request, such as 0.1. */
  readonly ratio: number;
  /** Retries earned each second without any request. */
  readonly minPerSecond: number;
  /** Maximum number of accumulated retries. */
  readonly burst: number;
}

export interface RetryBudget {
  readonly recordRequest: (nowMs: number) => void;
  /** Takes one retry from the budget; returns false if none is left and the request must not be retried. */
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
