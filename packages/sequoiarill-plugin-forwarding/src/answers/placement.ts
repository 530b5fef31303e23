/** Asks the decisions for the target of one send. */
import * as Decisions from '@sequoiarill/decisions';
import type { TargetView } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';

/** What callers and lines are told of a request whose content is blocked. */
export const BLOCKED_REASON = 'targets ended as they began to run it';

type ListParts = Pick<ForwardingDependencies, 'registry' | 'directory' | 'rollouts' | 'limits'>;
type ServiceRequest = Pick<ForwardRequest, 'service' | 'versionDraw'>;

function listKnown(
  { registry, directory, rollouts }: ListParts,
  { service, versionDraw }: ServiceRequest,
): readonly ForwardingTarget[] {
  const allowed = rollouts.selectTargets(directory.listTargets(service), versionDraw);
  return Decisions.selectAvailable(allowed, registry.isSuspect);
}

/** Targets that new work of the request may go to. */
export function listAvailable(
  dependencies: ListParts,
  request: ServiceRequest,
): readonly ForwardingTarget[] {
  return listKnown(dependencies, request).filter(dependencies.limits.isAvailable);
}

/** Those that only the limits they name keep from it. */
export function listRateLimited(
  dependencies: ListParts,
  request: ServiceRequest,
  excluded: ReadonlySet<string>,
): readonly ForwardingTarget[] {
  const { registry, limits } = dependencies;
  return listKnown(dependencies, request).filter(
    (target) =>
      !limits.isAvailable(target) && !excluded.has(target.id) && !registry.isSuspect(target),
  );
}

/** What callers and lines are told where no target takes more. */
export const LIMITED_REASON = 'its targets take no more requests for now';

export interface PlacementQuestion {
  readonly request: ForwardRequest;
  /** Identities of targets that were tried already. */
  readonly excluded: ReadonlySet<string>;
  readonly purpose: 'first' | 'continuation';
}

/**
 * Undefined when nobody can be asked now.
 *
 * Load pattern: all targets of a service are down, or cut off. Each request would try them all and wait
 * for each connection in turn; its caller learns only at its time limit that nothing runs. So of the
 * requests that find all targets lost lately, one at a time tries each target, and the others are
 * refused at once.
 */
export function chooseTarget(
  dependencies: ForwardingDependencies,
  question: PlacementQuestion,
): ForwardingTarget | undefined {
  const { registry } = dependencies;
  const ready = listAvailable(dependencies, question.request);
  const fresh = ready.filter((target) => !question.excluded.has(target.id));
  const views = fresh.map(registry.buildView);
  const trusted = pickTarget(dependencies, fresh, views, question);
  if (trusted !== undefined) return trusted;
  // Those left out for failures that they answered with are better than those that do not answer.
  const answering = fresh.filter((target) => !registry.isSuspect(target));
  const pool = answering.length > 0 ? answering : fresh.filter(isIdle);
  const lenient = pool.map((target) => ({
    ...registry.buildView(target),
    state: 'healthy' as const,
  }));
  return pickTarget(dependencies, pool, lenient, question);

  function isIdle(target: ForwardingTarget): boolean {
    return registry.getInFlight(target) === 0;
  }
}

function pickTarget(
  dependencies: ForwardingDependencies,
  candidates: readonly ForwardingTarget[],
  views: readonly TargetView[],
  { request, purpose }: PlacementQuestion,
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
