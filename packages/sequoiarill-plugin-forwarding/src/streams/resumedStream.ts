/** Binds a stream that a caller resumes to the build that began it. */
import type { StreamOrigin } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import * as Events from '../events';
import type { ForwardRequest } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { FoundOrigin } from '../origins/originLookup';
import type { StreamOutcome } from './streamPlan';

export type ResumedStream =
  | { readonly kind: 'begun'; readonly request: ForwardRequest }
  | Extract<StreamOutcome, { kind: 'refused' }>;

/** Another router, or this one in a moment, may know what this one does not know now. */
const RETRY_AFTER_SECONDS = 0.5;

/**
 * Part of the time left for which a stream waits for the store. Its caller would wait as long for a second try, which
 * callers that come back once do not make.
 */
const MAX_WAIT_SHARE = 1 / 3;
const POLL_INTERVAL_MS = 200;

/** Whether the caller holds events that the answer has to fit. */
function isResumed({ lastEventId }: ForwardRequest): boolean {
  return lastEventId !== undefined && lastEventId !== '';
}

/** Refused where the origin is not known, or no longer part of the route; the request has not run then. */
export async function findOrigin(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): Promise<ResumedStream> {
  // A router that sends a stream on has found the build, or has begun the stream itself.
  const build = request.relayTerms?.build;
  if (build !== undefined) return { kind: 'begun', request: { ...request, build } };
  if (!isResumed(request)) return { kind: 'begun', request };
  const startedAtMs = dependencies.clock.getNowMs();
  const found = await findWithStore(dependencies, request);
  logFound(dependencies, request, found, startedAtMs);
  if (found.kind === 'unknown') {
    return {
      kind: 'refused',
      reason: 'nobody knows which software version began the stream',
      retryAfterSeconds: found.isTemporary ? RETRY_AFTER_SECONDS : undefined,
    };
  }
  return applyOrigin(request, found.origin);
}

/**
 * Load pattern: engines crash while the store is unreachable, and more streams break off than may be retried. Their
 * callers resume them, and with a refusal all that these streams have produced is lost.
 */
async function findWithStore(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): Promise<FoundOrigin> {
  const { clock, directory, origins, room, waits } = dependencies;
  const found = await origins.find(request);
  const isWaitDue = found.kind === 'unknown' && found.isTemporary && room.isActive(request.service);
  if (!isWaitDue) return found;
  const leftMs = request.expiresAtMs - clock.getNowMs();
  const deadlineMs = clock.getNowMs() + leftMs * MAX_WAIT_SHARE;
  while (!(await directory.verifySince(request.arrivedAtMs, POLL_INTERVAL_MS))) {
    const mayWait = clock.getNowMs() < deadlineMs && waits.hasTimeFor(request);
    if (!mayWait || request.closed.aborted) return found;
    await clock.waitMs(POLL_INTERVAL_MS, request.closed);
  }
  return origins.find(request);
}

function applyOrigin(
  request: ForwardRequest,
  { service, version, models, target }: StreamOrigin,
): ResumedStream {
  if (!request.route.shares.some((share) => share.service === service)) {
    const reason = 'the service that began the stream is no longer part of the route';
    return { kind: 'refused', reason, retryAfterSeconds: undefined };
  }
  const build = { version, models };
  return { kind: 'begun', request: { ...request, service, build, promptHolder: target } };
}

function logFound(
  { log, metrics, clock, directory }: ForwardingDependencies,
  { id, contentKey, route, service, lastEventId, resumedRequestId }: ForwardRequest,
  found: FoundOrigin,
  startedAtMs: number,
): void {
  const fields = {
    request: id,
    content: contentKey,
    route: route.name,
    service,
    lastEventId,
    resumes: resumedRequestId,
    lookupMs: Math.round(clock.getNowMs() - startedAtMs),
    confirmedAgeMs: Math.round(directory.getConfirmedAgeMs()),
  };
  if (found.kind === 'unknown') {
    metrics.addCount(Metrics.ORIGINS, 1, { source: 'unknown' });
    const { asked, answered } = found;
    log.logEvent(Events.ORIGIN_UNKNOWN, { ...fields, asked, answered });
    return;
  }
  const { origin, source, ageMs } = found;
  metrics.addCount(Metrics.ORIGINS, 1, { source });
  log.logEvent(Events.STREAM_RESUMED, {
    ...fields,
    begunVersion: origin.version,
    knownBy: source,
    knownAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
  });
}
