/** What callers got, by route and by organisation, and what engines did; pure functions. */
import type { QueueingRun } from '@sequoiarill/standins';

import * as Outputs from '../output';
import * as Records from './records';
import type { Attempt, Caller, EngineRecord } from './records';
import { ORGANISATIONS, ROUTES } from './scenarios';

function computePercentile(values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return value === undefined ? undefined : Math.round(value);
}

function computeShare(part: number, all: number): number {
  return all === 0 ? 0 : Outputs.computeRounded(part / all, 3);
}

function getLast({ attempts }: Caller): Attempt | undefined {
  return attempts.at(-1);
}

function isServed(caller: Caller): boolean {
  const last = getLast(caller);
  return last !== undefined && Records.isWhole(last);
}

/** From the caller's arrival, over all its attempts. */
function getFirstEventMs({ attempts, arrivedAtMs }: Caller): number | undefined {
  const firstAtMs = attempts.find(({ firstEventAtMs }) => firstEventAtMs !== undefined);
  return firstAtMs?.firstEventAtMs === undefined
    ? undefined
    : firstAtMs.firstEventAtMs - arrivedAtMs;
}

function isInTime(caller: Caller, objectivesMs: readonly number[]): boolean {
  const firstEventMs = getFirstEventMs(caller);
  const objectiveMs = objectivesMs[caller.route] ?? 0;
  return isServed(caller) && firstEventMs !== undefined && firstEventMs <= objectiveMs;
}

function buildGroup(name: string, callers: readonly Caller[], objectivesMs: readonly number[]) {
  const served = callers.filter(isServed);
  const inTime = callers.filter((caller) => isInTime(caller, objectivesMs)).length;
  const refused = callers.filter((caller) => {
    const last = getLast(caller);
    return last !== undefined && Records.isRefused(last);
  }).length;
  const firstEvents = served.flatMap((caller) => getFirstEventMs(caller) ?? []);
  return {
    name,
    offered: callers.length,
    served: served.length,
    servedShare: computeShare(served.length, callers.length),
    inTime,
    inTimeShare: computeShare(inTime, callers.length),
    refused,
    failed: callers.length - served.length - refused,
    cameBack: callers.filter(({ attempts }) => attempts.length > 1).length,
    firstEventP50Ms: computePercentile(firstEvents, 0.5),
    firstEventP99Ms: computePercentile(firstEvents, 0.99),
  };
}

export function createCallerTables(callers: readonly Caller[], objectivesMs: readonly number[]) {
  const routes = ROUTES.map(({ name }, index) =>
    buildGroup(
      name,
      callers.filter(({ route }) => route === index),
      objectivesMs,
    ),
  );
  const organisations = ORGANISATIONS.map((name, index) =>
    buildGroup(
      name,
      callers.filter(({ organisation }) => organisation === index),
      objectivesMs,
    ),
  );
  return { routes: [...routes, buildGroup('all', callers, objectivesMs)], organisations };
}

export interface LoadPeriod {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Slot time that the engines had in the period. */
  readonly availableSlotMs: number;
}

function computeSlotMs(runs: readonly QueueingRun[], { fromMs, untilMs }: LoadPeriod): number {
  return runs.reduce(
    (sum, { startedAtMs, endedAtMs = untilMs }) =>
      sum + Math.max(0, Math.min(endedAtMs, untilMs) - Math.max(startedAtMs, fromMs)),
    0,
  );
}

/** Shares are of the slot time that the engines had while callers arrived. */
export function buildEngineSummary(engines: readonly EngineRecord[], period: LoadPeriod) {
  const runs = engines.flatMap((engine) => engine.runs);
  const whole = runs.filter(({ end }) => end === 'whole');
  const countEnds = (end: QueueingRun['end']) => runs.filter((run) => run.end === end).length;
  return {
    usedShare: computeShare(computeSlotMs(runs, period), period.availableSlotMs),
    wholeShare: computeShare(computeSlotMs(whole, period), period.availableSlotMs),
    runs: runs.length,
    whole: whole.length,
    dropped: countEnds('dropped'),
    preempted: countEnds('preempted'),
    rejected: engines.reduce((sum, { rejected }) => sum + rejected.length, 0),
    reportReads: engines.reduce((sum, { reportReads }) => sum + reportReads, 0),
  };
}
