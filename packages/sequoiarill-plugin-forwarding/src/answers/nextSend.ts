/** Plans the next send of a plain request before the one that is under way is given up. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import type { ForwardRequest } from '../forwardRequest';
import type { SilenceCause } from '../targets/pathMonitor';
import * as LateArrivals from './lateArrivals';
import * as Placement from './placement';

/** Of the request, over all its sends. */
export interface SendProgress {
  readonly excluded: ReadonlySet<string>;
  /** Attempts of which bytes were sent. */
  readonly sends: number;
  readonly late: LateArrivals.LateSends;
  /** The last target that was asked has rejected it. */
  wasRejected: boolean;
  /** A repeat of the budget is taken for the next send. */
  isRetryTaken: boolean;
  /** Target of the next send, which has just answered a probe. */
  nextTarget: ForwardingTarget | undefined;
}

export interface NextSend {
  /**
   * Takes a repeat for the next send where it can do better than the target that is silent; false where the request has
   * to stay. `cause` is undefined where the target is merely late.
   */
  readonly plan: (cause: SilenceCause | undefined) => Promise<boolean>;
  /** Gives back what `plan` has taken. */
  readonly cancel: () => void;
}

/**
 * Share of the budget that rejected requests leave to others. The targets of a service are full together, and a repeat seldom
 * helps where all are.
 */
const REJECTED_RESERVE_SHARE = 0.2;
/** Targets that are probed for one plan: one may be silent as well. */
const PROBED_TARGETS = 2;

export function createNextSend(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: SendProgress,
  current: ForwardingTarget,
): NextSend {
  const { clock, paths, relays, brittle, crashes } = dependencies;
  const { service, route, relayTerms } = request;
  const budget = dependencies.getBudget(service);

  function isPossible(): boolean {
    const isLast = route.retryPolicy === 'once' || progress.sends + 1 >= route.maxTargets;
    // A brittle target gets a request once.
    const isSingle = relayTerms?.target !== undefined || brittle.isBrittle(service);
    if (isLast || isSingle || crashes.findBlock(request) !== undefined) return false;
    return budget.getBalance(clock.getNowMs()) >= 1;
  }

  /**
   * Targets that are paused together look to this router like a lost path. So another router gets the request only where
   * connections fail as well, or a target has answered through it.
   */
  function isRelayBetter(cause: SilenceCause | undefined): boolean {
    const isPathLost = cause === 'unreached' || paths.getState(service) === 'lost';
    return isPathLost && relays.isDue(request);
  }

  async function findAnswering(): Promise<ForwardingTarget | undefined> {
    const excluded = new Set([...progress.excluded, current.id]);
    for (let probed = 0; probed < PROBED_TARGETS; probed += 1) {
      const query = { request, excluded, purpose: 'first' } as const;
      const candidate = Placement.chooseTarget(dependencies, query);
      if (candidate === undefined) return undefined;
      if (await paths.checkAnswers(candidate)) return candidate;
      excluded.add(candidate.id);
    }
    return undefined;
  }

  return {
    async plan(cause) {
      if (!isPossible()) return false;
      const isRelayed = isRelayBetter(cause);
      const target = isRelayed ? undefined : await findAnswering();
      if (!isRelayed && target === undefined) return false;
      if (!budget.takeRetry(clock.getNowMs())) return false;
      progress.isRetryTaken = true;
      progress.nextTarget = target;
      return true;
    },
    cancel: () => releaseRetry(dependencies, request, progress),
  };
}

/** The planned target if it still takes requests. */
export function takeTarget(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: SendProgress,
): ForwardingTarget | undefined {
  const { nextTarget } = progress;
  progress.nextTarget = undefined;
  if (nextTarget === undefined) return undefined;
  return Placement.listAvailable(dependencies, request).find(({ id }) => id === nextTarget.id);
}

/** A repeat for a request that was sent before, unless one is taken already; false where none is left. */
export function takeRetry(
  dependencies: Pick<ForwardingDependencies, 'getBudget' | 'clock'>,
  request: ForwardRequest,
  progress: Partial<Pick<SendProgress, 'isRetryTaken' | 'late' | 'sends' | 'wasRejected'>>,
): boolean {
  const { getBudget, clock } = dependencies;
  const isTaken = progress.isRetryTaken === true;
  if (!isTaken) {
    const budget = getBudget(request.service);
    const nowMs = clock.getNowMs();
    const reserve = budget.getCapacity(nowMs) * REJECTED_RESERVE_SHARE;
    if (progress.wasRejected === true && budget.getBalance(nowMs) < 1 + reserve) return false;
    if (!budget.takeRetry(nowMs)) return false;
  }
  progress.isRetryTaken = false;
  const { late, sends = 0 } = progress;
  if (late) LateArrivals.recordRepeat(dependencies, request, late, sends);
  return true;
}

export function releaseRetry(
  { getBudget }: Pick<ForwardingDependencies, 'getBudget'>,
  { service }: ForwardRequest,
  progress: SendProgress,
): void {
  if (progress.isRetryTaken) getBudget(service).releaseRetry();
  progress.isRetryTaken = false;
  progress.nextTarget = undefined;
}
