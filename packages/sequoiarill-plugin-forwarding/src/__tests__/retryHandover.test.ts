import { describe, it } from 'node:test';

import * as Decisions from '@sequoiarill/decisions';
import type { FleetRetryBudget } from '@sequoiarill/decisions';
import { expect } from 'earl';

import * as RetryHandovers from '../retryHandover';

const WINDOW_MS = 10_000;
const STARTED_UNIX_MS = Date.parse('2026-01-01T00:00:00Z');

/** A process whose monotonic clock began at 0 at a time of the wall clock. */
function createClock(startedUnixMs: number) {
  let nowMs = 0;
  return {
    getNowMs: () => nowMs,
    getWallTime: () => new Date(startedUnixMs + nowMs).toISOString(),
    setNowMs(value: number) {
      nowMs = value;
    },
  };
}

function createBudget(
  startedMs: number,
  getPredecessor?: () => Decisions.EndedProcess | undefined,
): FleetRetryBudget {
  return Decisions.createFleetRetryBudget({
    ratio: 1,
    slack: 60,
    windowMs: WINDOW_MS,
    countRouters: () => 6,
    startedMs,
    ...(getPredecessor === undefined ? {} : { getPredecessor }),
  });
}

/** Ends a process after 30 s in which it had 20 requests, and has repeated 8 in its last second. */
function createRecord(): string {
  const clock = createClock(STARTED_UNIX_MS);
  const budget = createBudget(0);
  for (let atMs = 0; atMs < 30_000; atMs += 500) budget.recordRequest(atMs);
  for (let repeat = 0; repeat < 8; repeat += 1) budget.takeRetry(29_500);
  clock.setNowMs(30_000);
  return RetryHandovers.encodeBudgets(new Map([['engines', budget]]), clock, WINDOW_MS, 0);
}

function startNext(record: string | undefined, afterMs: number, windowMs = WINDOW_MS) {
  const clock = createClock(STARTED_UNIX_MS + 30_000 + afterMs);
  const handover = RetryHandovers.createRetryHandover(() => record, clock, windowMs);
  return createBudget(0, () => handover.getPredecessor('engines'));
}

describe('the retry budget of a process whose predecessor has stopped as planned', () => {
  it('goes on with its counts', () => {
    // Guards against a share that is used twice in a window, or not at all, because a router is restarted.
    const budget = startNext(createRecord(), 2_000);
    const balance = budget.getBalance(0);
    expect(balance).toBeGreaterThan(12);
    expect(balance).toBeLessThan(22);
    expect(budget.getBalance(7_000)).toBeLessThanOrEqual(balance);
    expect(budget.getBalance(9_000)).toBeGreaterThan(7);
  });

  it('is empty for a window where the record is missing, damaged or of another window', () => {
    const records = [undefined, '', '{"services":1}', createRecord().replace('10000', '9')];
    for (const record of records) {
      const budget = startNext(record, 2_000);
      expect(budget.getBalance(0)).toEqual(0);
      expect(budget.getBalance(WINDOW_MS)).toBeGreaterThan(9);
    }
  });

  it('is empty for a window where the clock was set back', () => {
    // Guards against repeats that count as older than they are.
    expect(startNext(createRecord(), -5_000).getBalance(0)).toEqual(0);
  });

  it('is left to nobody by a process that has not run for a window', () => {
    const clock = createClock(STARTED_UNIX_MS);
    clock.setNowMs(5_000);
    const budgets = new Map([['engines', createBudget(0)]]);
    expect(RetryHandovers.encodeBudgets(budgets, clock, WINDOW_MS, 0)).toEqual('');
  });
});
