/**
 * One router's part of the repeats that all routers together may send to a service.
 *
 * Load pattern: a crash takes a third of the engines, and each router of a large fleet has two or three
 * streams to repeat in the same second. All routers together may repeat a share of the requests of a
 * window and a fixed number besides. A bucket that earns its share request by request lets a router
 * save up its part of the fixed number only, one or two repeats, and nearly half of the streams of such a
 * crash fail. So each router keeps the rule for itself, in the form in which it holds for all: repeats of
 * a window against requests of the same window. What it earned in the seconds before the crash is there
 * when it comes, and the sum over all routers keeps the rule without anybody counting it.
 *
 * Load pattern: the same crash in a fleet of so many routers that each has one or two streams and a part
 * below two repeats. Whoever has two streams in one crash, or one stream in two, is short, while most
 * of the parts of its neighbours lie idle; one stream in ten fails for that alone. So a router that is
 * short borrows the missing part of a repeat. The lender counts it as spent, and the sum still keeps
 * the rule.
 */
import type { RetryBudget } from './retryBudget';

export interface FleetRetryBudgetOptions {
  /** Repeats that all routers together may send for each request of a window. */
  readonly ratio: number;
  /** Repeats of all routers in a window that need no requests beside them. */
  readonly slack: number;
  readonly windowMs: number;
  /** Routers that share the slack, this one too. */
  readonly countRouters: () => number;
  /** This router began its life then: another life may have spent from the same window. */
  readonly startedMs: number;
}

export interface FleetRetryBudget extends RetryBudget {
  /** Gives one back that was spent on an attempt which reached nobody, and so added no load. */
  readonly releaseRetry: () => void;
  /** Repeats that the window allows, spent ones too. */
  readonly getCapacity: (nowMs: number) => number;
  /** Gives as much of `wanted` as is left, parts of a repeat too; it counts as spent here. */
  readonly grantQuota: (nowMs: number, wanted: number) => number;
  /** Another router has lent so much for the window that begins now. */
  readonly recordBorrowed: (nowMs: number, repeats: number) => void;
}

/** For windows that do not match: requests and repeats of two routers fall into different ones. */
const RATIO_MARGIN = 0.75;
/** For routers that have just come and are not known to all. */
const SLACK_MARGIN = 0.85;
/** A fleet of fewer routers than this may be one of which the others are not known yet. */
const MIN_ROUTERS = 6;
/** Part of the slack in the first window of a life. */
const FIRST_SHARE = 0.4;
/** Parts of a window in which events are counted: what is older than a window is off by one part. */
const SLOTS = 20;

interface SlidingCount {
  readonly add: (nowMs: number, count: number) => void;
  /** Of the window that ends now; whole parts only, or with the part that is half out of it. */
  readonly read: (nowMs: number, edge: 'without' | 'with') => number;
}

function createSlidingCount(windowMs: number): SlidingCount {
  const slotMs = windowMs / SLOTS;
  /** One more than a window has, so that the oldest is the one that is partly out of it. */
  const counts = new Array<number>(SLOTS + 1).fill(0);
  let newest = 0;

  function update(nowMs: number): void {
    const current = Math.floor(nowMs / slotMs);
    const first = Math.max(newest + 1, current - SLOTS);
    for (let slot = first; slot <= current; slot += 1) counts[slot % counts.length] = 0;
    newest = Math.max(newest, current);
  }

  return {
    add(nowMs, count) {
      update(nowMs);
      const index = newest % counts.length;
      counts[index] = (counts[index] ?? 0) + count;
    },
    read(nowMs, edge) {
      update(nowMs);
      const oldest = edge === 'with' ? 0 : (counts[(newest + 1) % counts.length] ?? 0);
      return counts.reduce((sum, count) => sum + count, 0) - oldest;
    },
  };
}

export function createFleetRetryBudget(options: FleetRetryBudgetOptions): FleetRetryBudget {
  const { ratio, slack, windowMs, countRouters, startedMs } = options;
  const requests = createSlidingCount(windowMs);
  const repeats = createSlidingCount(windowMs);
  const borrowed = createSlidingCount(windowMs);
  let lastMs = startedMs;

  function getCapacity(nowMs: number): number {
    lastMs = Math.max(lastMs, nowMs);
    const share = (slack * SLACK_MARGIN) / Math.max(MIN_ROUTERS, countRouters());
    const part = nowMs - startedMs < windowMs ? FIRST_SHARE : 1;
    const earned = requests.read(lastMs, 'without') * ratio * RATIO_MARGIN;
    return earned + share * part + borrowed.read(lastMs, 'without');
  }

  function getBalance(nowMs: number): number {
    return getCapacity(nowMs) - repeats.read(lastMs, 'with');
  }

  return {
    getCapacity,
    getBalance,
    recordRequest(nowMs) {
      lastMs = Math.max(lastMs, nowMs);
      requests.add(lastMs, 1);
    },
    takeRetry(nowMs) {
      if (getBalance(nowMs) < 1) return false;
      repeats.add(lastMs, 1);
      return true;
    },
    releaseRetry() {
      repeats.add(lastMs, -1);
    },
    grantQuota(nowMs, wanted) {
      const lent = Math.max(0, Math.min(wanted, getBalance(nowMs)));
      repeats.add(lastMs, lent);
      return lent;
    },
    recordBorrowed(nowMs, lent) {
      lastMs = Math.max(lastMs, nowMs);
      borrowed.add(lastMs, lent);
    },
  };
}
