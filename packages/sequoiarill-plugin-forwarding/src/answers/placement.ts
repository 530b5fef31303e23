/** Chooses the target of one attempt. */
import * as Decisions from '@sequoiarill/decisions';
import type { TargetView } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';

/** Reason of refusing a request while no target takes requests, by the targets' own word. */
export const RESTING_REASON = 'all targets have asked for rest';

/** Time between two looks at the targets of a request that waits for their rest. */
const LISTING_INTERVAL_MS = 100;

type ListingDependencies = Pick<
  ForwardingDependencies,
  'registry' | 'directory' | 'rollouts' | 'limits' | 'notices'
>;
type ServiceRequest = Pick<ForwardRequest, 'service' | 'versionDraw' | 'build'>;

/** A stream that has begun stays at its build, whatever a roll-out has decided since. */
function listCandidates(
  { registry, directory, rollouts }: ListingDependencies,
  { service, versionDraw, build }: ServiceRequest,
): readonly ForwardingTarget[] {
  const all = directory.listTargets(service);
  const allowed =
    build === undefined
      ? rollouts.selectTargets(all, versionDraw)
      : all.filter((target) => Decisions.isSameBuild(Decisions.getBuild(target), build));
  return Decisions.selectAvailable(allowed, registry.isSuspect);
}

/** Targets to which the request may be sent now. */
export function listAvailable(
  dependencies: ListingDependencies,
  request: ServiceRequest,
): readonly ForwardingTarget[] {
  return listCandidates(dependencies, request).filter((target) =>
    isAvailable(dependencies, target),
  );
}

/** Whether the target takes a request of this router now, by its own word. */
export function isAvailable(
  { limits, notices }: Pick<ListingDependencies, 'limits' | 'notices'>,
  target: ForwardingTarget,
): boolean {
  return !notices.isResting(target) && limits.isAvailable(target);
}

/**
 * Time until the first target takes requests again, milliseconds; undefined unless all that could run the
 * request have asked for rest.
 */
export function computeRestMs(
  dependencies: ListingDependencies,
  request: ServiceRequest,
): number | undefined {
  const { registry, notices } = dependencies;
  const candidates = listCandidates(dependencies, request).filter(
    (target) => !registry.isSuspect(target),
  );
  const restMs = Math.min(...candidates.map(notices.getRestMs));
  return candidates.length > 0 && restMs > 0 ? restMs : undefined;
}

/**
 * Waits until a resting target takes requests again, if the request may wait so long; false if it may not.
 * `waitingSinceMs`: start of the wait for the answer or the next event, monotonic milliseconds.
 */
export async function waitForRest(
  dependencies: ListingDependencies & Pick<ForwardingDependencies, 'clock'>,
  request: ForwardRequest,
  waitingSinceMs: number,
): Promise<boolean> {
  const restMs = computeRestMs(dependencies, request);
  if (restMs === undefined) return false;
  const { clock } = dependencies;
  const nowMs = clock.getNowMs();
  const decision = Decisions.decideRestWait({
    restMs,
    waitedMs: nowMs - waitingSinceMs,
    objectiveMs: request.route.objectiveMs,
    leftMs: request.expiresAtMs - nowMs,
  });
  if (decision.kind === 'refuse') return false;
  await waitWhileServed(dependencies, request, decision.waitMs);
  return true;
}

/** Whether all targets that would take the request were lost a moment ago. */
export function isSuspected(dependencies: ListingDependencies, request: ServiceRequest): boolean {
  const available = listAvailable(dependencies, request);
  return available.length > 0 && available.every(dependencies.registry.isSuspect);
}

/** Ends early where no target is left that could run the request, so that it is refused at once. */
async function waitWhileServed(
  dependencies: ListingDependencies & Pick<ForwardingDependencies, 'clock'>,
  request: ForwardRequest,
  waitMs: number,
): Promise<void> {
  const { clock } = dependencies;
  const endMs = clock.getNowMs() + waitMs;
  for (;;) {
    const leftMs = endMs - clock.getNowMs();
    const isServed = listCandidates(dependencies, request).length > 0;
    if (leftMs <= 0 || !isServed || request.closed.aborted) return;
    await clock.waitMs(Math.min(leftMs, LISTING_INTERVAL_MS), request.closed);
  }
}

/** Targets that are unavailable to the request only because of the rate limits that they announce. */
export function listRateLimited(
  dependencies: ListingDependencies,
  request: ServiceRequest,
  excluded: ReadonlySet<string>,
): readonly ForwardingTarget[] {
  const { registry, limits, notices } = dependencies;
  return listCandidates(dependencies, request).filter(
    (target) =>
      !limits.isAvailable(target) &&
      !excluded.has(target.id) &&
      !registry.isSuspect(target) &&
      !notices.isResting(target),
  );
}

/** Reason, for log lines and callers, of refusing a request because of rate limits. */
export const RATE_LIMITED_REASON = 'its targets take no more requests for now';

export interface PlacementQuery {
  readonly request: ForwardRequest;
  /** Ids of the targets that were already tried. */
  readonly excluded: ReadonlySet<string>;
  readonly purpose: 'first' | 'continuation';
}

/**
 * Undefined when no target can take the request now.
 *
 * Load pattern: all targets of a service are down or unreachable. Each request would try all of them and
 * wait for each connection in turn, and its caller would learn only at its time limit that nothing runs.
 * So when all targets were lost recently, each target is tried by one request at a time and the other
 * requests are refused at once.
 */
export function chooseTarget(
  dependencies: ForwardingDependencies,
  query: PlacementQuery,
): ForwardingTarget | undefined {
  const { registry } = dependencies;
  const available = listAvailable(dependencies, query.request);
  const untried = available.filter((target) => !query.excluded.has(target.id));
  const views = untried.map(registry.buildView);
  const preferred = pickTarget(dependencies, untried, views, query);
  if (preferred !== undefined) return preferred;
  // Targets excluded because they returned errors are better than targets that do not respond.
  const reachable = untried.filter((target) => !registry.isSuspect(target));
  const pool = reachable.length > 0 ? reachable : untried.filter(isIdle);
  const healthyViews = pool.map((target) => ({
    ...registry.buildView(target),
    state: 'healthy' as const,
  }));
  return pickTarget(dependencies, pool, healthyViews, query);

  function isIdle(target: ForwardingTarget): boolean {
    return registry.getInFlight(target) === 0;
  }
}

function pickTarget(
  dependencies: ForwardingDependencies,
  candidates: readonly ForwardingTarget[],
  views: readonly TargetView[],
  { request, purpose }: PlacementQuery,
): ForwardingTarget | undefined {
  if (candidates.length === 0) return undefined;
  const choice = dependencies.chooser.chooseTarget({
    candidates: views,
    zone: dependencies.zone,
    prefixKeys: [],
    nowMs: dependencies.clock.getNowMs(),
    excluded: new Set<string>(),
    purpose,
    promptTokens: request.promptTokens,
  });
  if (choice.kind !== 'target') return undefined;
  return candidates.find(({ id }) => id === choice.name);
}
