import { describe, it } from 'node:test';

import type { FleetRepeats } from '@sequoiarill/types';
import { expect } from 'earl';

import * as FleetRetryBudgets from '../fleetRetryBudget';
import * as Random from '../simulation/random';
import * as RetryBudget from '../retryBudget';
import type { RetryBudget as Budget } from '../retryBudget';

const WINDOW_MS = 10_000;
const RATIO = 0.8;
const SLACK = 150;
const STARTED_MS = -WINDOW_MS;

function createFleet(routers: number): readonly FleetRetryBudgets.FleetRetryBudget[] {
  return Array.from({ length: routers }, () =>
    FleetRetryBudgets.createFleetRetryBudget({
      ratio: RATIO,
      slack: SLACK,
      windowMs: WINDOW_MS,
      countRouters: () => routers,
      startedMs: STARTED_MS,
    }),
  );
}

type TakeRetry = (router: number, nowMs: number) => boolean;

interface Crash {
  readonly atMs: number;
  /** Streams that each router has to retry. */
  readonly streams: number;
}

/**
 * Simulates requests at a constant rate over all routers, and crashes; returns which retries were
 * allowed.
 */
function simulateCrashes(fleet: readonly Budget[], perSecond: number, crashes: readonly Crash[]) {
  const nextRandom = Random.createRandom(5);
  const requestsMs: number[] = [];
  const retriesMs: number[] = [];
  let refused = 0;
  const dueCrashes = [...crashes];
  for (let nowMs = 0; nowMs < 40_000; nowMs += 1_000 / perSecond) {
    const [next] = dueCrashes;
    if (next !== undefined && next.atMs <= nowMs) {
      dueCrashes.shift();
      for (const budget of fleet) {
        for (let stream = 0; stream < next.streams; stream += 1) {
          if (budget.takeRetry(nowMs)) retriesMs.push(nowMs);
          else refused += 1;
        }
      }
    }
    fleet[Math.floor(nextRandom() * fleet.length)]?.recordRequest(nowMs);
    requestsMs.push(nowMs);
  }
  return { requestsMs, retriesMs, refused };
}

/** Highest number of retries in any window above what its requests allow. */
function computeExcess(requestsMs: readonly number[], retriesMs: readonly number[]): number {
  const count = (times: readonly number[], endMs: number) =>
    times.filter((atMs) => atMs > endMs - WINDOW_MS && atMs <= endMs).length;
  const excesses = retriesMs.map(
    (endMs) => count(retriesMs, endMs) - RATIO * count(requestsMs, endMs) - SLACK,
  );
  return Math.max(...excesses);
}

const REPORT_MS = 2_000;

interface RestartPlay {
  readonly isTold: boolean;
  /** Whether each process starts with the counts of the one before it. */
  readonly handsOver?: boolean;
  /** Streams that each router has to retry at each crash. */
  readonly streams: number;
  readonly routers?: number;
}

interface SimulatedRouter {
  budget: FleetRetryBudgets.FleetRetryBudget;
  /** What its earlier process reported last. */
  ended: { readonly requests: number; readonly retries: number; readonly atMs: number };
}

/**
 * 30 requests a second over all routers, a restart of one router after the other, and a crash each second in the
 * second half. The totals are between two and four seconds old.
 */
function simulateRestarts({ isTold, handsOver, streams, routers = 18 }: RestartPlay) {
  const nextRandom = Random.createRandom(17);
  let totals: FleetRepeats | undefined;
  let nextTotals: FleetRepeats | undefined;
  const createBudget = (startedMs: number, predecessor?: FleetRetryBudgets.EndedProcess) =>
    FleetRetryBudgets.createFleetRetryBudget({
      ratio: RATIO,
      slack: SLACK,
      windowMs: WINDOW_MS,
      countRouters: () => routers,
      startedMs,
      getPredecessor: () => predecessor,
      getFleetTotals: () => (isTold ? totals : undefined),
    });
  const fleet = Array.from({ length: routers }, (): SimulatedRouter => {
    const ended = { requests: 0, retries: 0, atMs: STARTED_MS };
    return { budget: createBudget(STARTED_MS), ended };
  });

  function computeTotals(nowMs: number): FleetRepeats {
    const own = fleet.map(({ budget }) => budget.getTotals(nowMs));
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    // The totals are used for seconds, so requests of ended processes must have left them in time.
    const getLeft = (atMs: number, aheadMs: number) =>
      Math.max(0, 1 - (nowMs + aheadMs - atMs) / WINDOW_MS);
    return {
      requests: sum(own.map((one) => one.requests)),
      retries: sum(own.map((one) => one.retries)),
      capacity: sum(own.map((one) => one.capacity)),
      endedRequests: sum(
        fleet.map(({ ended }) => ended.requests * getLeft(ended.atMs, 2 * REPORT_MS)),
      ),
      endedRetries: sum(fleet.map(({ ended }) => (getLeft(ended.atMs, 0) > 0 ? ended.retries : 0))),
      routers,
      settledRouters: own.filter(({ isSettled }) => isSettled).length,
    };
  }

  function startAgain(router: SimulatedRouter | undefined, nowMs: number): void {
    if (router === undefined) return;
    router.ended = { ...router.budget.getTotals(nowMs), atMs: nowMs };
    const history = handsOver === true ? router.budget.getHistory(nowMs) : undefined;
    router.budget = createBudget(nowMs, history && { ...history, endedMs: nowMs });
  }

  function borrowQuota(budget: FleetRetryBudgets.FleetRetryBudget, nowMs: number): void {
    for (let attempt = 0; attempt < 6 && budget.getBalance(nowMs) < 1; attempt += 1) {
      const lender = fleet[Math.floor(nextRandom() * routers)]?.budget;
      const missing = 1 - budget.getBalance(nowMs) + 0.01;
      budget.recordBorrowed(nowMs, lender?.grantQuota(nowMs, missing) ?? 0);
    }
  }

  const requestsMs: number[] = [];
  const retriesMs: number[] = [];
  let refused = 0;
  function runRetries(nowMs: number): void {
    for (let stream = 0; stream < streams * routers; stream += 1) {
      const { budget } = fleet[Math.floor(nextRandom() * routers)] as SimulatedRouter;
      borrowQuota(budget, nowMs);
      if (budget.takeRetry(nowMs)) retriesMs.push(nowMs);
      else refused += 1;
    }
  }

  for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
    if (nowMs % REPORT_MS === 0) {
      totals = nextTotals;
      nextTotals = computeTotals(nowMs);
    }
    if (nowMs >= 10_000 && nowMs % 1_000 === 0) startAgain(fleet[nowMs / 1_000 - 10], nowMs);
    if (nextRandom() < 0.3) {
      fleet[Math.floor(nextRandom() * routers)]?.budget.recordRequest(nowMs);
      requestsMs.push(nowMs);
    }
    const isCrash = nowMs >= 20_000 && nowMs % 2_000 === 500;
    if (isCrash) runRetries(nowMs);
  }
  return { refused, retries: retriesMs.length, excess: computeExcess(requestsMs, retriesMs) };
}

describe('fleet retry budget', () => {
  it('lets the routers of a large fleet retry the streams that a crash interrupts', () => {
    // 88 routers, 37 streams a second, and crashes that interrupt two streams of each router. With
    // token buckets that only save up the router's part of the slack, most of these streams are
    // lost.
    const crashes = [
      { atMs: 15_000, streams: 2 },
      { atMs: 27_000, streams: 2 },
    ];
    const buckets = Array.from({ length: 88 }, () => {
      const burst = (SLACK * 0.85) / 88;
      return RetryBudget.createRetryBudget({ ratio: 0.6, minPerSecond: 0.1, burst });
    });
    expect(simulateCrashes(buckets, 37, crashes).refused).toBeGreaterThan(150);
    const result = simulateCrashes(createFleet(88), 37, crashes);
    expect(result.refused).toBeLessThan(40);
    expect(computeExcess(result.requestsMs, result.retriesMs)).toBeLessThan(0);
  });

  it('lets routers without enough quota borrow the unused quota of others', () => {
    // 195 routers and 33 streams a second: each router may retry one or two in a window. One of
    // five zones crashes every three seconds, and by chance some routers have several streams to
    // retry. One stream in seven was lost for that, while most of the fleet's quota was unused.
    const routers = 195;
    const simulateFleet = (
      takeRetry: (fleet: readonly FleetRetryBudgets.FleetRetryBudget[]) => TakeRetry,
    ) => {
      const fleet = createFleet(routers);
      const take = takeRetry(fleet);
      const nextRandom = Random.createRandom(11);
      const pickRouter = () => Math.floor(nextRandom() * routers);
      const requestsMs: number[] = [];
      const retriesMs: number[] = [];
      let refused = 0;
      for (let nowMs = 0; nowMs < 40_000; nowMs += 30) {
        fleet[pickRouter()]?.recordRequest(nowMs);
        requestsMs.push(nowMs);
        const isCrash = nowMs >= 12_000 && nowMs % 3_000 === 0;
        for (let stream = 0; isCrash && stream < 45; stream += 1) {
          if (take(pickRouter(), nowMs)) retriesMs.push(nowMs);
          else refused += 1;
        }
      }
      return { refused, repeats: retriesMs.length, excess: computeExcess(requestsMs, retriesMs) };
    };
    const withoutBorrowing = simulateFleet(
      (fleet) => (router, nowMs) => fleet[router]?.takeRetry(nowMs) === true,
    );
    expect(withoutBorrowing.refused).toBeGreaterThan(withoutBorrowing.repeats * 0.15);
    const nextLender = Random.createRandom(12);
    const withBorrowing = simulateFleet((fleet) => (router, nowMs) => {
      const budget = fleet[router];
      const getMissing = () => 1 - (budget?.getBalance(nowMs) ?? 1);
      for (let attempt = 0; attempt < 6 && getMissing() > 0; attempt += 1) {
        const lender = fleet[Math.floor(nextLender() * routers)];
        budget?.recordBorrowed(nowMs, lender?.grantQuota(nowMs, getMissing() + 0.01) ?? 0);
      }
      return budget?.takeRetry(nowMs) === true;
    });
    expect(withBorrowing.refused).toBeLessThan(withBorrowing.repeats * 0.02);
    expect(withBorrowing.excess).toBeLessThan(0);
  });

  it('stays within the rule of the fleet when every router retries as much as it may', () => {
    // Everything fails for seconds, and each router retries all it can at the same moments.
    for (const routers of [7, 9, 88]) {
      const crashes = Array.from({ length: 60 }, (_one, index) => ({
        atMs: 8_000 + index * 500,
        streams: 20,
      }));
      const result = simulateCrashes(createFleet(routers), 40, crashes);
      expect(result.retriesMs.length).toBeGreaterThan(100);
      expect(computeExcess(result.requestsMs, result.retriesMs)).toBeLessThan(0);
    }
  });

  it('starts an incarnation with less, since an earlier one may have spent some', () => {
    const create = (startedMs: number) =>
      FleetRetryBudgets.createFleetRetryBudget({
        ratio: RATIO,
        slack: SLACK,
        windowMs: WINDOW_MS,
        countRouters: () => 9,
        startedMs,
      });
    expect(create(0).getCapacity(100)).toBeLessThan(create(STARTED_MS).getCapacity(100) / 2);
  });

  it('uses what the rule allows where processes that stop hand over their counts, at crashes', () => {
    // Routers are restarted one after the other while engines crash, and streams end for want of a retry that the
    // rule allows: retries that ended processes have earned stay unused.
    const play = (handsOver: boolean) => simulateRestarts({ isTold: false, handsOver, streams: 3 });
    const [alone, handed] = [play(false), play(true)];
    expect(handed.refused).toBeLessThan(alone.refused * 0.5);
    expect(handed.excess).toBeLessThan(0);
  });

  it('stays within the rule when routers that hand over their counts retry as much as they may', () => {
    // Guards against a share that two processes use in one window because the first one has stopped as planned.
    for (const routers of [7, 18, 60]) {
      const play = { isTold: false, handsOver: true, streams: 40, routers };
      const { retries, excess } = simulateRestarts(play);
      expect(retries).toBeGreaterThan(200);
      expect(excess).toBeLessThan(0);
    }
  });

  it('stays within the rule when restarted routers with old totals retry as much as they may', () => {
    // Totals are seconds old while every router retries all it can.
    for (const routers of [7, 18, 60]) {
      const { retries, excess } = simulateRestarts({ isTold: true, streams: 40, routers });
      expect(retries).toBeGreaterThan(200);
      expect(excess).toBeLessThan(0);
    }
  });

  it('returns retries that reached no target, and drops those older than a window', () => {
    const [budget] = createFleet(9);
    if (budget === undefined) throw new Error('no budget');
    const before = budget.getBalance(1_000);
    budget.takeRetry(1_000);
    budget.releaseRetry();
    expect(budget.getBalance(1_000)).toEqual(before);
    budget.takeRetry(1_000);
    expect(budget.getBalance(2_000)).toEqual(before - 1);
    expect(budget.getBalance(13_000)).toEqual(before);
  });
});
