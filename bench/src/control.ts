/**
 * Measures the cost of the control plane: calls to the platform, bytes, processor time and memory that
 * a router needs to know its peers, its targets and the document, at 4 to 32 routers of one zone, and
 * the growth with the number of routers.
 */
import os from 'node:os';

import * as Fleets from './control/fleet';
import type { ControlRow } from './control/fleet';
import * as Slopes from './control/slopes';
import * as Outputs from './output';

const SIZES = [4, 8, 16, 32];
/** Budget of a node for all control work. */
const BUDGETS = { bytesPerSecondPerNode: 23_000, cpuShare: 0.022, memoryMB: 64 } as const;
const CHANGE_GOAL_MS = 8_000;
const METRICS = [
  'platformReadsPerSecond',
  'platformWritesPerSecond',
  'bytesPerSecondPerNode',
  'cpuShare',
  'memoryMB',
  'changeInForceMsP99',
] as const;
const DIGITS = 5;

const NOTES = [
  'routers are kernels with the plug-ins platform and membership only, several in one process',
  'one zone, so no calls to other zones; 372 targets, each reported by each router once a second',
  'calls are counted at the platform stand-in, without those that write the changes',
  'a waiting watch counts as one read a second; lease calls count as writes',
  'bytes are counted on the sockets between routers, sent and received, with headers',
  'memory is the growth of the heap after garbage collection, without the heap of Node.js itself',
  'processor time includes compiler and garbage collector threads; other load on the machine increases it',
  'usage is measured with one change in six seconds (14,000 a day), delays also in a burst of two a second',
  'a change is in force at a router once it is applied; the delay counts from the accepted write',
];

function computeSlopes(rows: readonly ControlRow[]): Readonly<Record<string, unknown>> {
  const slopes = METRICS.map((metric) => {
    const slope = Slopes.computeSlope(rows.map((row) => [row.routers, row[metric]]));
    const rounded = {
      perRouter: Outputs.computeRounded(slope.perUnit, DIGITS),
      standardError: Outputs.computeRounded(slope.standardError, DIGITS),
      intercept: Outputs.computeRounded(slope.intercept, DIGITS),
    };
    return [metric, rounded] as const;
  });
  return Object.fromEntries(slopes);
}

function listOverBudget(rows: readonly ControlRow[]): readonly string[] {
  return rows.flatMap((row) => {
    const over = Object.entries(BUDGETS).filter(
      ([metric, budget]) => row[metric as keyof typeof BUDGETS] > budget,
    );
    const lines = over.map(
      ([metric, budget]) =>
        `${row.routers} routers: ${metric} ${row[metric as keyof typeof BUDGETS]} of ${budget}`,
    );
    const isLate = row.changeInForceMsP99 > CHANGE_GOAL_MS || row.changesMissed > 0;
    return isLate ? [...lines, `${row.routers} routers: changes were late or missed`] : lines;
  });
}

function computeRoundedRow(row: ControlRow): ControlRow {
  const entries = Object.entries(row).map(([name, value]) => [
    name,
    Outputs.computeRounded(value as number, DIGITS),
  ]);
  return Object.fromEntries(entries) as ControlRow;
}

async function measureControl(): Promise<Outputs.Result> {
  const rows: ControlRow[] = [];
  for (const size of SIZES) {
    const row = computeRoundedRow(await Fleets.measureRouters(size));
    process.stderr.write(`${JSON.stringify(row)}\n`);
    rows.push(row);
  }
  return {
    rows,
    slopes: computeSlopes(rows),
    budgets: BUDGETS,
    /** Load averages of the machine at the end, over one and five minutes, and its number of processors. */
    machine: { loadAverage: os.loadavg().slice(0, 2), processors: os.cpus().length },
    overBudget: listOverBudget(rows),
    notes: NOTES,
  };
}

Outputs.runBench(measureControl);
