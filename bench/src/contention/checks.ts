/** Checks what callers and engines recorded against the guarantees of the system; pure functions. */
import * as Standins from '@sequoiarill/standins';
import type { QueueingRun } from '@sequoiarill/standins';

import * as Records from './records';
import type { Attempt, RouterFault, RunRecords } from './records';

export interface Violation {
  readonly rule: 'notRun' | 'twice' | 'events' | 'cut' | 'abandoned' | 'lost' | 'exit';
  readonly text: string;
}

/** Time within which nothing may run any more for a caller that has left. */
const CANCELLATION_MS = 500;
/**
 * The engine that a router leaves and the one that it continues at are notified over two connections, and the
 * event loop of this process may read the later one first.
 */
const MAX_OVERLAP_MS = 50;
/** A router ends a stream at its deadline, which it counts from a little earlier than the caller. */
const DEADLINE_TOLERANCE_MS = 250;

type RunsById = ReadonlyMap<string, readonly QueueingRun[]>;

function createRunsById({ engines }: RunRecords): RunsById {
  const runsById = new Map<string, QueueingRun[]>();
  for (const run of engines.flatMap(({ runs }) => runs)) {
    const runs = runsById.get(run.requestId) ?? [];
    runs.push(run);
    runsById.set(run.requestId, runs);
  }
  return runsById;
}

function getEndMs({ endedAtMs }: QueueingRun): number {
  return endedAtMs ?? Number.POSITIVE_INFINITY;
}

function* checkRefusals(attempt: Attempt, runs: readonly QueueingRun[]): Generator<Violation> {
  const { id, outcome } = attempt;
  if (outcome.kind === 'answer' && Records.isRefused(attempt) && runs.length > 0) {
    yield { rule: 'notRun', text: `${id}: refused with ${outcome.status}, and it ran` };
  }
}

function* checkOverlaps(id: string, runs: readonly QueueingRun[]): Generator<Violation> {
  const sorted = [...runs].sort((left, right) => left.startedAtMs - right.startedAtMs);
  let lastEndMs = Number.NEGATIVE_INFINITY;
  for (const run of sorted) {
    const overlapMs = Math.min(lastEndMs, getEndMs(run)) - run.startedAtMs;
    if (overlapMs > MAX_OVERLAP_MS) {
      yield { rule: 'twice', text: `${id}: ran twice at the same time, ${overlapMs} ms` };
    }
    lastEndMs = Math.max(lastEndMs, getEndMs(run));
  }
}

function findFault(
  { router, incarnation }: Attempt,
  faults: readonly RouterFault[],
): RouterFault | undefined {
  return faults.find((fault) => fault.router === router && fault.incarnation === incarnation);
}

/** Checks the bytes of an answer, and that it was not cut while its router had no fault. */
function* checkAnswer(
  attempt: Attempt,
  { eventCount, faults }: RunRecords,
  deadlineMs: number,
): Generator<Violation> {
  const { id, fromEvent, outcome, endedAtMs, hasCallerLeft } = attempt;
  if (outcome.kind !== 'answer' || outcome.status !== Records.OK) return;
  const expected = Standins.formatEvents(id, fromEvent, eventCount);
  const { text, isComplete } = outcome;
  const isExact = isComplete ? text === expected : expected.startsWith(text);
  if (!isExact) {
    const end = JSON.stringify(text.slice(-80));
    yield { rule: 'events', text: `${id}: ${isComplete ? 'whole' : 'broken'}, ends with ${end}` };
  }
  const isLate = hasCallerLeft || endedAtMs > deadlineMs - DEADLINE_TOLERANCE_MS;
  const isKilled = findFault(attempt, faults)?.kind === 'kill';
  if (!isComplete && text.includes('\n\n') && !isLate && !isKilled) {
    yield { rule: 'cut', text: `${id}: an answered stream was cut` };
  }
}

/** Checks that an attempt got some answer, unless its router was killed or no longer listened. */
function* checkLost(attempt: Attempt, { faults }: RunRecords): Generator<Violation> {
  const { id, outcome, router, hasCallerLeft } = attempt;
  if (outcome.kind !== 'noAnswer' || hasCallerLeft) return;
  const fault = findFault(attempt, faults);
  if (fault?.kind === 'kill') return;
  if (fault?.kind === 'terminate' && outcome.code === 'ECONNREFUSED') return;
  yield { rule: 'lost', text: `${id}: no answer from router ${router} (${outcome.code})` };
}

/** Checks that nothing runs for a caller that has left; a paused router learns of it when it goes on. */
function* checkAbandoned(
  attempt: Attempt,
  runs: readonly QueueingRun[],
  { faults }: RunRecords,
): Generator<Violation> {
  const { id, endedAtMs } = attempt;
  const fault = findFault(attempt, faults);
  const isPaused =
    fault?.kind === 'pause' &&
    fault.fromMs <= endedAtMs + CANCELLATION_MS &&
    fault.untilMs >= endedAtMs;
  const limitMs = (isPaused ? fault.untilMs : endedAtMs) + CANCELLATION_MS;
  const latestMs = Math.max(Number.NEGATIVE_INFINITY, ...runs.map(getEndMs));
  if (latestMs > limitMs) {
    const afterMs = Math.round(latestMs - endedAtMs);
    yield { rule: 'abandoned', text: `${id}: ran until ${afterMs} ms after its caller had left` };
  }
}

export interface CheckOptions {
  /** Time for which a caller waits, from its arrival. */
  readonly patienceMs: number;
}

export function* checkRecords(
  records: RunRecords,
  { patienceMs }: CheckOptions,
): Generator<Violation> {
  const runsById = createRunsById(records);
  for (const [id, runs] of runsById) yield* checkOverlaps(id, runs);
  for (const { attempts, arrivedAtMs } of records.callers) {
    for (const attempt of attempts) {
      const runs = runsById.get(attempt.id) ?? [];
      yield* checkRefusals(attempt, runs);
      yield* checkAnswer(attempt, records, arrivedAtMs + patienceMs);
      yield* checkLost(attempt, records);
      yield* checkAbandoned(attempt, runs, records);
    }
  }
  for (const { kind, router, exitCode } of records.faults) {
    if (kind === 'terminate' && exitCode !== 0) {
      const text = `router ${router}: exited with ${String(exitCode)} after SIGTERM`;
      yield { rule: 'exit', text };
    }
  }
}
