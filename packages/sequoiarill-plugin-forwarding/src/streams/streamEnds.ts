/** Outcomes of streams that nothing more is sent for. */
import * as Decisions from '@sequoiarill/decisions';
import type { TargetBuild } from '@sequoiarill/types';

import * as Placement from '../answers/placement';
import type { BlockedRequest } from '../crashes/crashGuard';
import type { ForwardingDependencies } from '../dependencies';
import * as ForwardRequests from '../forwardRequest';
import type { ForwardRequest } from '../forwardRequest';
import type { Progress, StreamOutcome } from './streamPlan';

export const RETRY_AFTER_SECONDS = 0.5;

/**
 * No target is available; where some are only at their rate limit, the outcome says when to retry.
 */
export function decideUnplaced(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): StreamOutcome {
  if (isVersionGone(dependencies, request, progress)) {
    const end = decideEnd(progress, 'no target of its software version serves', false);
    // Targets may have come that this router has not heard of yet.
    const isCertain = isConfirmedSince(dependencies, request.arrivedAtMs);
    return ForwardRequests.setRetryAfter(end, isCertain ? undefined : RETRY_AFTER_SECONDS);
  }
  if (Placement.computeRestMs(dependencies, request) !== undefined) {
    return decideEnd(progress, Placement.RESTING_REASON, false);
  }
  const limited = Placement.listRateLimited(dependencies, request, progress.excluded);
  if (limited.length === 0) return decideEnd(progress, progress.lastReason, false);
  const retryAfterSeconds = dependencies.limits.getRetrySeconds(limited);
  const end = decideEnd(progress, Placement.RATE_LIMITED_REASON, false);
  return ForwardRequests.setRetryAfter(end, retryAfterSeconds);
}

function isConfirmedSince(
  { clock, directory }: Pick<ForwardingDependencies, 'clock' | 'directory'>,
  atMs: number,
): boolean {
  return directory.getConfirmedAgeMs() <= clock.getNowMs() - atMs;
}

/** Whether the stream is bound to a build that no known target has. */
export function isVersionGone(
  dependencies: Pick<ForwardingDependencies, 'directory'>,
  request: ForwardRequest,
  { build }: Progress,
): boolean {
  return build !== undefined && !hasServingTarget(dependencies, request, build);
}

/** Whether a target of the build stays, although it may not take the request now. */
function hasServingTarget(
  { directory }: Pick<ForwardingDependencies, 'directory'>,
  { service }: ForwardRequest,
  build: TargetBuild,
): boolean {
  return directory
    .listTargets(service)
    .some(
      (target) =>
        target.state !== 'draining' && Decisions.isSameBuild(Decisions.getBuild(target), build),
    );
}

export function decideBlocked(
  progress: Progress,
  { reason, retryAfterSeconds }: BlockedRequest,
): StreamOutcome {
  const end = decideEnd(progress, reason, false);
  return ForwardRequests.setRetryAfter(end, retryAfterSeconds);
}

export function decideEnd(progress: Progress, reason: string, isLate: boolean): StreamOutcome {
  const { hasEvents, runs, lastTarget } = progress;
  const end = lastTarget === undefined ? { reason } : { reason, lastTarget };
  if (hasEvents) return { kind: 'broken', ...end };
  if (runs > 0) return { kind: 'failed', isLate, ...end };
  return { kind: 'refused', retryAfterSeconds: RETRY_AFTER_SECONDS, ...end };
}
