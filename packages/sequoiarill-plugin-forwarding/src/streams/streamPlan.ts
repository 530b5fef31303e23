/** Progress of a streamed answer, and the plan of its next send. */
import * as Decisions from '@sequoiarill/decisions';
import type { FleetRetryBudget } from '@sequoiarill/decisions';
import type { ForwardingTarget, TargetBuild } from '@sequoiarill/types';

import * as EnginePlacements from '../targets/enginePlacements';
import type { EnginePair } from '../targets/enginePairs';
import * as PlacementLog from '../targets/placementLog';
import type { AnswerHead, ForwardOutcome, ForwardRequest, PassedEnd } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import { NO_ROOM_REASON } from '../answers/gatedTarget';
import * as LateArrivals from '../answers/lateArrivals';
import * as Placement from '../answers/placement';
import type { RunCopy } from './copyMonitor';
import * as EngineWaits from './engineWaits';
import type { RoomRefusal } from './engineWaits';
import * as StreamEnds from './streamEnds';
import type { RequestUrgency } from './streamUrgency';
import * as WaitEnds from './waitEnds';

export type StreamOutcome =
  | { readonly kind: 'complete'; readonly head: AnswerHead; readonly wasStarted: boolean }
  /** Events were relayed, and no target can continue. */
  | { readonly kind: 'broken'; readonly reason: string; readonly lastTarget?: string }
  | Exclude<ForwardOutcome, PassedEnd>;

/** Bounds the tries of a stream, also where connections are refused and nothing is sent. */
const MAX_TRIES = 12;
/** Prefilling the prompt again takes a second, so a busy holder may take longer than an idle one. */
const HOLDER_TIMEOUT_MS = 120;
/** Time for which the store may name targets of a version that none is known of; it answers in milliseconds. */
const VERIFY_TIMEOUT_MS = 150;
const NONE: ReadonlySet<string> = new Set();
/** Retries reserved for streams that have begun: as many as the crash of one zone may require. */
const RESERVED_RETRIES = 2;
/**
 * Limits the reservation to this share of the budget, which is small for a router of a large fleet.
 */
const RESERVE_SHARE = 0.2;

/** State of a streamed answer over all its attempts. */
export interface Progress {
  /** Id of the last event that was relayed, or that the caller sent with its request. */
  lastEventId: string | undefined;
  hasEvents: boolean;
  /** Build of the target that produced the first event; undefined before it. */
  build: TargetBuild | undefined;
  /** Whether the caller's answer has framing (a length or chunks); undefined before its head. */
  isFramed: boolean | undefined;
  /** Attempts in which a target may have begun to run the request, here and in lost hops. */
  runs: number;
  tries: number;
  /** Sends from here, to targets and through other routers, that reached a target, which may have rejected it. */
  deliveries: number;
  /** Targets that it was sent to, here and by other routers, including those that rejected it. */
  sends: number;
  readonly excluded: Set<string>;
  readonly late: LateArrivals.LateSends;
  /** Undefined where it is not decided who gets room. */
  urgency: RequestUrgency | undefined;
  /** Copy of the last run's KV cache. */
  copy: RunCopy | undefined;
  /** The send that takes over a run whose target was silent. */
  reserved: Plan | RelayPlan | undefined;
  lastReason: string;
  lastTarget: string | undefined;
}

export interface Plan {
  readonly kind: 'plan';
  readonly target: ForwardingTarget;
  /** Engine that is to hold a copy of this run's KV cache. */
  readonly backup: ForwardingTarget | undefined;
  /** The copy from which the run continues. */
  readonly copy: RunCopy | undefined;
  /** Prompts that the target prefills before this one; undefined where it was not queried. */
  readonly promptsAhead?: number;
  /** Whether the target has KV cache for a stream that continues without a copy, as far as is known. */
  readonly hasTokens: boolean;
  /** Counts against the retry budget, unless it reaches no target. */
  readonly isRetry: boolean;
}

/** The next send goes through another router. */
export interface RelayPlan {
  readonly kind: 'relay';
  readonly isRetry: boolean;
}

export function createProgress(request: ForwardRequest, urgency?: RequestUrgency): Progress {
  return {
    urgency,
    lastEventId: request.lastEventId,
    hasEvents: false,
    build: request.build,
    isFramed: undefined,
    runs: 0,
    tries: 0,
    deliveries: 0,
    sends: 0,
    excluded: new Set(),
    late: LateArrivals.createLateSends(),
    copy: undefined,
    reserved: undefined,
    lastReason: 'no target is known',
    lastTarget: undefined,
  };
}

/** The next send, or the final outcome where none is possible. */
export async function decidePlan(
  dependencies: ForwardingDependencies,
  received: ForwardRequest,
  progress: Progress,
  budget: FleetRetryBudget,
): Promise<Plan | RelayPlan | StreamOutcome> {
  const { build } = progress;
  const request = build === undefined ? received : { ...received, build };
  await dependencies.crashes.waitForInquiry(request);
  const end = findEnd(dependencies, request, progress);
  const reserved = takeReserved(progress, budget, end);
  if (end !== undefined) return end;
  if (reserved !== undefined) return reserved;
  if (dependencies.relays.isDue(request)) {
    return createRelayPlan(dependencies, request, progress, budget);
  }
  const plan = await createAnyPlan(dependencies, request, progress);
  if (plan === undefined) return decideWithoutTarget(dependencies, request, progress, budget);
  if (plan.kind !== 'plan') return plan;
  const isRetry = progress.deliveries > 0;
  if (isRetry && !(await takeRetry(dependencies, request, progress, budget))) {
    return StreamEnds.decideEnd(progress, `${progress.lastReason}; no repeat left`, false);
  }
  if (isSendable(dependencies, request)) return { ...plan, isRetry };
  if (isRetry) budget.releaseRetry();
  return decidePlan(dependencies, received, progress, budget);
}

/** It may have been blocked, or have to wait, since engines and other routers were asked. */
function isSendable(
  { crashes }: Pick<ForwardingDependencies, 'crashes'>,
  request: ForwardRequest,
): boolean {
  return crashes.findBlock(request) === undefined && !crashes.isHeld(request);
}

/** The reserved send, whose repeat is given back where nothing more may be sent. */
function takeReserved(
  progress: Progress,
  budget: FleetRetryBudget,
  end: StreamOutcome | undefined,
): Plan | RelayPlan | undefined {
  const { reserved } = progress;
  progress.reserved = undefined;
  if (end !== undefined && reserved?.isRetry === true) budget.releaseRetry();
  return reserved;
}

/** The outcome where nothing more may be sent. */
export function findEnd(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): StreamOutcome | undefined {
  const { clock, crashes } = dependencies;
  if (request.closed.aborted) return { kind: 'callerLeft' };
  if (clock.getNowMs() >= request.expiresAtMs) {
    return StreamEnds.decideEnd(progress, 'time is up', true);
  }
  const block = crashes.findBlock(request);
  if (block !== undefined) return StreamEnds.decideBlocked(progress, block);
  const { lastTarget, hasEvents, runs } = progress;
  const mayHaveRun = hasEvents || runs > 0;
  return WaitEnds.findRepeatEnd(dependencies, request, { lastTarget, mayHaveRun });
}

/** Waits for a target that rests, or asks another router, which may reach targets that this one has lost. */
async function decideWithoutTarget(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  budget: FleetRetryBudget,
): Promise<Plan | RelayPlan | StreamOutcome> {
  const { clock, directory, relays } = dependencies;
  if (StreamEnds.isVersionGone(dependencies, request, progress)) {
    await directory.verifySince(request.arrivedAtMs, VERIFY_TIMEOUT_MS);
    if (!StreamEnds.isVersionGone(dependencies, request, progress)) {
      return decidePlan(dependencies, request, progress, budget);
    }
  }
  const waitingSinceMs = progress.hasEvents ? clock.getNowMs() : request.arrivedAtMs;
  if (await Placement.waitForRest(dependencies, request, waitingSinceMs)) {
    progress.excluded.clear();
    return decidePlan(dependencies, request, progress, budget);
  }
  return relays.isPossible(request)
    ? createRelayPlan(dependencies, request, progress, budget)
    : StreamEnds.decideUnplaced(dependencies, request, progress);
}

async function createRelayPlan(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  budget: FleetRetryBudget,
): Promise<RelayPlan | StreamOutcome> {
  const isRetry = progress.deliveries > 0;
  if (isRetry && !(await takeRetry(dependencies, request, progress, budget))) {
    return StreamEnds.decideEnd(progress, `${progress.lastReason}; no repeat left`, false);
  }
  return { kind: 'relay', isRetry };
}

/** A stream whose caller has received events has priority over one that can still be refused. */
export async function takeRetry(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { hasEvents }: Progress,
  budget: FleetRetryBudget,
): Promise<boolean> {
  const { clock } = dependencies;
  const reserve = Math.min(RESERVED_RETRIES, budget.getCapacity(clock.getNowMs()) * RESERVE_SHARE);
  const needed = hasEvents ? 1 : 1 + reserve;
  const hasEnough = (): boolean => budget.getBalance(clock.getNowMs()) >= needed;
  if (!hasEnough()) await dependencies.quota.acquire(request, budget, needed);
  return hasEnough() && budget.takeRetry(clock.getNowMs());
}

/**
 * Failure: the holder of the copy has begun to drain. The run would be new work for a VM that is
 * leaving, and would be interrupted again. So the prompt is prefilled elsewhere instead.
 */
function findCopyHolder(
  dependencies: ForwardingDependencies,
  { copy, build }: Progress,
): ForwardingTarget | undefined {
  const holder = copy === undefined ? undefined : dependencies.directory.findCurrent(copy.holder);
  if (holder?.state !== 'ready') return undefined;
  if (build !== undefined && !Decisions.isSameBuild(Decisions.getBuild(holder), build)) {
    return undefined;
  }
  if (!Placement.isAvailable(dependencies, holder)) return undefined;
  return holder;
}

/**
 * Failure: engines crash while the store is unreachable, and holders of copies restart unnoticed. Their
 * next incarnations reject the streams, and each rejection uses a retry that the stream may need.
 */
async function createVerifiedCopyPlan(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<Omit<Plan, 'isRetry'> | undefined> {
  const plan = createCopyPlan(dependencies, request, progress);
  if (plan === undefined || dependencies.directory.isUpToDate()) return plan;
  const report = await dependencies.readReport(plan.target, HOLDER_TIMEOUT_MS);
  return report === undefined ? undefined : plan;
}

/** Continues from the copy of the last run; undefined where its holder does not take the run. */
export function createCopyPlan(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Omit<Plan, 'isRetry'> | undefined {
  const holder = findCopyHolder(dependencies, progress);
  if (holder === undefined) return undefined;
  const backup = EnginePlacements.chooseBackup(dependencies, request, holder);
  return { kind: 'plan', target: holder, backup, copy: progress.copy, hasTokens: true };
}

/** A stream that has run, or whose caller has received events, is never refused for lateness. */
function decideAdmission(
  { lastEventId }: ForwardRequest,
  { runs, urgency }: Progress,
  { target, backup, promptsAhead, admission, entry, hasTokens }: EnginePair,
): Omit<Plan, 'isRetry'> | Extract<StreamOutcome, { kind: 'refused' }> {
  // Where it is decided who gets room, `entry` has decided for new streams, and others are never refused.
  const isDecided = entry !== undefined || urgency?.hasRunElsewhere === true;
  const isRefused = !isDecided && admission.kind === 'refuse';
  if (isRefused && runs === 0 && lastEventId === undefined) {
    const reason = 'its first event would be late at all engines asked';
    const { retryAfterSeconds } = admission;
    return { kind: 'refused', reason, retryAfterSeconds, lastTarget: target.id };
  }
  return { kind: 'plan', target, backup, copy: undefined, promptsAhead, hasTokens };
}

/**
 * Continuing from a copy saves the whole prefill; without one the next target is chosen like the
 * first.
 */
export async function createPlan(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  findEngines: typeof EngineWaits.findEngines = EngineWaits.findEngines,
): Promise<Omit<Plan, 'isRetry'> | RoomRefusal | undefined> {
  const { excluded } = progress;
  const copyPlan = await createVerifiedCopyPlan(dependencies, request, progress);
  if (copyPlan !== undefined) return copyPlan;
  if (request.route.hasPrompt) {
    const search = await findEngines(dependencies, request, progress);
    if (search.kind !== 'found') return search;
    if (search.pair !== undefined) return decideAdmission(request, progress, search.pair);
    if (!progress.hasEvents && dependencies.brittle.isBrittle(request.service)) {
      return {
        kind: 'refused',
        reason: NO_ROOM_REASON,
        retryAfterSeconds: StreamEnds.RETRY_AFTER_SECONDS,
      };
    }
  }
  const purpose = progress.tries === 0 ? 'first' : 'continuation';
  const target =
    Placement.chooseTarget(dependencies, { request, excluded, purpose }) ??
    Placement.chooseTarget(dependencies, { request, excluded: NONE, purpose });
  if (target === undefined) return undefined;
  if (request.route.hasPrompt) PlacementLog.logUnreportedTarget(dependencies, request, target);
  return { kind: 'plan', target, backup: undefined, copy: undefined, hasTokens: false };
}

async function createAnyPlan(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): ReturnType<typeof createPlan> {
  return (
    (await createPlan(dependencies, request, progress)) ??
    createPlanWithBorrowedPermit(dependencies, request, progress)
  );
}

/** Another router may have a permit left for a target at which this one has reached its limit. */
async function createPlanWithBorrowedPermit(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): ReturnType<typeof createPlan> {
  const limited = Placement.listRateLimited(dependencies, request, progress.excluded);
  const isBorrowed = await dependencies.limits.acquirePermit(limited);
  return isBorrowed ? createPlan(dependencies, request, progress) : undefined;
}

/** Whether the request may be sent once more. */
export function hasTriesLeft(request: ForwardRequest, progress: Progress): boolean {
  const { retryPolicy, maxTargets } = request.route;
  if (retryPolicy === 'once' && progress.runs > 0) return false;
  return progress.sends < maxTargets && progress.tries < MAX_TRIES;
}
