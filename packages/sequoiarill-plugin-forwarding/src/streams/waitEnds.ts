/** What ends a wait for room before an engine has any, or changes it. */
import type { ForwardingConfiguration, ForwardingRoute } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import type { ForwardRequest } from '../forwardRequest';

export type WaitEndCause = 'stopping' | 'revoked' | 'removed' | 'blocked';

export type WaitEnd = { readonly kind: 'callerLeft' } | Refusal;

interface Refusal {
  readonly kind: 'refused';
  readonly cause: WaitEndCause;
  readonly reason: string;
  readonly retryAfterSeconds: number | undefined;
}

/** Another router can accept the request immediately. */
const STOPPING_RETRY_SECONDS = 0.1;
/** The route has other services, or none of them at the next try. */
const REMOVED_RETRY_SECONDS = 0.5;

function createRefusal(
  cause: WaitEndCause,
  reason: string,
  retryAfterSeconds: number | undefined,
): Refusal {
  return { kind: 'refused', cause, reason, retryAfterSeconds };
}

/** The end of a wait for another reason than time; undefined where it may go on. */
export function findWaitEnd(
  { crashes, waits }: ForwardingDependencies,
  request: ForwardRequest,
): WaitEnd | undefined {
  if (request.closed.aborted) return { kind: 'callerLeft' };
  const block = crashes.findBlock(request);
  if (block !== undefined) return createRefusal('blocked', block.reason, block.retryAfterSeconds);
  return findStopEnd({ waits }, request);
}

function findStopEnd(
  { waits }: Pick<ForwardingDependencies, 'waits'>,
  request: ForwardRequest,
): Refusal | undefined {
  if (waits.hasTimeFor(request)) return undefined;
  return createRefusal('stopping', 'this process is about to end', STOPPING_RETRY_SECONDS);
}

/** Where a target has refused a request that has not run, a router that is about to stop leaves it to another one. */
export function findRepeatEnd(
  dependencies: Pick<ForwardingDependencies, 'waits'>,
  request: ForwardRequest,
  { lastTarget, mayHaveRun }: Readonly<{ lastTarget: string | undefined; mayHaveRun: boolean }>,
): (Refusal & Readonly<{ lastTarget: string }>) | undefined {
  if (lastTarget === undefined || mayHaveRun) return undefined;
  const end = findStopEnd(dependencies, request);
  return end && { ...end, lastTarget };
}

export interface ConfigurationCheck {
  /** Set where the request would not be accepted any more. */
  readonly end?: WaitEnd;
  /** The route as it is now. */
  readonly route?: ForwardingRoute;
}

/** Compares a request that waits with a configuration that has changed since it arrived. */
export function checkConfiguration(
  configuration: ForwardingConfiguration,
  request: ForwardRequest,
): ConfigurationCheck {
  const route = configuration.routes.find(({ name }) => name === request.route.name);
  if (route === undefined) {
    return { end: createRefusal('removed', 'its route was removed', undefined) };
  }
  const isServed =
    configuration.services.has(request.service) &&
    route.shares.some(({ service }) => service === request.service);
  if (!isServed) {
    const reason = 'its service was removed from the route';
    return { end: createRefusal('removed', reason, REMOVED_RETRY_SECONDS) };
  }
  if (!isKeyAccepted(configuration, route, request)) {
    return { end: createRefusal('revoked', 'its API key was revoked', undefined) };
  }
  return { route };
}

function isKeyAccepted(
  { organisations }: ForwardingConfiguration,
  { isPublic }: ForwardingRoute,
  { apiKey, organisation }: ForwardRequest,
): boolean {
  if (isPublic || organisations === undefined) return true;
  const key = apiKey?.trim();
  const owner = organisations.find(({ apiKeys }) => apiKeys.some((one) => one === key));
  return owner !== undefined && (organisation === undefined || owner.name === organisation);
}
