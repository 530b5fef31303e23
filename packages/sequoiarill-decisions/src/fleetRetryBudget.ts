/**
 * One router's share of the retries that all routers together may send to a service.
 *
 * All routers together may retry a share of the requests of a window, plus a fixed number (the
 * slack). When a crash takes a third of the engines, each router of a large fleet has to retry two
 * or three streams in the same second. With a token bucket that earns its share request by request,
 * a router can only save up its part of the slack, one or two retries, and nearly half of the
 * streams of such a crash fail. So each router applies the fleet's rule to itself: the retries of a
 * window against the requests of the same window. Retries earned in the seconds before the crash
 * are then available when it happens, and the sum over all routers stays within the rule without a
 * central counter.
 *
 * In a fleet of so many routers that each has one or two streams and a share below two retries, a
 * router that has two streams in one crash, or one stream in each of two crashes, exceeds its
 * share, while most of the other routers' shares are unused; one stream in ten fails for that
 * alone. So such a router borrows the missing fraction of a retry. The lender counts it as spent,
 * and the sum stays within the rule.
 *
 * Without knowledge of the others, a router needs margins: requests and retries fall into different
 * windows of two routers, some routers are unknown, and a process that starts cannot know what an
 * earlier one has spent. When engines crash zone after zone, or all routers are restarted, these
 * margins are a fifth and more of what the rule allows, and streams end for want of just these
 * retries. Where the totals of the fleet are known, each router scales its share so that the sum of
 * all shares is what the rule allows, apart from one small margin.
 */
import type { FleetRepeats, OwnRepeats } from '@sequoiarill/types';

import type { RetryBudget } from './retryBudget';

export interface FleetRetryBudgetOptions {
  /** Retries that all routers together may send for each request of a window. */
  readonly ratio: number;
  /** Retries that all routers together may send in a window in addition, without any requests. */
  readonly slack: number;
  readonly windowMs: number;
  /** Number of routers that share the slack, including this one. */
  readonly countRouters: () => number;
  /** Start of this incarnation; an earlier one may have spent quota of the same window. */
  readonly startedMs: number;
  /** Whether an earlier process of this router may have used its share in the last window. */
  readonly hasPredecessor?: () => boolean;
  /** Whether the other routers still count this one among those that share the slack. */
  readonly isShareReserved?: () => boolean;
  /** Sums over the routers of the fleet; undefined where no recent ones are known. */
  readonly getFleetTotals?: () => FleetRepeats | undefined;
  /** Called when a retry was taken, and when one was returned. */
  readonly reportChange?: (change: 'taken' | 'returned') => void;
}

export interface FleetRetryBudget extends RetryBudget {
  /** Returns a retry that was spent on an attempt which reached no target and so added no load. */
  readonly releaseRetry: () => void;
  /** Retries that the window allows, including those already spent. */
  readonly getCapacity: (nowMs: number) => number;
  /**
   * Grants another router up to `wanted` retries, fractions included, from the remaining quota. They
   * count as spent by this router.
   */
  readonly grantQuota: (nowMs: number, wanted: number) => number;
  /** Adds quota that another router granted for the window that begins now. */
  readonly recordBorrowed: (nowMs: number, retries: number) => void;
  /** Own figures of the window, for the totals of the fleet. */
  readonly getTotals: (nowMs: number) => OwnRepeats;
  /** Factor on the own share of the fleet's retries. */
  readonly getFactor: () => number;
  /** What the capacity is made of, for logs and the state dump. */
  readonly describe: (nowMs: number) => RetryBudgetState;
}

export interface RetryBudgetState {
  /** Requests and retries of the window, as this router counts them. */
  readonly requests: number;
  readonly retries: number;
  /** Retries that the window allows. */
  readonly capacity: number;
  /** Routers that share the slack. */
  readonly routers: number;
  /** Factor on the retries that this router's requests allow: 0 in the first window of a process whose predecessors nobody knows. */
  readonly knownShare: number;
  /** Factor on this router's share of the slack. */
  readonly slackFactor: number;
  /** Factor on the whole share, from the sums of the fleet. */
  readonly fleetFactor: number;
  /** Retries taken since the start, without those that were returned. */
  readonly taken: number;
}

/**
 * Margin for windows of two routers that do not align, so that requests and retries fall into
 * different ones.
 */
const RATIO_MARGIN = 0.75;
/** Margin for routers that have just joined and are not known to all others. */
const SLACK_MARGIN = 0.85;
/** A router that knows fewer routers than this may not have discovered the others yet. */
const MIN_ROUTERS = 6;
/**
 * Factor for the slack in the first window of a process that has no predecessor, or where all others tell what ended processes
 * have spent: their sums are seconds old, and a process that was stopped leaves no trace.
 */
const FIRST_WINDOW_SHARE = 0.4;
/** Share of the fleet's rule that all routers together use where its totals are known. */
const FLEET_SHARE = 0.95;
/** Share of the rule at which no router takes a retry any more, since the totals are seconds old. */
const SPENT_SHARE = 0.92;
/** Bounds the effect of totals that are wrong, such as those of a fleet that has just started. */
const MAX_FACTOR = 2.5;
/** A fleet whose ended processes have spent most of the window must still retry some streams. */
const MIN_FACTOR = 0.5;
/** Slots of a window in which events are counted; the age of an event is accurate to one slot. */
const WINDOW_SLOTS = 20;

interface SlidingWindowCounter {
  readonly add: (nowMs: number, count: number) => void;
  /**
   * Sum over the window that ends now, with or without the oldest slot, which is only partly
   * inside.
   */
  readonly read: (nowMs: number, partialSlot: 'without' | 'with') => number;
}

function createSlidingWindowCounter(windowMs: number): SlidingWindowCounter {
  const slotMs = windowMs / WINDOW_SLOTS;
  /**
   * One slot more than a window has, for the oldest one, which is only partly inside the window.
   */
  const counts = new Array<number>(WINDOW_SLOTS + 1).fill(0);
  let newestSlot = 0;

  function update(nowMs: number): void {
    const current = Math.floor(nowMs / slotMs);
    const first = Math.max(newestSlot + 1, current - WINDOW_SLOTS);
    for (let slot = first; slot <= current; slot += 1) counts[slot % counts.length] = 0;
    newestSlot = Math.max(newestSlot, current);
  }

  return {
    add(nowMs, count) {
      update(nowMs);
      const index = newestSlot % counts.length;
      counts[index] = (counts[index] ?? 0) + count;
    },
    read(nowMs, partialSlot) {
      update(nowMs);
      const oldest = partialSlot === 'with' ? 0 : (counts[(newestSlot + 1) % counts.length] ?? 0);
      return counts.reduce((sum, count) => sum + count, 0) - oldest;
    },
  };
}

export function createFleetRetryBudget(options: FleetRetryBudgetOptions): FleetRetryBudget {
  const { ratio, slack, windowMs, countRouters, startedMs } = options;
  const { getFleetTotals, hasPredecessor, isShareReserved, reportChange } = options;
  const requests = createSlidingWindowCounter(windowMs);
  const retries = createSlidingWindowCounter(windowMs);
  const borrowed = createSlidingWindowCounter(windowMs);
  let latestMs = startedMs;
  let taken = 0;

  function isSettled(): boolean {
    return latestMs - startedMs >= windowMs;
  }

  /**
   * Failure: all routers are killed, some times in a row, and each process uses the share that the one before it has used in
   * the same window. So in its first window a process uses a share only as far as other routers have run for longer and
   * tell what ended processes have spent.
   */
  function getKnownShare(): number {
    if (isSettled() || hasPredecessor?.() === false) return 1;
    const { routers = 1, settledRouters = 0 } = getFleetTotals?.() ?? {};
    return settledRouters / Math.max(1, routers);
  }

  function getSlackFactor(): number {
    if (isShareReserved?.() === false) return 0;
    return isSettled() ? 1 : FIRST_WINDOW_SHARE * getKnownShare();
  }

  /** Share that the others assume for this router, from which the shares of a fleet with known totals are scaled. */
  function getShare(nowMs: number): { readonly earned: number; readonly slackShare: number } {
    latestMs = Math.max(latestMs, nowMs);
    const slackShare = (slack * SLACK_MARGIN) / Math.max(MIN_ROUTERS, countRouters());
    const earned = requests.read(latestMs, 'without') * ratio * RATIO_MARGIN;
    return { earned, slackShare };
  }

  /** A share of what the rule allows, without what ended processes have spent. */
  function computeAllowed(fleet: FleetRepeats, share: number): number {
    const earned = ratio * (fleet.requests + fleet.endedRequests);
    return share * (earned + slack) - fleet.endedRetries;
  }

  /** Routers that are not in the totals are assumed to allow themselves as much as the others do. */
  function getFactor(): number {
    const fleet = getFleetTotals?.();
    if (fleet === undefined || fleet.capacity <= 0) return 1;
    const missing = Math.max(0, countRouters() - fleet.routers) / Math.max(1, fleet.routers);
    const factor = computeAllowed(fleet, FLEET_SHARE) / (fleet.capacity * (1 + missing));
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }

  /**
   * Load pattern: few requests. The share of a router goes up and down with its own requests, and what each of the routers
   * has taken at the best moment of the window adds up to more than they had together at any moment.
   */
  function getFleetBalance(): number {
    const fleet = getFleetTotals?.();
    if (fleet === undefined || fleet.capacity <= 0) return Number.POSITIVE_INFINITY;
    return computeAllowed(fleet, SPENT_SHARE) - fleet.retries;
  }

  function getCapacity(nowMs: number): number {
    const { earned, slackShare } = getShare(nowMs);
    const share = (earned * getKnownShare() + slackShare * getSlackFactor()) * getFactor();
    return share + borrowed.read(latestMs, 'without');
  }

  function getBalance(nowMs: number): number {
    const balance = getCapacity(nowMs) - retries.read(latestMs, 'with');
    return Math.min(balance, getFleetBalance());
  }

  return {
    getCapacity,
    getBalance,
    getFactor,
    getTotals(nowMs) {
      const { earned, slackShare } = getShare(nowMs);
      return {
        requests: requests.read(latestMs, 'without'),
        // What was borrowed is among the retries of the lender.
        retries: Math.max(0, retries.read(latestMs, 'with') - borrowed.read(latestMs, 'without')),
        capacity: earned + slackShare,
        isSettled: isSettled(),
      };
    },
    describe: (nowMs) => ({
      requests: requests.read(nowMs, 'without'),
      retries: retries.read(nowMs, 'with'),
      capacity: getCapacity(nowMs),
      routers: countRouters(),
      knownShare: getKnownShare(),
      slackFactor: getSlackFactor(),
      fleetFactor: getFactor(),
      taken,
    }),
    recordRequest(nowMs) {
      latestMs = Math.max(latestMs, nowMs);
      requests.add(latestMs, 1);
    },
    takeRetry(nowMs) {
      if (getBalance(nowMs) < 1) return false;
      retries.add(latestMs, 1);
      taken += 1;
      reportChange?.('taken');
      return true;
    },
    releaseRetry() {
      retries.add(latestMs, -1);
      taken -= 1;
      reportChange?.('returned');
    },
    grantQuota(nowMs, wanted) {
      const granted = Math.max(0, Math.min(wanted, getBalance(nowMs)));
      retries.add(latestMs, granted);
      return granted;
    },
    recordBorrowed(nowMs, quota) {
      latestMs = Math.max(latestMs, nowMs);
      borrowed.add(latestMs, quota);
    },
  };
}
