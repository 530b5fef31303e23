/**
 * An organisation's own limits on this router: tokens a second and requests at once.
 *
 * Load pattern: a few organisations that send most of the load. Without limits of their own, the
 * queue is the only thing between them and everybody else. The caller is told 429, with the time
 * until its own budget holds enough, so that it can tell its own limit from the system's.
 */
import type { OrganisationLimits } from '@sequoiarill/types';

/** Budget that may be saved up, in seconds of the limit: the burst of a page load, not of an hour. */
const BURST_SECONDS = 5;
const MAX_RETRY_SECONDS = 60;
/** Guess of when one of its own running requests ends. */
const CONCURRENCY_RETRY_SECONDS = 2;

export interface LimitQuestion {
  readonly organisation: string;
  readonly limits: OrganisationLimits;
  /** Part of the fleet's limit that this router may use, 0 to 1. */
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

export type LimitAnswer = WithinLimit | OverLimit;

export interface OrganisationLimiter {
  /** Charges the tokens and one request when both fit; changes nothing otherwise. */
  readonly reserveUse: (question: LimitQuestion) => LimitAnswer;
  /** Gives back the request and corrects the charge to what was used. */
  readonly releaseUse: (organisation: string, chargedTokens: number, usedTokens: number) => void;
  readonly getRunning: (organisation: string) => number;
  readonly getSize: () => number;
}

interface Account {
  balance: number;
  capacity: number;
  updatedAtMs: number;
  running: number;
}

export function createOrganisationLimiter(): OrganisationLimiter {
  const accounts = new Map<string, Account>();

  function updateAccount(question: LimitQuestion): Account {
    const rate = question.limits.tokensPerSecond * question.share;
    const capacity = Math.max(rate * BURST_SECONDS, 1);
    const known = accounts.get(question.organisation);
    if (known === undefined) {
      const created = { balance: capacity, capacity, updatedAtMs: question.nowMs, running: 0 };
      accounts.set(question.organisation, created);
      return created;
    }
    const elapsedMs = Math.max(0, question.nowMs - known.updatedAtMs);
    known.capacity = capacity;
    known.balance = Math.min(capacity, known.balance + (elapsedMs / 1000) * rate);
    known.updatedAtMs = question.nowMs;
    return known;
  }

  function reserveUse(question: LimitQuestion): LimitAnswer {
    const account = updateAccount(question);
    const maxRunning = Math.max(1, Math.round(question.limits.concurrentRequests * question.share));
    if (account.running >= maxRunning) return refuseConcurrent(question);
    // A request larger than the whole budget runs once the budget is full, and leaves a debt.
    const needed = Math.min(question.tokens, account.capacity);
    if (account.balance < needed) return refuseTokens(question, needed - account.balance);
    account.balance -= question.tokens;
    account.running += 1;
    return { kind: 'within' };
  }

  function releaseUse(organisation: string, chargedTokens: number, usedTokens: number): void {
    const account = accounts.get(organisation);
    if (account === undefined) return;
    account.running = Math.max(0, account.running - 1);
    const corrected = account.balance + chargedTokens - usedTokens;
    account.balance = Math.min(account.capacity, Math.max(-account.capacity, corrected));
  }

  return {
    reserveUse,
    releaseUse,
    getRunning: (organisation) => accounts.get(organisation)?.running ?? 0,
    getSize: () => accounts.size,
  };
}

function refuseConcurrent(question: LimitQuestion): LimitAnswer {
  return {
    kind: 'over',
    retryAfterSeconds: CONCURRENCY_RETRY_SECONDS,
    message:
      `organisation ${question.organisation} has its limit of ` +
      `${question.limits.concurrentRequests} concurrent requests in progress`,
  };
}

function refuseTokens(question: LimitQuestion, missing: number): LimitAnswer {
  const rate = Math.max(1e-9, question.limits.tokensPerSecond * question.share);
  const seconds = Math.ceil(missing / rate);
  return {
    kind: 'over',
    retryAfterSeconds: Math.min(MAX_RETRY_SECONDS, Math.max(1, seconds)),
    message:
      `organisation ${question.organisation} has used its limit of ` +
      `${question.limits.tokensPerSecond} tokens a second`,
  };
}
