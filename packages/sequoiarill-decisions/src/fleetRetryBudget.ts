/**
 * One router's share of the retries that all routers together may send to a service.
 *
 * All routers together may retry a share of the requests of a window, plus a fixed number (the
 * slack). When a crash takes a third of the engines, each router of a large fleet has to retry two
 * or three streams in the same second. With a token bucket that earns its share request by request,
 * a router can only save up its part of the slack, one or two retries, and nearly half of the
 * streams of such a crash fail. So each router applies the fleet's rule to itself: the retries of a
 * window against the requests of a window. Retries earned in the seconds before the crash
 * are then available when it happens.
 *
 * The sum over all routers stays within the rule without a central counter, and without knowledge of
 * each other that could be late. A router's requests go up and down, and if each retried as much as its own best moment
 * allows, the sum would exceed what the fleet had at any one moment. So the retries of a window are
 * compared with the fewest requests that any window has had which ended in the last one. For a window of the
 * rule, each router then uses no more than its requests of the window before allow, and these add up.
 *
 * In a fleet of so many routers that each has one or two streams and a share below two retries, a
 * router that has two streams in one crash, or one stream in each of two crashes, exceeds its
 * share, while most of the other routers' shares are unused; one stream in ten fails for that
 * alone. So such a router borrows the missing fraction of a retry. The lender counts it as spent
 * for longer than it can be used, and the sum stays within the rule.
 */
import type { FleetRepeats, OwnRepeats } from '@sequoiarill/types';

import * as BorrowedQuotas from './borrowedQuota';
import * as CountedRetries from './countedRetries';
import type { RetryBudget } from './retryBudget';
import * as SlotCounters from './slotCounter';

/** What a process of a router has counted by its end; the next one goes on with it. */
export interface RetryHistory {
  /** Counts by slot, the newest first. */
  readonly requests: readonly number[];
  readonly retries: readonly number[];
}

export interface EndedProcess extends RetryHistory {
  /** Monotonic milliseconds of this process. */
  readonly endedMs: number;
}

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
  /** Counts of the earlier process, where it has left them. */
  readonly getPredecessor?: () => EndedProcess | undefined;
  /** Whether the other routers still count this one among those that share the slack. */
  readonly isShareReserved?: () => boolean;
  /** Sums over the routers of the fleet, which may be late; undefined where none are known. */
  readonly getFleetTotals?: () => FleetRepeats | undefined;
  /** Called when a retry was taken, and when one was returned. */
  readonly reportChange?: (change: 'taken' | 'returned') => void;
}

export interface FleetRetryBudget extends RetryBudget {
  /** Returns a retry that was spent on an attempt which reached no target and so added no load. */
  readonly releaseRetry: () => void;
  /**
   * A retry that was taken is sent. It counts until the returned function is called, when the target has answered it or
   * its send has ended, and for a window from then on.
   */
  readonly recordSend: (nowMs: number) => (endMs: number) => void;
  /**
   * The request of a retry was sent to a target that has not answered it, and may receive it later together with what is sent
   * by then. The retry counts until the target is heard, and for a window from then on.
   */
  readonly holdRetry: (nowMs: number, target: string) => void;
  /** The target is heard again: it has received what was sent to it. */
  readonly settleHeld: (nowMs: number, target: string) => void;
  /** Retries that the window allows, including those already spent. */
  readonly getCapacity: (nowMs: number) => number;
  /**
   * Grants another router up to `wanted` retries, fractions included, from the remaining quota. They
   * count as spent by this router.
   */
  readonly grantQuota: (nowMs: number, wanted: number) => number;
  /** Adds quota that another router granted; `askedMs`: when it was asked, since the quota expires. */
  readonly recordBorrowed: (askedMs: number, retries: number) => void;
  /** Own figures of the window, for the totals of the fleet. */
  readonly getTotals: (nowMs: number) => OwnRepeats;
  /** Undefined in the first window, in which a process does not know what its share allows. */
  readonly getHistory: (nowMs: number) => RetryHistory | undefined;
  /** What the capacity is made of, for logs and the state dump. */
  readonly describe: (nowMs: number) => RetryBudgetState;
}

export interface RetryBudgetState {
  /** Requests and retries of the window, as this router counts them. */
  readonly requests: number;
  readonly retries: number;
  /** The fewest requests of a window that ended in the last one. */
  readonly fewestRequests: number;
  /** Retries that the window allows. */
  readonly capacity: number;
  /** Retries of other routers that may still be used. */
  readonly borrowed: number;
  /** Retries whose requests may reach a silent target later. */
  readonly held: number;
  /** Routers that share the slack. */
  readonly routers: number;
  /** Part of the fleet's slack that this router may use. */
  readonly slackShare: number;
  /** Retries taken since the start, without those that were returned. */
  readonly taken: number;
}

/** Part of the rule that all routers together use, for events whose times are rounded. */
const FLEET_SHARE = 0.97;
/** Share of the rule at which no router takes a retry any more where the totals of the fleet say so. */
const SPENT_SHARE = 0.97;
/** A router that knows fewer routers than this may not have discovered the others yet. */
const MIN_ROUTERS = 6;
/** Factor for the slack in the first window of a process that has no predecessor: others may not know of it yet. */
const FIRST_WINDOW_SHARE = 0.4;
/** Slots of a window in which events are counted. */
const WINDOW_SLOTS = 100;
/** Windows that are compared end so often within one. */
const COMPARED_WINDOWS = 2;
/** Time for which borrowed quota may be used, and by which retries count for longer than a window. */
const DELIVERY_MS = 500;

/**
 * Counts the fewest requests of windows that ended within the last one. They are compared at fixed times, not at each moment:
 * with few requests, the fewest of very many windows are hardly any. Windows that end before `settledMs` are not known.
 */
function createFewestCount(requests: SlotCounters.SlotCounter, windowMs: number) {
  const comparedMs = windowMs / COMPARED_WINDOWS;
  let ended: { readonly lastMs: number; readonly fewest: number } | undefined;
  return (nowMs: number, settledMs: number): number => {
    const lastMs = Math.floor(nowMs / comparedMs) * comparedMs;
    if (ended?.lastMs !== lastMs) {
      const ends = Array.from({ length: COMPARED_WINDOWS + 1 }, (_one, index) =>
        Math.max(lastMs - index * comparedMs, settledMs),
      );
      const counts = ends.map((endMs) => requests.sumUntil(endMs, windowMs));
      ended = { lastMs, fewest: Math.min(...counts) };
    }
    return ended.fewest;
  };
}

export function createFleetRetryBudget(options: FleetRetryBudgetOptions): FleetRetryBudget {
  const { ratio, slack, windowMs, countRouters, startedMs } = options;
  const { getFleetTotals, getPredecessor, hasPredecessor, isShareReserved, reportChange } = options;
  const slotMs = windowMs / WINDOW_SLOTS;
  /** A retry counts until it has left the window in which it arrived. */
  const countedMs = windowMs + DELIVERY_MS;
  const comparedMs = windowMs / COMPARED_WINDOWS;
  const requests = SlotCounters.createSlotCounter(slotMs, 2 * windowMs + comparedMs);
  const countFewest = createFewestCount(requests, windowMs);
  const retries = CountedRetries.createCountedRetries(slotMs, countedMs);
  /** Retries that were paid with quota of other routers. */
  const paidByOthers = SlotCounters.createSlotCounter(slotMs, countedMs);
  /** End of the first window of which all requests are known. */
  let settledMs = startedMs + windowMs;
  const borrowed = BorrowedQuotas.createBorrowedQuota();
  let latestMs = startedMs;
  let taken = 0;

  function isSettled(): boolean {
    return latestMs >= settledMs;
  }

  function getSlackShare(): number {
    if (isShareReserved?.() === false) return 0;
    const share = slack / Math.max(MIN_ROUTERS, countRouters());
    return isSettled() ? share : FIRST_WINDOW_SHARE * share;
  }

  function countFewestRequests(): number {
    const latest = requests.sum(latestMs, windowMs);
    return isSettled() ? Math.min(latest, countFewest(latestMs, settledMs)) : latest;
  }

  /**
   * Failure: all routers are killed, some times in a row, and each process uses the share that the one before it has used in
   * the same window. So a process with a predecessor uses its share only after a window, or with the counts of the earlier one.
   */
  function computeShare(nowMs: number): number {
    latestMs = Math.max(latestMs, nowMs);
    if (!isSettled() && hasPredecessor?.() !== false) {
      const predecessor = getPredecessor?.();
      if (predecessor === undefined) return 0;
      addHistory(predecessor);
    }
    return FLEET_SHARE * (ratio * countFewestRequests() + getSlackShare());
  }

  function addHistory({ requests: earlier, retries: spent, endedMs }: EndedProcess): void {
    requests.addCounts(earlier, endedMs);
    retries.addCounts(spent, endedMs);
    settledMs = Number.NEGATIVE_INFINITY;
  }

  /** What is left of the own share; negative where it has shrunk since it was used. */
  function getOwnBalance(nowMs: number): number {
    return computeShare(nowMs) - retries.countHeld(latestMs) - retries.count(latestMs);
  }

  /** Routers of an earlier build may use more than their share. */
  function getFleetBalance(): number {
    const fleet = getFleetTotals?.();
    if (fleet === undefined || fleet.capacity <= 0) return Number.POSITIVE_INFINITY;
    const earned = ratio * (fleet.requests + fleet.endedRequests);
    return SPENT_SHARE * (earned + slack) - fleet.endedRetries - fleet.retries;
  }

  function getBalance(nowMs: number): number {
    const balance = Math.max(0, getOwnBalance(nowMs)) + borrowed.count(latestMs);
    return Math.min(balance, getFleetBalance());
  }

  return {
    getBalance,
    getCapacity: (nowMs) => computeShare(nowMs) + borrowed.count(latestMs),
    getTotals(nowMs) {
      const capacity = computeShare(nowMs);
      return {
        requests: requests.sum(latestMs, windowMs),
        retries: retries.countHeld(latestMs) + retries.count(latestMs),
        capacity,
        isSettled: isSettled(),
      };
    },
    getHistory(nowMs) {
      latestMs = Math.max(latestMs, nowMs);
      if (!isSettled()) return undefined;
      return { requests: requests.listCounts(latestMs), retries: retries.listCounts(latestMs) };
    },
    describe(nowMs) {
      const capacity = computeShare(nowMs);
      return {
        requests: requests.sum(latestMs, windowMs),
        retries: retries.count(latestMs),
        fewestRequests: countFewestRequests(),
        capacity,
        borrowed: borrowed.count(latestMs),
        held: retries.countHeld(latestMs),
        routers: countRouters(),
        slackShare: getSlackShare(),
        taken,
      };
    },
    recordRequest(nowMs) {
      latestMs = Math.max(latestMs, nowMs);
      requests.add(latestMs, 1);
    },
    takeRetry(nowMs) {
      if (getBalance(nowMs) < 1) return false;
      const paid = borrowed.take(1, latestMs);
      paidByOthers.add(latestMs, paid);
      retries.add(latestMs, 1 - paid);
      taken += 1;
      reportChange?.('taken');
      return true;
    },
    releaseRetry() {
      // Which retry it was is not known: one that another router has paid returns nothing.
      if (paidByOthers.sumAll(latestMs) === 0) retries.removeOldest(latestMs, 1);
      taken -= 1;
      reportChange?.('returned');
    },
    recordSend(sentMs) {
      const recordEnd = retries.recordSend(sentMs);
      return (endMs) => {
        latestMs = Math.max(latestMs, endMs);
        recordEnd(latestMs);
      };
    },
    holdRetry(nowMs, target) {
      latestMs = Math.max(latestMs, nowMs);
      retries.hold(latestMs, target);
    },
    settleHeld(nowMs, target) {
      latestMs = Math.max(latestMs, nowMs);
      retries.settle(latestMs, target);
    },
    grantQuota(nowMs, wanted) {
      const balance = Math.min(getOwnBalance(nowMs), getFleetBalance());
      const granted = Math.max(0, Math.min(wanted, balance));
      retries.add(latestMs, granted);
      return granted;
    },
    recordBorrowed(askedMs, quota) {
      borrowed.add(quota, askedMs + DELIVERY_MS);
    },
  };
}
