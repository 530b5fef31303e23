/** Checks what callers and targets recorded against the guarantees of the system; pure functions. */
import * as Standins from '@sequoiarill/standins';
import type { TargetRun } from '@sequoiarill/standins';

import { isCrashing } from './callers';
import * as RequestLogs from './requestLog';
import type { CallerResult, RequestLog, Probe, SentRequest } from './requestLog';
import { VERSIONS } from './targets';

export interface IncarnationRuns {
  /** Id of one incarnation of a target. */
  readonly target: string;
  readonly runs: readonly TargetRun[];
}

export interface Violation {
  readonly rule: string;
  readonly text: string;
}

export interface Evidence {
  readonly requestLog: RequestLog;
  readonly incarnations: readonly IncarnationRuns[];
  /** Number of events in a complete stream. */
  readonly eventCount: number;
  /** Organisation of the probes. */
  readonly organisation: string;
}

/** Time within which a configuration change must be in force at every router. */
const IN_FORCE_LIMIT_MS = 2_000;
/** Time for which new requests may still reach a target after it announced that it leaves. */
const LEAVING_LIMIT_MS = 3_000;
/** The same after an answer of the target has said so. */
const LEAVING_ANSWER_LIMIT_MS = 2_000;
/** Crashes after which a part must be found, the time that this may take, and the runs allowed after it. */
const CRASHES_BEFORE_BLOCK = 5;
const CRASHING_LIMIT_MS = 3_000;
const MAX_CRASHING_RUNS = 3;
const OK = 200;
const NOT_FOUND = 404;
const UNAUTHORISED = 401;
/** Statuses that guarantee that the request was not run and never will be. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The whole answers that are right; a stream may be of any version. */
function listExpectedAnswers(
  { id, kind, body, fromEvent }: SentRequest,
  count: number,
): readonly string[] {
  if (!RequestLogs.isStream(kind)) return [`${id} got ${body}`];
  return VERSIONS.map((version) => Standins.formatEvents(id, fromEvent, count, version));
}

function* checkAnswer(
  request: SentRequest,
  result: Extract<CallerResult, { kind: 'answer' }>,
  count: number,
): Generator<Violation> {
  const { id, kind } = request;
  const expected = listExpectedAnswers(request, count);
  if (result.status !== OK) return;
  if (!result.isSigned) yield { rule: 'whole', text: `${id}: an answer without a signature` };
  const { isComplete, text: received } = result;
  const isExact = expected.some((whole) =>
    isComplete ? received === whole : whole.startsWith(received),
  );
  if (isExact) return;
  // A broken stream may end within an event, so any prefix of the expected text is right.
  const rule = RequestLogs.isStream(kind) ? 'events' : 'whole';
  const seen = JSON.stringify(result.text.slice(-120));
  yield {
    rule,
    text: `${id}: ${result.isComplete ? 'complete' : 'broken'} answer ends with ${seen}`,
  };
}

/** Checks that the events of each stream are of one version, over all attempts of its caller. */
function* checkVersions({ requestLog }: Evidence): Generator<Violation> {
  const versionsByStream = new Map<string, Set<string>>();
  for (const [id, { kind, resumes = id }] of requestLog.requests) {
    const result = requestLog.results.get(id);
    if (kind === 'stream' && result?.kind === 'answer' && result.status === OK) {
      const versions = versionsByStream.get(resumes) ?? new Set();
      RequestLogs.listEvents(result.text).forEach(({ version }) => versions.add(version));
      versionsByStream.set(resumes, versions);
    }
  }
  for (const [id, versions] of versionsByStream) {
    if (versions.size > 1) yield { rule: 'versions', text: `${id}: ${[...versions].join(', ')}` };
  }
}

/** Counts how often each request was started, over all incarnations of all targets. */
function countRuns(incarnations: readonly IncarnationRuns[]): ReadonlyMap<string, number> {
  const runsById = new Map<string, number>();
  for (const { requestId } of incarnations.flatMap(({ runs }) => runs)) {
    runsById.set(requestId, (runsById.get(requestId) ?? 0) + 1);
  }
  return runsById;
}

/** Checks a request that may run once at most. */
function* checkRunsOnce(
  { id, kind }: SentRequest,
  result: CallerResult | undefined,
  runs: number,
): Generator<Violation> {
  if (runs > 1) yield { rule: 'atMostOnce', text: `${id}: ${kind} ran ${runs} times` };
  const isPromisedNotRun = result?.kind === 'answer' && NOT_RUN_STATUSES.has(result.status);
  if (isPromisedNotRun && runs > 0) {
    yield { rule: 'notRun', text: `${id}: refused with ${result.status}, and it ran` };
  }
}

function* checkRequests({ requestLog, incarnations, eventCount }: Evidence): Generator<Violation> {
  const runsById = countRuns(incarnations);
  for (const [id, request] of requestLog.requests) {
    const result = requestLog.results.get(id);
    if (result?.kind === 'answer') yield* checkAnswer(request, result, eventCount);
    if (!RequestLogs.isRepeatable(request.kind)) {
      yield* checkRunsOnce(request, result, runsById.get(id) ?? 0);
    }
  }
}

function* checkRuns({ requestLog, incarnations, organisation }: Evidence): Generator<Violation> {
  for (const { requestId, path, organisation: runOrganisation, hasApiKey } of incarnations.flatMap(
    ({ runs }) => runs,
  )) {
    const isProbe = requestId.startsWith('probe-');
    if (!isProbe && !requestLog.requests.has(requestId)) {
      yield { rule: 'unasked', text: `${requestId}: no caller sent it (${path})` };
    }
    if (hasApiKey) {
      yield { rule: 'unasked', text: `${requestId}: the API key was passed on` };
    }
    const expected = requestLog.requests.get(requestId)?.organisation ?? organisation;
    if (runOrganisation !== expected) {
      yield { rule: 'unasked', text: `${requestId}: ran for ${runOrganisation}` };
    }
  }
}

function isRefused({ status }: Probe): boolean {
  return status === NOT_FOUND || status === UNAUTHORISED;
}

/**
 * Checks that each version is in force in time at routers without a recent fault, and that no incarnation
 * of a router returns to an older version.
 */
function* checkConfiguration({ requestLog }: Evidence): Generator<Violation> {
  const newestServed = new Map<string, number>();
  for (const probe of requestLog.probes) {
    const { router, incarnation, version, atMs, writtenAtMs } = probe;
    const key = `${router} ${incarnation}`;
    const newest = newestServed.get(key) ?? 0;
    const name = `router ${router}, incarnation ${incarnation}, version ${version} at ${Math.round(atMs)} ms`;
    if (probe.status === OK) {
      if (version < newest) yield { rule: 'reverts', text: `${name}: served after ${newest}` };
      newestServed.set(key, Math.max(newest, version));
    } else if (isRefused(probe) && probe.isNewest) {
      if (version <= newest) {
        yield { rule: 'reverts', text: `${name}: refused after it was served` };
      }
      const undisturbedSinceMs = RequestLogs.computeUndisturbedSince(requestLog, atMs, router);
      if (atMs > Math.max(writtenAtMs, undisturbedSinceMs) + IN_FORCE_LIMIT_MS) {
        yield {
          rule: 'inForce',
          text: `${name}: not in force ${Math.round(atMs - writtenAtMs)} ms after its write`,
        };
      }
    }
  }
}

/** Checks that a leaving target receives no new requests after the permitted time. */
function* checkLeaving({ requestLog, incarnations }: Evidence): Generator<Violation> {
  for (const { target, writtenAtMs } of requestLog.leavings) {
    const runs = incarnations.find((incarnation) => incarnation.target === target)?.runs ?? [];
    for (const { requestId, startedAtMs } of runs) {
      const afterMs = startedAtMs - writtenAtMs;
      const undisturbedSinceMs = RequestLogs.computeUndisturbedSince(requestLog, startedAtMs);
      if (startedAtMs > Math.max(writtenAtMs, undisturbedSinceMs) + LEAVING_LIMIT_MS) {
        yield {
          rule: 'leaving',
          text: `${requestId}: ran at ${target} ${Math.round(afterMs)} ms after the target announced that it leaves`,
        };
      }
    }
  }
}

/**
 * Checks that a target gets no request from a router later than the permitted time after that router passed on
 * an answer saying that the target leaves. Only a fault of the router's process excuses it.
 */
function* checkLeavingAnswers({ requestLog, incarnations }: Evidence): Generator<Violation> {
  for (const { target, router, incarnation, atMs } of requestLog.leavingAnswers) {
    const runs = incarnations.find((one) => one.target === target)?.runs ?? [];
    for (const { requestId } of runs) {
      const request = requestLog.requests.get(requestId);
      const isSameProcess = request?.router === router && request.incarnation === incarnation;
      const afterMs = (request?.sentAtMs ?? 0) - atMs;
      const wasPaused = RequestLogs.hasProcessFault(requestLog, router, atMs, atMs + afterMs);
      if (isSameProcess && afterMs > LEAVING_ANSWER_LIMIT_MS && !wasPaused) {
        const text = `${requestId}: sent to router ${router} ${Math.round(afterMs)} ms after it passed on that ${target} leaves, and ran there`;
        yield { rule: 'leavingAnswer', text };
      }
    }
  }
}

/**
 * Checks that a part that crashes engines hardly reaches any later than the permitted time after the fifth crash,
 * from routers without a recent fault.
 */
function* checkCrashingPart({ requestLog, incarnations }: Evidence): Generator<Violation> {
  const fifthMs = requestLog.crashesMs[CRASHES_BEFORE_BLOCK - 1];
  if (fifthMs === undefined) return;
  const late = incarnations
    .flatMap(({ runs }) => runs)
    .flatMap(({ requestId }) => requestLog.requests.get(requestId) ?? [])
    .filter(({ id, router, sentAtMs }) => {
      const undisturbedSinceMs = RequestLogs.computeUndisturbedSince(requestLog, sentAtMs, router);
      return isCrashing(id) && sentAtMs > Math.max(fifthMs, undisturbedSinceMs) + CRASHING_LIMIT_MS;
    });
  if (late.length > MAX_CRASHING_RUNS) {
    const text = `${late.length} runs of requests with the part that crashes engines, the first of ${late[0]?.id ?? ''}`;
    yield { rule: 'crashingPart', text };
  }
}

export function checkEvidence(evidence: Evidence): readonly Violation[] {
  const checks = [
    checkRequests,
    checkVersions,
    checkRuns,
    checkConfiguration,
    checkLeaving,
    checkLeavingAnswers,
    checkCrashingPart,
  ];
  return checks.flatMap((check) => [...check(evidence)]);
}
