/** What is known of a streamed answer so far, and where it goes on. */
import type { FleetRetryBudget } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as EnginePlacements from '../targets/enginePlacements';
import type { EnginePair } from '../targets/enginePlacements';
import * as ForwardRequests from '../forwardRequest';
import type { AnswerHead, ForwardOutcome, ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as Placement from '../answers/placement';
import * as RetryQuotas from '../retryQuota';
import type { RunCopy } from './runCopies';

export type StreamOutcome =
  | { readonly kind: 'complete'; readonly head: AnswerHead; readonly wasStarted: boolean }
  /** Events were passed on, and no target can go on. */
  | { readonly kind: 'broken'; readonly reason: string; readonly lastTarget?: string }
  | ForwardOutcome;

/** Sends besides those that the route allows, for targets that did not take the request. */
const MAX_TRIES = 12;
const RETRY_AFTER_SECONDS = 0.5;
const MS_PER_SECOND = 1_000;
/** Repeats that are kept for streams in the middle: those that one crash of a zone may need. */
const REPEATS_FOR_STREAMS = 2;
/** The same as a share of what a router of a large fleet may repeat, which is little. */
const RESERVE_SHARE = 0.2;

/** What is known of the answer so far. */
export interface Progress {
  /** Of the last event that was passed on, or that the caller named. */
  lastEventId: string | undefined;
  hasEvents: boolean;
  /** Models of the target that made the first event; undefined before it. */
  models: string | undefined;
  /** The caller's answer has an end of its own; undefined before its head. */
  isFramed: boolean | undefined;
  /** Targets that began to run it. */
  runs: number;
  tries: number;
  /** Sends that reached a target, also one that did not take the request. */
  arrivals: number;
  readonly excluded: Set<string>;
  /** Of the memory of the last run. */
  copy: RunCopy | undefined;
  lastReason: string;
  lastTarget: string | undefined;
}

export interface Plan {
  readonly kind: 'plan';
  readonly target: ForwardingTarget;
  /** Who is to keep a copy of this run's memory. */
  readonly backup: ForwardingTarget | undefined;
  /** The copy that the run goes on from. */
  readonly copy: RunCopy | undefined;
  /** Prompts that the target reads first, as far as it told. */
  readonly promptsAhead?: number;
  /** Counts against the budget of repeats, unless it reaches nobody. */
  readonly isRepeat: boolean;
}

export function createProgress(request: ForwardRequest): Progress {
  return {
    lastEventId: request.lastEventId,
    hasEvents: false,
    models: undefined,
    isFramed: undefined,
    runs: 0,
    tries: 0,
    arrivals: 0,
    excluded: new Set(),
    copy: undefined,
    lastReason: 'no target is known',
    lastTarget: undefined,
  };
}

/** The next send, or the end where none is possible. */
export async function decidePlan(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  budget: FleetRetryBudget,
): Promise<Plan | StreamOutcome> {
  const nowMs = dependencies.clock.getNowMs();
  if (request.closed.aborted) return { kind: 'callerLeft' };
  if (nowMs >= request.expiresAtMs) return decideEnd(progress, 'time is up', true);
  const blockedMs = dependencies.crashes.getBlockedMs(request.contentKey);
  if (blockedMs > 0) return decideBlocked(progress, blockedMs);
  const plan =
    (await createPlan(dependencies, request, progress)) ??
    (await createPlanByLoan(dependencies, request, progress));
  if (plan?.kind === 'refused') return plan;
  if (plan === undefined) return decideUnplaced(dependencies, request, progress);
  const isRepeat = progress.arrivals > 0;
  if (isRepeat && !(await takeRepeat(dependencies, request, progress, budget))) {
    return decideEnd(progress, `${progress.lastReason}; no repeat left`, false);
  }
  return { ...plan, isRepeat };
}

/** A stream that its caller has begun to read goes before one that can still be refused. */
async function takeRepeat(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { hasEvents }: Progress,
  budget: FleetRetryBudget,
): Promise<boolean> {
  const { clock } = dependencies;
  const reserve = Math.min(
    REPEATS_FOR_STREAMS,
    budget.getCapacity(clock.getNowMs()) * RESERVE_SHARE,
  );
  const needed = hasEvents ? 1 : 1 + reserve;
  const hasEnough = (): boolean => budget.getBalance(clock.getNowMs()) >= needed;
  if (!hasEnough()) await RetryQuotas.acquireRetryQuota(dependencies, request, budget, needed);
  return hasEnough() && budget.takeRetry(clock.getNowMs());
}

/**
 * Failure: the engine that keeps the copy has begun to drain, and the run would be new work for a VM
 * that is leaving, and be cut again. The prompt is read anew elsewhere instead.
 */
function findHolder(
  dependencies: ForwardingDependencies,
  { copy }: Progress,
): ForwardingTarget | undefined {
  const holder = copy === undefined ? undefined : dependencies.directory.findCurrent(copy.keeper);
  if (holder?.state !== 'ready' || dependencies.rollouts.isLeaving(holder)) return undefined;
  if (!dependencies.limits.isAvailable(holder)) return undefined;
  return holder;
}

/** A stream that has run, or that its caller has begun to read, is never refused for lack of time. */
function decideFirst(
  { lastEventId }: ForwardRequest,
  { runs }: Progress,
  { target, backup, promptsAhead, admission: door }: EnginePair,
): Omit<Plan, 'isRepeat'> | Extract<StreamOutcome, { kind: 'refused' }> {
  if (door.kind === 'refuse' && runs === 0 && lastEventId === undefined) {
    const reason = 'its first event would be late at all engines asked';
    const { retryAfterSeconds } = door;
    return { kind: 'refused', reason, retryAfterSeconds, lastTarget: target.id };
  }
  return { kind: 'plan', target, backup, copy: undefined, promptsAhead };
}

/** Targets that would go on with other tokens than the caller has. */
function listForeign(
  { directory }: ForwardingDependencies,
  { service }: ForwardRequest,
  { models }: Progress,
): ReadonlySet<string> {
  if (models === undefined) return new Set();
  const others = directory.listTargets(service).filter((target) => target.models !== models);
  return new Set(others.map(({ id }) => id));
}

/** A copy saves the whole prefill; without one the next target is chosen like the first. */
async function createPlan(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<Omit<Plan, 'isRepeat'> | Extract<StreamOutcome, { kind: 'refused' }> | undefined> {
  const foreign = listForeign(dependencies, request, progress);
  const excluded = new Set([...progress.excluded, ...foreign]);
  const holder = findHolder(dependencies, progress);
  if (holder !== undefined) {
    const backup = EnginePlacements.chooseBackup(dependencies, request, holder);
    return { kind: 'plan', target: holder, backup, copy: progress.copy };
  }
  if (request.route.hasPrompt) {
    const pair = await EnginePlacements.chooseEngines(dependencies, request, excluded);
    if (pair !== undefined) return decideFirst(request, progress, pair);
  }
  const purpose = progress.tries === 0 ? 'first' : 'continuation';
  const target =
    Placement.chooseTarget(dependencies, { request, excluded, purpose }) ??
    Placement.chooseTarget(dependencies, { request, excluded: foreign, purpose });
  if (target === undefined) return undefined;
  if (request.route.hasPrompt) EnginePlacements.logUnasked(dependencies, request, target);
  return { kind: 'plan', target, backup: undefined, copy: undefined };
}

/** Another router may have a permit left for a target that this one must not ask. */
async function createPlanByLoan(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): ReturnType<typeof createPlan> {
  const limited = Placement.listRateLimited(dependencies, request, progress.excluded);
  const isLent = await dependencies.limits.acquirePermit(limited);
  return isLent ? createPlan(dependencies, request, progress) : undefined;
}

/** Whether the request may be sent once more. */
export function isOpenEnded(request: ForwardRequest, progress: Progress): boolean {
  const { retryPolicy: repeat, maxTargets } = request.route;
  if (repeat === 'once') return progress.runs === 0 && progress.tries < MAX_TRIES;
  return progress.runs < maxTargets && progress.tries < MAX_TRIES;
}

/** No target can be asked, some of them only since they take no more for now. */
function decideUnplaced(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): StreamOutcome {
  const limited = Placement.listRateLimited(dependencies, request, progress.excluded);
  if (limited.length === 0) return decideEnd(progress, progress.lastReason, false);
  const retryAfterSeconds = dependencies.limits.getRetrySeconds(limited);
  const end = decideEnd(progress, Placement.RATE_LIMITED_REASON, false);
  return ForwardRequests.setRetryAfter(end, retryAfterSeconds);
}

function decideBlocked(progress: Progress, blockedMs: number): StreamOutcome {
  const retryAfterSeconds = Math.ceil(blockedMs / MS_PER_SECOND);
  const end = decideEnd(progress, Placement.BLOCKED_REASON, false);
  return ForwardRequests.setRetryAfter(end, retryAfterSeconds);
}

export function decideEnd(progress: Progress, reason: string, isLate: boolean): StreamOutcome {
  const { hasEvents, runs, lastTarget } = progress;
  const end = lastTarget === undefined ? { reason } : { reason, lastTarget };
  if (hasEvents) return { kind: 'broken', ...end };
  if (runs > 0) return { kind: 'failed', isLate, ...end };
  return { kind: 'refused', retryAfterSeconds: RETRY_AFTER_SECONDS, ...end };
}
