import { describe, it } from 'node:test';

import type { FleetRepeats } from '@sequoiarill/types';
import { expect } from 'earl';

import * as FleetRetryBudgets from '../fleetRetryBudget';
import * as Random from '../simulation/random';

const WINDOW_MS = 10_000;
const RATIO = 0.8;
const SLACK = 150;
const STEP_MS = 50;
const END_MS = 70_000;
/** Everything fails from here on. */
const FAILING_MS = 25_000;
const REPORT_MS = 500;
const SEEDS = [1, 2];

interface Play {
  readonly seed: number;
  readonly routers: number;
  readonly perSecond: number;
  /** Age of the sums of the fleet; undefined: none are known. */
  readonly totalsAgeMs?: number;
  /** How much the requests go up and down, and in which time. */
  readonly swing?: number;
  readonly periodMs?: number;
  /** From when on hardly any requests come. */
  readonly collapseMs?: number;
  /** Longest time from taking a retry until it arrives. */
  readonly deliveryMs?: number;
  /** Time for which all targets read nothing when everything begins to fail. */
  readonly unreadMs?: number;
  readonly areBorrowed?: boolean;
  /** The first router has so many times the requests of another one. */
  readonly first?: number;
}

type Budget = FleetRetryBudgets.FleetRetryBudget;

interface Unanswered {
  readonly arrivesMs: number;
  readonly settle: ReturnType<Budget['recordSend']>;
}

interface Reported extends ReturnType<Budget['getTotals']> {
  readonly atMs: number;
}

/** Numbers of events up to each step. */
function countUpTo(timesMs: readonly number[]): readonly number[] {
  const counts = new Array<number>(END_MS / STEP_MS + 1).fill(0);
  for (const atMs of timesMs) {
    const step = Math.floor(atMs / STEP_MS) + 1;
    if (step < counts.length) counts[step] = (counts[step] ?? 0) + 1;
  }
  let sum = 0;
  return counts.map((count) => {
    sum += count;
    return sum;
  });
}

/** Largest number of retries in a window, relative to what the rule allows for it. */
function computeWorst(requestsMs: readonly number[], retriesMs: readonly number[]): number {
  const requests = countUpTo(requestsMs);
  const retries = countUpTo(retriesMs);
  const window = WINDOW_MS / STEP_MS;
  const countWithin = (counts: readonly number[], end: number) =>
    (counts[end] ?? 0) - (counts[end - window] ?? 0);
  let worst = 0;
  for (let end = 2 * window; end < requests.length; end += 1) {
    const most = Math.max(
      ...[0, window / 2, window].map((earlier) => countWithin(requests, end - earlier)),
    );
    worst = Math.max(worst, countWithin(retries, end) / (RATIO * most + SLACK));
  }
  return worst;
}

function simulateFleet(play: Play): number {
  const { seed, routers, perSecond, swing = 0, periodMs = 15_000, deliveryMs = 0 } = play;
  const { unreadMs = 0 } = play;
  let unanswered: readonly Unanswered[] = [];
  const nextRandom = Random.createRandom(seed);
  const requestsMs: number[] = [];
  const retriesMs: number[] = [];
  const reports: Reported[][] = Array.from({ length: routers }, () => []);
  let totals: FleetRepeats | undefined;
  const fleet = Array.from({ length: routers }, () =>
    FleetRetryBudgets.createFleetRetryBudget({
      ratio: RATIO,
      slack: SLACK,
      windowMs: WINDOW_MS,
      countRouters: () => routers,
      startedMs: -WINDOW_MS,
      getFleetTotals: () => totals,
    }),
  );

  function updateTotals(nowMs: number): void {
    fleet.forEach((budget, index) => {
      reports[index]?.push({ ...budget.getTotals(nowMs), atMs: nowMs });
    });
    const { totalsAgeMs } = play;
    if (totalsAgeMs === undefined) return;
    const known = reports.flatMap((all) => {
      const latest = all.findLast(({ atMs }) => atMs <= nowMs - totalsAgeMs);
      return latest === undefined ? [] : [latest];
    });
    if (known.length === 0) return;
    const sum = (name: 'requests' | 'retries' | 'capacity') =>
      known.reduce((total, report) => total + report[name], 0);
    totals = {
      requests: sum('requests'),
      retries: sum('retries'),
      capacity: sum('capacity'),
      endedRequests: 0,
      endedRetries: 0,
      routers,
      settledRouters: routers,
    };
  }

  function borrowQuota(budget: Budget, nowMs: number): void {
    const lender = fleet[Math.floor(nextRandom() * routers)];
    const missing = 1 - budget.getBalance(nowMs) + 0.01;
    if (lender === undefined || lender === budget || missing <= 0) return;
    budget.recordBorrowed(nowMs, lender.grantQuota(nowMs, missing));
  }

  function pickRouter(): Budget | undefined {
    const { first = 1 } = play;
    const place = Math.floor(nextRandom() * (routers + first - 1)) - first + 1;
    return fleet[Math.max(0, place)];
  }

  function recordRequests(nowMs: number): void {
    const isCollapsed = nowMs >= (play.collapseMs ?? Number.POSITIVE_INFINITY);
    const share =
      (1 + swing * Math.sin((2 * Math.PI * nowMs) / periodMs)) * (isCollapsed ? 0.05 : 1);
    let expected = (perSecond * share * STEP_MS) / 1_000;
    for (; expected > 0; expected -= 1) {
      if (nextRandom() < expected) {
        pickRouter()?.recordRequest(nowMs);
        requestsMs.push(nowMs);
      }
    }
  }

  function sendRetry(budget: Budget, nowMs: number): void {
    const settle = budget.recordSend(nowMs);
    const arrivesMs = Math.max(nowMs + nextRandom() * deliveryMs, FAILING_MS + unreadMs);
    retriesMs.push(arrivesMs);
    unanswered = [...unanswered, { settle, arrivesMs }];
  }

  function handleArrived(nowMs: number): void {
    unanswered.filter(({ arrivesMs }) => arrivesMs <= nowMs).forEach(({ settle }) => settle(nowMs));
    unanswered = unanswered.filter(({ arrivesMs }) => arrivesMs > nowMs);
  }

  function takeRetries(nowMs: number): void {
    for (const budget of fleet) {
      for (let stream = 0; stream < 2; stream += 1) {
        if (play.areBorrowed === true) borrowQuota(budget, nowMs);
        if (budget.takeRetry(nowMs)) sendRetry(budget, nowMs);
      }
    }
  }

  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
    if (nowMs % REPORT_MS === 0) updateTotals(nowMs);
    recordRequests(nowMs);
    handleArrived(nowMs);
    if (nowMs >= FAILING_MS) takeRetries(nowMs);
  }
  return computeWorst(requestsMs, retriesMs);
}

const ROWS: readonly (readonly [text: string, options: Partial<Play>])[] = [
  // Guards against shares that rest on sums of the fleet which are late.
  ['sums of the fleet are 1 s old', { totalsAgeMs: 1_000 }],
  ['sums of the fleet are 3 s old', { totalsAgeMs: 3_000 }],
  ['sums of the fleet are 6 s old', { totalsAgeMs: 6_000 }],
  // Guards against shares that each router uses at their highest.
  ['no sums are known', {}],
  ['requests go up and down within 15 s', { swing: 0.55 }],
  ['requests go up and down within 40 s', { swing: 0.8, periodMs: 40_000 }],
  ['hardly any requests come any more', { collapseMs: 45_000 }],
  ['one router has most requests', { first: 20 }],
  // Guards against quota that counts neither at its lender nor at its borrower.
  ['routers borrow from each other', { areBorrowed: true }],
  // Guards against retries that arrive together with later ones.
  ['retries arrive within 0.5 s', { deliveryMs: 500 }],
  ['the first ones arrive 1 s late', { unreadMs: 1_000 }],
  ['the first ones arrive 3 s late', { unreadMs: 3_000, totalsAgeMs: 1_000 }],
];
const FLEETS = [
  { routers: 9, perSecond: 10 },
  { routers: 9, perSecond: 84 },
  { routers: 71, perSecond: 10 },
  { routers: 71, perSecond: 84 },
];

describe('retries of a fleet whose routers all retry as much as they may', () => {
  for (const [text, options] of ROWS) {
    it(`stay within the rule when ${text}`, () => {
      for (const fleet of FLEETS) {
        for (const seed of SEEDS) {
          const worst = simulateFleet({ ...fleet, ...options, seed });
          if (worst > 1) {
            const { routers, perSecond } = fleet;
            const play = `${routers} routers, ${perSecond}/s, seed ${seed}`;
            throw new Error(`${worst.toFixed(2)} of the rule, ${play}`);
          }
        }
      }
    });
  }

  it('reach most of what the rule allows without sums of the fleet', () => {
    // Guards against margins that leave streams without a retry that the rule allows.
    const worst = simulateFleet({ seed: 1, routers: 9, perSecond: 84 });
    expect(worst).toBeGreaterThan(0.85);
  });
});

function createSlackBudget(): Budget {
  return FleetRetryBudgets.createFleetRetryBudget({
    ratio: 0,
    slack: 60,
    windowMs: WINDOW_MS,
    countRouters: () => 6,
    startedMs: -WINDOW_MS,
  });
}

function takeAll(budget: Budget, nowMs: number): number {
  let taken = 0;
  while (budget.takeRetry(nowMs)) taken += 1;
  return taken;
}

describe('a share of the retries of a fleet', () => {
  it('is not used by its owner while quota lent from it can be used', () => {
    // Guards against a lender that counts a grant for one window from the moment of granting.
    const [lender, borrower] = [createSlackBudget(), createSlackBudget()];
    const share = takeAll(borrower, 0);
    borrower.recordBorrowed(100, lender.grantQuota(100, share));
    const late = takeAll(borrower, 9_900);
    const again = takeAll(lender, 10_300);
    expect(late + again).toBeLessThanOrEqual(share);
  });

  it('is not free while what a retry repeats may still arrive', () => {
    // Guards against requests that a silent target receives later, together with those that are sent by then.
    const budget = createSlackBudget();
    const share = takeAll(budget, 0);
    for (let held = 0; held < share; held += 1) budget.holdRetry(0, 'silent');
    expect(takeAll(budget, 15_000)).toEqual(0);
    budget.settleHeld(15_000, 'silent');
    expect(takeAll(budget, 24_900)).toEqual(0);
    expect(takeAll(budget, 25_800)).toEqual(share);
  });

  it('is free again where a silent target is not heard any more', () => {
    // Guards against targets that have lost power and keep the retries of others for good.
    const budget = createSlackBudget();
    const share = takeAll(budget, 0);
    for (let held = 0; held < share; held += 1) budget.holdRetry(0, 'gone');
    expect(takeAll(budget, 60_000)).toEqual(share);
  });

  it('is not larger for a retry that is returned long after it was taken', () => {
    // Guards against returns that outlive the retries which they return.
    const budget = createSlackBudget();
    const share = takeAll(budget, 0);
    budget.getBalance(9_000);
    for (let returned = 0; returned < share; returned += 1) budget.releaseRetry();
    const late = takeAll(budget, 9_000);
    const later = takeAll(budget, 10_900);
    expect(late + later).toBeLessThanOrEqual(share);
  });
});
