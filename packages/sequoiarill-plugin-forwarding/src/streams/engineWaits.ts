/**
 * Lets a new stream wait for room at the engines of its service, where it is decided who gets room.
 *
 * Nothing has been sent for a stream that waits, so that a refusal is always true, and the retry budget is untouched.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { WaiterQuery } from '@sequoiarill/decisions';

import type { ForwardingDependencies } from '../dependencies';
import * as Events from '../events';
import type { ForwardRequest } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { EnginePair } from '../targets/enginePairs';
import * as EnginePlacements from '../targets/enginePlacements';
import type { Progress } from './streamPlan';
import * as SilentEngines from './silentEngines';
import * as StreamUrgency from './streamUrgency';
import type { RequestUrgency } from './streamUrgency';
import * as WaitEnds from './waitEnds';
import type { WaitEnd } from './waitEnds';
import type { ServiceLine, WaitingStream } from './waitingStreams';

export type RoomRefusal =
  | { readonly kind: 'callerLeft' }
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterSeconds: number | undefined;
    };

export type EngineSearch =
  /** `pair` is undefined where no engine responds. */
  { readonly kind: 'found'; readonly pair: EnginePair | undefined } | RoomRefusal;

/** A caller that was refused before is late already: it may wait for this part of the time that it has left. */
const RETURNING_TIME_SHARE = 0.5;
const RETURNING_MAX_OBJECTIVES = 2;
const MS_PER_SECOND = 1_000;

/** Engines for the next send; a stream waits where all engines are silent. */
export async function findEngines(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<EngineSearch> {
  const checking = SilentEngines.checkPause(dependencies, request);
  const search = await findAnsweringEngines(dependencies, request, progress);
  const isUnanswered = search.kind === 'found' && search.pair === undefined;
  if (!isUnanswered || !(await checking)) return search;
  const isBegun = StreamUrgency.isBegun(request, progress);
  let isFull = false;
  const pair = await SilentEngines.waitForEngines(dependencies, request, isBegun, async () => {
    if (isBegun) {
      return EnginePlacements.chooseEngines(dependencies, request, progress.excluded);
    }
    const found = await readRoom(dependencies, request, progress, false);
    isFull = isWaitDue(dependencies, request, found);
    return found;
  });
  return isFull ? findAnsweringEngines(dependencies, request, progress) : { kind: 'found', pair };
}

/** A stream that has begun takes the best engines at once. */
async function findAnsweringEngines(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<EngineSearch> {
  const { excluded } = progress;
  if (progress.urgency === undefined || StreamUrgency.isBegun(request, progress)) {
    const pair = await EnginePlacements.chooseEngines(dependencies, request, excluded);
    return { kind: 'found', pair };
  }
  const line = dependencies.waits.getLine(request.service);
  const version = dependencies.directory.getConfiguration()?.version;
  const isFirst = line.count() === 0;
  if (isFirst) {
    const pair = await readRoom(dependencies, request, progress, false);
    if (!isWaitDue(dependencies, request, pair)) {
      return startStream(dependencies, request, progress, line, pair);
    }
  }
  return waitForRoom(dependencies, request, progress, { line, hasAsked: isFirst, version });
}

async function readRoom(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  hasAsked: boolean,
): Promise<EnginePair | undefined> {
  const { excluded, urgency } = progress;
  const rank = StreamUrgency.findRank(request, progress);
  if (urgency === undefined || rank === undefined) {
    return EnginePlacements.chooseEngines(dependencies, request, excluded);
  }
  return EnginePlacements.chooseEngines(dependencies, request, excluded, {
    level: urgency.level,
    rank,
    waitedMs: dependencies.clock.getNowMs() - request.arrivedAtMs,
    isReturning: request.isClientRetry,
    hasAsked,
  });
}

/** Brittle engines that are full are left out of the choice. */
function isWaitDue(
  { brittle }: ForwardingDependencies,
  { service }: ForwardRequest,
  pair: EnginePair | undefined,
): boolean {
  return pair === undefined ? brittle.isBrittle(service) : pair.entry?.kind === 'wait';
}

function startStream(
  { metrics }: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  line: ServiceLine,
  pair: EnginePair | undefined,
): EngineSearch {
  const { service } = request;
  line.recordStart(StreamUrgency.findRank(request, progress));
  if (pair?.entry?.kind === 'preempt') metrics.addCount(Metrics.PREEMPTING, 1, { service });
  return { kind: 'found', pair };
}

/** How long a stream may wait from now on. */
function computeMaxWaitMs(
  { clock, getPromptEstimates }: ForwardingDependencies,
  { service, route, promptTokens, arrivedAtMs, expiresAtMs, isClientRetry }: ForwardRequest,
): number {
  const leftMs = expiresAtMs - clock.getNowMs();
  const { objectiveMs } = route;
  if (isClientRetry) {
    return Math.min(leftMs * RETURNING_TIME_SHARE, objectiveMs * RETURNING_MAX_OBJECTIVES);
  }
  const prefillMs = promptTokens * getPromptEstimates(service).getMsPerToken();
  const latestMs = arrivedAtMs + objectiveMs * Decisions.MAX_OBJECTIVE_SHARE - prefillMs;
  return Math.min(leftMs, latestMs - clock.getNowMs());
}

/** The caller is asked to come back when the line is expected to be short enough for it. */
function createRefusal(
  { clock }: ForwardingDependencies,
  request: ForwardRequest,
  rank: number,
  line: ServiceLine,
  reason: string,
): RoomRefusal {
  const leftMs = request.expiresAtMs - clock.getNowMs();
  const { objectiveMs } = request.route;
  const maxWaitMs = Math.min(leftMs * RETURNING_TIME_SHARE, objectiveMs * RETURNING_MAX_OBJECTIVES);
  const expectedMs = line.getRetryAfterMs({ rank, isReturning: true, maxWaitMs });
  const retryAfterMs = Decisions.computeRetryAfterMs(expectedMs, leftMs);
  return { kind: 'refused', reason, retryAfterSeconds: Math.round(retryAfterMs) / MS_PER_SECOND };
}

/** What came of a wait, for its metrics. */
interface WaitResult {
  readonly outcome: string;
  readonly search: EngineSearch;
}

interface WaitStart {
  readonly line: ServiceLine;
  /** Whether it has just asked engines. */
  readonly hasAsked: boolean;
  /** Of the configuration by which it was accepted. */
  readonly version: number | undefined;
}

async function waitForRoom(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  start: WaitStart,
): Promise<EngineSearch> {
  const { clock, log } = dependencies;
  const { line } = start;
  const { urgency } = progress;
  const rank = StreamUrgency.findRank(request, progress) ?? Decisions.MAX_RANK_WITHIN_SHARE;
  const maxWaitMs = computeMaxWaitMs(dependencies, request);
  const query: WaiterQuery = { rank, isReturning: request.isClientRetry, maxWaitMs };
  const added = line.add(query);
  if (added.kind === 'refused') {
    recordRefused(dependencies, request, urgency, 'line');
    const reason = 'those before it leave no engine for it in time';
    return createRefusal(dependencies, request, rank, line, reason);
  }
  const { stream } = added;
  const ahead = line.getPlace(stream.waiter);
  // `level` is the severity of a log line.
  const fields = { request: request.id, service: request.service, urgency: urgency?.level };
  log.logEvent(Events.STREAM_WAITING, { ...fields, rank, ahead, maxWaitMs: Math.round(maxWaitMs) });
  const startedAtMs = clock.getNowMs();
  request.closed.addEventListener('abort', stream.wake, { once: true });
  let result: WaitResult | undefined;
  try {
    result = await runWait(dependencies, request, progress, { ...start, stream });
    return result.search;
  } finally {
    request.closed.removeEventListener('abort', stream.wake);
    line.remove(stream);
    const waitedMs = Math.round(clock.getNowMs() - startedAtMs);
    const outcome = result?.outcome ?? 'failed';
    recordWaited(dependencies, urgency, outcome, waitedMs);
    log.logEvent(Events.STREAM_WAITED, { ...fields, outcome, waitedMs });
  }
}

interface Wait extends WaitStart {
  readonly stream: WaitingStream;
}

async function runWait(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  { line, stream, ...wait }: Wait,
): Promise<WaitResult> {
  const { clock, directory } = dependencies;
  let { hasAsked, version } = wait;

  function findEnd(): WaitEnd | undefined {
    const configuration = directory.getConfiguration();
    if (configuration !== undefined && configuration.version !== version) {
      version = configuration.version;
      const { end, route } = WaitEnds.checkConfiguration(configuration, request);
      if (end !== undefined) return end;
      StreamUrgency.updateLevel(
        dependencies,
        { ...request, route: route ?? request.route },
        progress,
      );
      const rank = StreamUrgency.findRank(request, progress);
      if (rank !== undefined) line.setRank(stream.waiter, rank);
    }
    return WaitEnds.findWaitEnd(dependencies, request);
  }

  for (let isAskDue = !hasAsked; ; isAskDue = true) {
    const endBefore = findEnd();
    if (endBefore !== undefined) return decideWaitEnd(dependencies, request, progress, endBefore);
    if (clock.getNowMs() >= stream.waiter.deadlineMs) {
      const reason = 'no engine has had room for it in time';
      recordRefused(dependencies, request, progress.urgency, 'time');
      const { rank } = stream.waiter;
      return { outcome: 'time', search: createRefusal(dependencies, request, rank, line, reason) };
    }
    if (isAskDue && (progress.urgency === undefined || line.isAskAllowed(stream.waiter))) {
      const pair = await readRoom(dependencies, request, progress, hasAsked);
      hasAsked = true;
      const endAfter = findEnd();
      if (endAfter !== undefined) return decideWaitEnd(dependencies, request, progress, endAfter);
      if (!isWaitDue(dependencies, request, pair)) {
        return {
          outcome: 'started',
          search: startStream(dependencies, request, progress, line, pair),
        };
      }
    }
    await stream.waitForWake();
    // An engine that was full may have room now.
    progress.excluded.clear();
  }
}

function decideWaitEnd(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { urgency }: Progress,
  end: WaitEnd,
): WaitResult {
  if (end.kind === 'callerLeft') return { outcome: end.kind, search: end };
  const { cause, reason, retryAfterSeconds } = end;
  recordRefused(dependencies, request, urgency, cause);
  return { outcome: cause, search: { kind: 'refused', reason, retryAfterSeconds } };
}

function formatLevel(urgency: RequestUrgency | undefined): string {
  return String(urgency?.level ?? '');
}

function recordRefused(
  { metrics }: ForwardingDependencies,
  { service }: ForwardRequest,
  urgency: RequestUrgency | undefined,
  cause: string,
): void {
  metrics.addCount(Metrics.ROOM_REFUSED, 1, { service, cause, level: formatLevel(urgency) });
}

function recordWaited(
  { metrics }: ForwardingDependencies,
  urgency: RequestUrgency | undefined,
  outcome: string,
  waitedMs: number,
): void {
  metrics.recordTiming(Metrics.WAITED, waitedMs, { level: formatLevel(urgency), outcome });
}
