/**
 * Enforces the limits of an organisation on this router: tokens per second (a token bucket) and concurrent
 * requests.
 *
 * Load pattern: a few organisations send most of the load. Without limits per organisation, only the queue
 * protects the others from them. The caller gets status 429 and the time until the organisation's budget
 * suffices, so that it can distinguish its own limit from an overload of the system.
 */
import type { OrganisationLimits } from '@sequoiarill/types';

/** Capacity of the budget in seconds of the limit: enough for the burst of a page load, not of an hour. */
const BURST_SECONDS = 5;
const MAX_RETRY_AFTER_SECONDS = 60;
/** Estimated time until one of the organisation's running requests ends. */
const CONCURRENCY_RETRY_AFTER_SECONDS = 2;

export interface LimitQuery {
  readonly organisation: string;
  readonly limits: OrganisationLimits;
  /** Share of the fleet-wide limit that this router may use, 0 to 1. */
  readonly share: number;
  readonly tokens: number;
  readonly nowMs: number;
}

export interface WithinLimit {
  readonly kind: 'within';
}

export interface OverLimit {
  readonly kind: 'over';
  readonly retryAfterSeconds: number;
  readonly message: string;
}

export type LimitDecision = WithinLimit | OverLimit;

export interface OrganisationLimiter {
  /** Charges the tokens and one request if both fit into the limits; otherwise changes nothing. */
  readonly reserveUse: (query: LimitQuery) => LimitDecision;
  /** Releases the request and corrects the charge to the tokens that were used. */
  readonly releaseUse: (organisation: string, chargedTokens: number, usedTokens: number) => void;
  readonly getRunning: (organisation: string) => number;
  readonly getSize: () => number;
}

interface Budget {
  balance: number;
  capacity: number;
  updatedAtMs: number;
  running: number;
}

export function createOrganisationLimiter(): OrganisationLimiter {
  const budgets = new Map<string, Budget>();

  function updateBudget(query: LimitQuery): Budget {
    const rate = query.limits.tokensPerSecond * query.share;
    const capacity = Math.max(rate * BURST_SECONDS, 1);
    const existing = budgets.get(query.organisation);
    if (existing === undefined) {
      const budget = { balance: capacity, capacity, updatedAtMs: query.nowMs, running: 0 };
      budgets.set(query.organisation, budget);
      return budget;
    }
    const elapsedMs = Math.max(0, query.nowMs - existing.updatedAtMs);
    existing.capacity = capacity;
    existing.balance = Math.min(capacity, existing.balance + (elapsedMs / 1000) * rate);
    existing.updatedAtMs = query.nowMs;
    return existing;
  }

  function reserveUse(query: LimitQuery): LimitDecision {
    const budget = updateBudget(query);
    const maxRunning = Math.max(1, Math.round(query.limits.concurrentRequests * query.share));
    if (budget.running >= maxRunning) return refuseConcurrency(query);
    // A request larger than the capacity runs once the budget is full and makes the balance negative.
    const required = Math.min(query.tokens, budget.capacity);
    if (budget.balance < required) return refuseTokens(query, required - budget.balance);
    budget.balance -= query.tokens;
    budget.running += 1;
    return { kind: 'within' };
  }

  function releaseUse(organisation: string, chargedTokens: number, usedTokens: number): void {
    const budget = budgets.get(organisation);
    if (budget === undefined) return;
    budget.running = Math.max(0, budget.running - 1);
    const corrected = budget.balance + chargedTokens - usedTokens;
    budget.balance = Math.min(budget.capacity, Math.max(-budget.capacity, corrected));
  }

  return {
    reserveUse,
    releaseUse,
    getRunning: (organisation) => budgets.get(organisation)?.running ?? 0,
    getSize: () => budgets.size,
  };
}

function refuseConcurrency(query: LimitQuery): LimitDecision {
  return {
    kind: 'over',
    retryAfterSeconds: CONCURRENCY_RETRY_AFTER_SECONDS,
    message:
      `organisation ${query.organisation} has its limit of ` +
      `${query.limits.concurrentRequests} concurrent requests in progress`,
  };
}

function refuseTokens(query: LimitQuery, missingTokens: number): LimitDecision {
  const rate = Math.max(1e-9, query.limits.tokensPerSecond * query.share);
  const seconds = Math.ceil(missingTokens / rate);
  return {
    kind: 'over',
    retryAfterSeconds: Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, seconds)),
    message:
      `organisation ${query.organisation} has used its limit of ` +
      `${query.limits.tokensPerSecond} tokens a second`,
  };
}
