/** Finds a place at a brittle target, here or through the router that sends to it. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import type { ForwardOutcome, ForwardRequest } from '../forwardRequest';
import type { Slot } from '../limits/brittleTargets';
import * as RelayedAnswers from '../relay/relayedAnswer';
import type { RelayProgress } from '../relay/relayedAnswer';
import * as Incarnations from '../targets/targetIncarnation';
import * as Placement from './placement';

export interface GatedProgress extends RelayProgress {
  readonly excluded: Set<string>;
  /** Held while the request runs at a brittle target. */
  slot: Slot | undefined;
}

export const NO_ROOM_REASON = 'its targets have no room';
const RETRY_AFTER_SECONDS = 0.5;

/** Targets and routers tried for one request. */
const MAX_CHOICES = 3;

/** The target, with a slot held in `progress`, or the outcome for a request that has not run. */
export async function findGatedTarget(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: GatedProgress,
): Promise<ForwardingTarget | ForwardOutcome> {
  const { brittle } = dependencies;
  const { excluded } = progress;
  for (let choices = 0; choices < MAX_CHOICES; choices += 1) {
    const targets = Placement.listAvailable(dependencies, request).filter(
      (target) => !excluded.has(target.id) && !dependencies.registry.isSuspect(target),
    );
    const choice = brittle.choose(request, targets);
    if (choice === undefined) return buildRefusal(NO_ROOM_REASON, RETRY_AFTER_SECONDS);
    const { target, router } = choice;
    if (router === undefined) return acquireSlot(dependencies, request, target, progress);
    const life = Incarnations.formatIncarnation(target);
    const outcome = await RelayedAnswers.runRelayedAnswer(
      dependencies,
      request,
      progress,
      (tried) => (tried.has(router.address) ? undefined : { router, target: life }),
    );
    if (outcome !== undefined) return outcome;
    // The next router by rank sends to the target, unless the request has been there before.
    if (!dependencies.relays.isAvoided(router)) excluded.add(target.id);
  }
  return buildRefusal(NO_ROOM_REASON, RETRY_AFTER_SECONDS);
}

async function acquireSlot(
  { brittle }: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  progress: GatedProgress,
): Promise<ForwardingTarget | ForwardOutcome> {
  const result = await brittle.acquireSlot(request, target);
  if (result.kind === 'refused') return buildRefusal(NO_ROOM_REASON, result.retryAfterSeconds);
  if (request.closed.aborted) {
    result.slot.release({});
    return { kind: 'callerLeft' };
  }
  progress.slot = result.slot;
  return target;
}

function buildRefusal(reason: string, retryAfterSeconds: number): ForwardOutcome {
  return { kind: 'refused', reason, retryAfterSeconds };
}
