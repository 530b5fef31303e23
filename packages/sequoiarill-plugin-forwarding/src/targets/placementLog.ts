/** Logs which engine was chosen for a stream, and from what. */
import type { EngineView } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Events from '../events';
import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import type { EnginePair } from './enginePairs';
import type { EngineStatus } from './engineStatuses';

interface PlacementLogEntry {
  readonly pair: EnginePair;
  readonly views: readonly EngineView[];
  readonly statuses: readonly EngineStatus[];
  /** Engines that the sample was taken from. */
  readonly known: number;
  readonly round: number;
}

export function logPlacement(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  logEntry: PlacementLogEntry,
): void {
  const { pair, views, statuses, known, round } = logEntry;
  const view = views.find(({ id }) => id === pair.target.id);
  dependencies.log.logEvent(Events.STREAM_PLACED, {
    request: request.id,
    content: request.contentKey,
    target: pair.target.id,
    targetVersion: pair.target.version,
    zone: pair.target.zone,
    backup: pair.backup?.id,
    queued: view?.queued,
    prefilling: view?.prefilling,
    running: view?.running,
    sentSince: view?.sentSince,
    usedTokens: view?.usedTokens,
    keptTokens: view?.keptTokens,
    asked: statuses.length,
    answered: views.length,
    candidates: statuses.map(formatCandidate),
    known,
    round,
  });
}

function computeRoundedMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** What an engine reported, and after how many milliseconds. */
function formatCandidate({ target, report, cachedTokens, reportMs, cachedPartsMs }: EngineStatus) {
  return {
    target: target.id,
    running: report?.running,
    keptTokens: cachedTokens,
    reportMs: computeRoundedMs(reportMs),
    keptMs: computeRoundedMs(cachedPartsMs),
  };
}

/**
 * Logs a placement where no sampled engine responded, so the target was chosen without a status.
 */
export function logUnreportedTarget(
  { log }: ForwardingDependencies,
  { id, contentKey }: ForwardRequest,
  target: ForwardingTarget,
): void {
  log.logEvent(Events.STREAM_PLACED, {
    request: id,
    content: contentKey,
    target: target.id,
    targetVersion: target.version,
    zone: target.zone,
    answered: 0,
  });
}
