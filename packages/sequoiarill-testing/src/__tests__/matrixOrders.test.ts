import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cells from '../matrix/cells';
import * as OrderCells from '../matrix/orderCells';
import type { OrderCellRun } from '../matrix/orderCells';
import * as OrderFaults from '../matrix/orderFaults';

const CELL_IDS = new Set(Cells.CELLS.map(({ id }) => id));
const CONCURRENCY = 6;

/**
 * Cells in which the first order must succeed, if late: the fault ends by itself or no longer affects
 * the order.
 */
const DONE_CELLS: ReadonlySet<string> = new Set([
  ...['O1', 'O3', 'O4'].flatMap((step) => [`${step}-E2`, `${step}-E3`, `${step}-P2`]),
  ...['O3', 'O4'].flatMap((step) => [`${step}-L1`, `${step}-P1`, `${step}-P3`, `${step}-R3`]),
]);

/**
 * Timeout of the service in cells whose answer must arrive. With the usual second, an answer of 150 ms
 * timed out at a load average of 20 on eight cores.
 */
const LONG_SERVICE_TIMEOUT_MS = 15_000;

/** For a first order both outcomes mean that nothing ran; for a retry only `not-run` does. */
function isNotRun({ outcome }: OrderCellRun['first']): boolean {
  return outcome === 'not-run' || outcome === 'not-sent';
}

function checkOutcome(run: OrderCellRun): void {
  const { first, runsBeforeRetry, retry, runsAfterRetry, final, runsAfter } = run;
  expect(runsAfter <= 1).toEqual(true);
  if (isNotRun(first)) expect(runsBeforeRetry).toEqual(0);
  if (first.outcome === 'done') expect(runsBeforeRetry).toEqual(1);
  if (retry.outcome === 'done') expect(runsAfterRetry).toEqual(1);
  if (retry.outcome === 'not-run') expect(runsAfterRetry).toEqual(0);
  if (retry.outcome === 'not-sent') expect(runsAfterRetry).toEqual(runsBeforeRetry);
  // A completed order keeps its answer; an order that was not run can still be run.
  if (first.outcome === 'done') expect(final.body).toEqual(first.body);
  if (isNotRun(first)) expect(final.outcome).toEqual('done');
  if (final.outcome === 'done') expect(runsAfter).toEqual(1);
  else expect(runsAfter).toEqual(runsBeforeRetry);
}

// For each step and fault: the fault is injected at the service, its link, the platform, the router or
// the caller, and the caller retries with the same Idempotency-Key. By the service's own count the order
// must run once at most, `not-run` may be reported only if it did not run, and `done` only if it ran
// once. Guards against resending an order whose bytes may have left, and against guessing the outcome of
// a claim.
describe('fault matrix of orders', { concurrency: CONCURRENCY }, () => {
  for (const step of OrderCells.ORDER_STEP_RUNNERS) {
    for (const fault of OrderFaults.ORDER_FAULTS) {
      const id = `${step.code}-${fault.code}`;
      if (CELL_IDS.has(id)) {
        it(Cells.formatTestName(id), async () => {
          const serviceTimeoutMs = DONE_CELLS.has(id) ? LONG_SERVICE_TIMEOUT_MS : undefined;
          const run = await OrderCells.runOrderCell(step, fault, serviceTimeoutMs);
          checkOutcome(run);
          if (DONE_CELLS.has(id)) expect(run.first.outcome).toEqual('done');
          // Every caller that stays connected gets an answer.
          if (fault.code !== 'C1') expect(run.first.status > 0).toEqual(true);
          expect(run.retry.status > 0).toEqual(true);
        });
      }
    }
  }
});
