/** Builds the report of a run, and formats it as text. */
import type * as Simulation from '@sequoiarill/decisions/lib/simulation';

import type { SlopeRow } from '../decisionSlopes';

const GOODPUT_GOAL = 0.95;
const SHARE_GOAL = 0.9;
const DECISION_GOAL_MICROS = 50;
const BASELINE_NAMES: ReadonlySet<string> = new Set(['roundRobin', 'random', 'leastReported']);

export interface Goal {
  readonly goal: string;
  readonly isMet: boolean;
  readonly measured: string;
}

export interface DecisionsReport {
  readonly patterns: readonly Simulation.SimulationSummary[];
  readonly slopes: readonly SlopeRow[];
  /** Processor time of one request at 372 targets and 6,500 organisations: admission and choice. */
  readonly microsPerDecision: number;
  readonly goals: readonly Goal[];
}

function findOwn(
  rows: readonly Simulation.SimulationSummary[],
): readonly Simulation.SimulationSummary[] {
  return rows.filter((row) => row.policy === 'ours');
}

function formatWorst(
  rows: readonly Simulation.SimulationSummary[],
  key: 'worstShare' | 'p95FirstTokenMs',
) {
  return rows.map((row) => `${row.pattern} ${Math.round(row[key] * 1000) / 1000}`).join(', ');
}

function checkSaturation(own: readonly Simulation.SimulationSummary[]): Goal {
  const saturation = own.find((row) => row.pattern === 'saturation');
  const goodput = saturation?.goodputShare ?? 0;
  return {
    goal: `goodput at 1.5 times capacity is at least ${GOODPUT_GOAL} of capacity`,
    isMet: goodput >= GOODPUT_GOAL,
    measured: goodput.toFixed(3),
  };
}

function checkFairness(own: readonly Simulation.SimulationSummary[]): Goal {
  const below = own.filter((row) => row.worstShare < SHARE_GOAL);
  return {
    goal: `the worst organisation gets at least ${SHARE_GOAL} of its fair share in every workload`,
    isMet: below.length === 0,
    measured: below.length === 0 ? 'all' : `below: ${formatWorst(below, 'worstShare')}`,
  };
}

function checkFirstToken(own: readonly Simulation.SimulationSummary[]): Goal {
  const above = own.filter((row) => row.p95FirstTokenMs > 1_000);
  return {
    goal: 'the 95th percentile of the first token of admitted work is at most 1 s in every workload',
    isMet: above.length === 0,
    measured: formatWorst(above.length === 0 ? own : above, 'p95FirstTokenMs'),
  };
}

function checkBaselines(rows: readonly Simulation.SimulationSummary[]): Goal {
  const behind: string[] = [];
  for (const own of findOwn(rows)) {
    const better = rows.filter(
      (row) =>
        BASELINE_NAMES.has(row.policy) &&
        row.pattern === own.pattern &&
        row.goodputShare > own.goodputShare,
    );
    behind.push(...better.map((row) => `${own.pattern}: ${row.policy}`));
  }
  return {
    goal: 'goodput is ahead of every baseline in every workload',
    isMet: behind.length === 0,
    measured: behind.length === 0 ? 'ahead in all' : `behind in ${behind.join(', ')}`,
  };
}

function checkDecision(micros: number): Goal {
  return {
    goal: `a decision takes at most ${DECISION_GOAL_MICROS} µs at 372 targets, 6,500 organisations`,
    isMet: micros <= DECISION_GOAL_MICROS,
    measured: `${micros.toFixed(1)} µs`,
  };
}

/** The time may grow no faster than the logarithm, which is 1.73 times larger at 744 targets than at 46. */
function checkGrowth(slopes: readonly SlopeRow[]): Goal {
  const rows = slopes.filter((row) => row.role === 'targetChoice/targets');
  const first = rows[0];
  const last = rows.at(-1);
  if (first === undefined || last === undefined) throw new Error('no choice was measured');
  const growth = last.cpuMicros / first.cpuMicros;
  const allowed = Math.log(last.size) / Math.log(first.size);
  return {
    goal: `a choice grows at most ${allowed.toFixed(2)} times from 46 to 744 targets`,
    isMet: growth <= allowed,
    measured: `${growth.toFixed(2)} times`,
  };
}

export function buildReport(
  patterns: readonly Simulation.SimulationSummary[],
  slopes: readonly SlopeRow[],
  microsPerDecision: number,
): DecisionsReport {
  const own = findOwn(patterns);
  const goals = [
    checkSaturation(own),
    checkFairness(own),
    checkFirstToken(own),
    checkBaselines(patterns),
    checkDecision(microsPerDecision),
    checkGrowth(slopes),
  ];
  return { patterns, slopes, microsPerDecision, goals };
}

export function formatReport(report: DecisionsReport): string {
  const lines = report.patterns.map(
    (row) =>
      `${row.pattern.padEnd(17)} ${row.policy.padEnd(19)}` +
      ` goodput ${row.goodputShare.toFixed(3)} (of asked ${row.goodputOfAsked.toFixed(3)})` +
      ` p95 ${String(row.p95FirstTokenMs).padStart(4)} ms worst share ${row.worstShare.toFixed(2)}` +
      ` wasted ${row.wastedShare.toFixed(3)}`,
  );
  const slopes = report.slopes.map(
    (row) =>
      `${row.role.padEnd(27)} ${String(row.size).padStart(5)} ${row.cpuMicros.toFixed(2)} µs` +
      ` ${row.memoryBytes} bytes`,
  );
  const goals = report.goals.map(
    (goal) => `${goal.isMet ? 'met' : 'NOT MET'}: ${goal.goal}: ${goal.measured}`,
  );
  return [...lines, ...slopes, ...goals].join('\n');
}
