/** What a stream asks for where it is decided who gets room at the engines of its service. */
import * as Decisions from '@sequoiarill/decisions';
import type { StreamUrgency } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import type { ForwardRequest } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import * as Metrics from '../metrics';
import * as EnginePairs from '../targets/enginePairs';
import type { Plan, Progress } from './streamPlan';

export interface RequestUrgency extends StreamUrgency {
  /** Engine time; the unit is that of `computeCost`. */
  readonly work: number;
  /** Another router has sent it to a target, which may have run it. */
  readonly hasRunElsewhere: boolean;
}

/** A router of an earlier build does not say, and allows fewer targets than the route once it has used some. */
function hasRunElsewhere(
  { directory }: ForwardingDependencies,
  { route, relayTerms }: ForwardRequest,
): boolean {
  if (relayTerms === undefined) return false;
  if (relayTerms.hasRun !== undefined) return relayTerms.hasRun;
  const routes = directory.getConfiguration()?.routes ?? [];
  const { maxTargets = 0 } = routes.find(({ name }) => name === route.name) ?? {};
  return relayTerms.targetsLeft < maxTargets;
}

/** Whether the caller has events of the stream, or a target may have run it: it is never held back or refused. */
export function isBegun(
  { lastEventId }: Pick<ForwardRequest, 'lastEventId'>,
  { hasEvents, runs, urgency }: Pick<Progress, 'hasEvents' | 'runs' | 'urgency'>,
): boolean {
  if (urgency?.hasRunElsewhere === true) return true;
  return hasEvents || runs > 0 || (lastEventId !== undefined && lastEventId !== '');
}

/**
 * Records what an arriving stream asks for, unless another router is to run it, which records it then. Undefined
 * where it is not decided who gets room.
 */
export function recordArrival(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): RequestUrgency | undefined {
  const { room, relays } = dependencies;
  const { service, route, organisation, promptTokens } = request;
  const level = room.getLevel({ service, route, organisation });
  if (level === undefined) return undefined;
  const { work } = Decisions.computeCost({
    promptTokens,
    cachedTokens: 0,
    expectedOutputTokens: EnginePairs.countOutputTokens(dependencies, request),
  });
  const arrived = { level, isWithinShare: true, work };
  const urgency = { ...arrived, hasRunElsewhere: hasRunElsewhere(dependencies, request) };
  const isNew = !isBegun(request, { hasEvents: false, runs: 0, urgency });
  if (!isNew || relays.isDue(request)) return urgency;
  room.recordDemand({ service, organisation, level, work });
  return { ...urgency, ...room.markStream({ service, organisation, level }) };
}

/** Applies a change of priorities to a stream that waits; its share was decided when it arrived. */
export function updateLevel(
  { room }: ForwardingDependencies,
  { service, route, organisation }: ForwardRequest,
  progress: Progress,
): void {
  const level = room.getLevel({ service, route, organisation });
  if (level === undefined) progress.urgency = undefined;
  else if (progress.urgency !== undefined) progress.urgency = { ...progress.urgency, level };
}

/** Records that an engine has begun to run a stream that was new. */
export function recordServed(
  { room }: ForwardingDependencies,
  { service, organisation }: ForwardRequest,
  urgency: RequestUrgency | undefined,
): void {
  if (urgency === undefined) return;
  const { level, work } = urgency;
  room.recordServed({ service, organisation, level, work });
}

/** Rank in the queues of engines; undefined where engines are not told any. */
export function findRank(
  request: Pick<ForwardRequest, 'lastEventId'>,
  progress: Pick<Progress, 'hasEvents' | 'runs' | 'urgency'>,
): number | undefined {
  if (progress.urgency === undefined) return undefined;
  const { level, isWithinShare } = progress.urgency;
  return Decisions.computeRank({ level, isWithinShare, hasBegun: isBegun(request, progress) });
}

/**
 * Load pattern: engines of a zone crash, and their streams go on at engines whose KV cache runs out. With a rank before
 * new streams of its level, each would preempt a new one there, whose prompt is then read again.
 */
export function createRankHeaders(
  { wire, metrics }: Pick<ForwardingDependencies, 'wire' | 'metrics'>,
  request: ForwardRequest,
  { hasTokens }: Pick<Plan, 'hasTokens'>,
  progress: Progress,
): readonly RawHeader[] {
  if (progress.urgency === undefined) return [];
  const { level, isWithinShare } = progress.urgency;
  const isContinued = isBegun(request, progress);
  const rank = Decisions.computeRank({
    level,
    isWithinShare: isWithinShare || isContinued,
    hasBegun: isContinued && hasTokens,
  });
  metrics.addCount(Metrics.RANKS, 1, { rank: String(rank) });
  return [[wire.headers.priority, String(rank)]];
}
