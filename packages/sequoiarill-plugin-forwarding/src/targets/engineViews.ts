/** What is known of an engine for a placement: its report, and what this router has sent there since. */
import * as Decisions from '@sequoiarill/decisions';
import type { EngineView } from '@sequoiarill/decisions';
import type { EngineReport, ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import type { EngineStatus } from './engineStatuses';

/**
 * Adds this router's own sends to an engine's report; empty where there is no report, or the engine
 * is leaving. Must be called after all responses: the router may have sent requests there in the
 * meantime.
 */
export function buildEngineViews(
  dependencies: ForwardingDependencies,
  { target, report, cachedTokens = 0 }: EngineStatus,
  isScarce: (target: ForwardingTarget) => boolean,
  queueShare = 1,
): readonly EngineView[] {
  const { registry, brittle, room } = dependencies;
  if (report === undefined || report.isLeaving) return [];
  const { sentSinceReport: sentSince } = registry.buildView(target);
  const taken = report.running + report.queued + sentSince;
  // A brittle engine must not have to reject the request.
  if (brittle.isBrittle(target.service) && taken >= target.slots) return [];
  const { id, zone } = target;
  const view = { ...report, id, zone, sentSince, keptTokens: cachedTokens };
  const known = { ...view, isScarce: isScarce(target) };
  if (!room.isActive(target.service)) return [known];
  return [{ ...known, ...buildRoomView(dependencies, target, report, { sentSince, queueShare }) }];
}

/**
 * Failure: a run of this router ends, and the stream that waits for its slot reads a report from before the end: the
 * slot stays empty until the next report. So runs that the report still lists are taken off.
 */
function buildRoomView(
  dependencies: ForwardingDependencies,
  target: ForwardingTarget,
  report: EngineReport,
  { sentSince, queueShare }: Readonly<{ sentSince: number; queueShare: number }>,
): Required<Pick<EngineView, 'room' | 'slotWaitMs' | 'speedFactor' | 'queueShare'>> {
  const { service, slots } = target;
  const runs = dependencies.getRunEstimates(service);
  const { ended, sentTokens, copyTokens } = dependencies.registry.getOwnLoad(target);
  const listed = ended.filter(({ id }) => report.runIds.includes(id));
  const endedTokens = listed.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
  const room = Decisions.computeEngineRoom({
    slots,
    running: Math.max(0, report.running - listed.length),
    queued: report.queued,
    sentSince,
    totalTokens: report.totalTokens,
    usedTokens: Math.max(0, report.usedTokens - endedTokens),
    sentTokens,
    copyTokens,
    usualPromptTokens: dependencies.getPromptEstimates(service).getMeanTokens(),
    usualOutputTokens: runs.getMeanOutputTokens(),
  });
  const speedFactor = dependencies.room.getSpeedFactor(target);
  const notAhead = report.queued * (1 - queueShare);
  const waiting = room.freeSlots > 0 ? 0 : Math.max(1, 1 - room.freeSlots - notAhead);
  const slotWaitMs = (waiting * runs.getMeanRunMs() * speedFactor) / Math.max(1, slots);
  return { room, speedFactor, slotWaitMs, queueShare };
}

/** A stream that has begun has no choice between builds. */
export function createScarcityCheck(
  { build }: ForwardRequest,
  available: readonly ForwardingTarget[],
): (target: ForwardingTarget) => boolean {
  const [first] = available;
  const isOfFirst = (target: ForwardingTarget): boolean =>
    target.version === first?.version && target.models === first.models;
  if (build !== undefined || available.every(isOfFirst)) return () => false;
  const counts = new Map<string, number>();
  const formatKey = ({ version, models }: ForwardingTarget) => `${version}\n${models}`;
  for (const target of available) {
    const key = formatKey(target);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const most = Math.max(...counts.values());
  return (target) => Decisions.isScarceBuild(counts.get(formatKey(target)) ?? 0, most);
}
