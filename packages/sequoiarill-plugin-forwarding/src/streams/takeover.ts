/**
 * Reserves the send that would follow a run whose engine is silent, while the run is still open.
 *
 * Failure: all engines of a service pause for a second. Each run is cancelled after a few hundred milliseconds, its prompt
 * goes to the next engine, which is as silent, and the stream ends once its attempts, repeats or engines are used up,
 * although each of its engines would have gone on. So a run is given up for silence only after an attempt and a repeat are
 * found to be left and the next engine has answered.
 */
import type { FleetRetryBudget } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as EnginePlacements from '../targets/enginePlacements';
import type { KeptReason } from '../targets/silenceLog';
import type { RunCopy } from './copyMonitor';
import type { EngineSearch } from './engineWaits';
import * as StreamPlans from './streamPlan';
import type { Plan, Progress, RelayPlan } from './streamPlan';

export type Reservation =
  | { readonly kind: 'reserved'; readonly next: Plan | RelayPlan }
  | { readonly kind: 'kept'; readonly reason: KeptReason };

export interface SilentRun {
  readonly target: ForwardingTarget;
  /** Since its last event, or since it was sent. */
  readonly silentMs: number;
  /** Copy of its KV cache. */
  readonly copy: RunCopy | undefined;
  /** Whether connections to its target fail as well. */
  readonly isUnreachable: boolean;
  /** Whether the run should stay where the prompt would have to be prefilled again. */
  readonly needsCopy: boolean;
  /** Whether the run should stay where no other engine would start it at once. */
  readonly needsRoom: boolean;
}

export interface Takeover {
  readonly reserve: (run: SilentRun) => Promise<Reservation>;
  /** The reserved send is not needed: the silent target went on. */
  readonly release: (next: Plan | RelayPlan) => void;
}

/** The next engine counts as live if it reports within this time. */
const ANSWER_TIMEOUT_MS = 120;
/** Streams elsewhere that have had no event for this part of the silence stand still as well. */
const STILL_SHARE = 0.6;
const MAX_STILL_MS = 300;

function computeStillMs(silentMs: number): number {
  return Math.min(MAX_STILL_MS, silentMs * STILL_SHARE);
}

/** The run stays where it is, so that it waits for no engine. */
async function findEnginesNow(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { excluded }: Progress,
): Promise<EngineSearch> {
  const pair = await EnginePlacements.chooseEngines(dependencies, request, excluded);
  return { kind: 'found', pair };
}

const NO_ROOM: EngineSearch = {
  kind: 'refused',
  reason: 'no other engine has room',
  retryAfterSeconds: undefined,
};

async function findEnginesWithRoom(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { excluded }: Progress,
): Promise<EngineSearch> {
  const pair = await EnginePlacements.chooseEngines(dependencies, request, excluded);
  const isFound = pair?.hasRoom === true && !excluded.has(pair.target.id);
  return isFound ? { kind: 'found', pair } : NO_ROOM;
}

export function createTakeover(
  dependencies: ForwardingDependencies,
  received: ForwardRequest,
  progress: Progress,
  budget: FleetRetryBudget,
): Takeover {
  const { activity, clock, contacts, paths, peerContacts, relays } = dependencies;

  /** The state of the stream if the run ended now. */
  function createNextProgress({ target, copy }: SilentRun, still: ReadonlySet<string>): Progress {
    return {
      ...progress,
      runs: progress.runs + 1,
      deliveries: progress.deliveries + 1,
      sends: progress.sends + 1,
      excluded: new Set([...progress.excluded, ...still, target.id]),
      copy,
      lastTarget: target.id,
    };
  }

  async function hasAnswered(target: ForwardingTarget, next: Progress): Promise<boolean> {
    if (next.excluded.has(target.id)) return false;
    if (!received.route.hasPrompt) return (await contacts.checkContact(target)) === 'answers';
    return (await dependencies.readReport(target, ANSWER_TIMEOUT_MS)) !== undefined;
  }

  async function findPlan(
    request: ForwardRequest,
    next: Progress,
    run: SilentRun,
  ): Promise<Omit<Plan, 'isRetry'> | undefined> {
    if (next.copy !== undefined) {
      const plan = StreamPlans.createCopyPlan(dependencies, request, next);
      if (plan !== undefined && (await hasAnswered(plan.target, next))) return plan;
    }
    if (run.needsCopy) return undefined;
    const plan = await StreamPlans.createPlan(
      dependencies,
      request,
      { ...next, copy: undefined },
      run.needsRoom ? findEnginesWithRoom : findEnginesNow,
    );
    if (plan?.kind !== 'plan') return undefined;
    const hasReported = plan.promptsAhead !== undefined && !next.excluded.has(plan.target.id);
    return hasReported || (await hasAnswered(plan.target, next)) ? plan : undefined;
  }

  /**
   * Targets that are paused together look like a lost path. So another router gets the stream only where connections fail
   * as well, a target has answered through it, or it hears targets that are silent here.
   */
  async function isRelayBetter({ isUnreachable, silentMs }: SilentRun): Promise<boolean> {
    const { service } = received;
    if (isUnreachable || paths.getState(service) === 'lost') return true;
    return peerContacts.isHeardElsewhere(service, clock.getRunningMs() - silentMs);
  }

  /** Whether streams at other targets stand still as well. */
  function isStandstill({ target, silentMs }: SilentRun): boolean {
    return activity.isStandstill(target, computeStillMs(silentMs), clock.getRunningMs());
  }

  async function findNext(
    request: ForwardRequest,
    next: Progress,
    run: SilentRun,
  ): Promise<Omit<Plan, 'isRetry'> | Pick<RelayPlan, 'kind'> | undefined> {
    if (relays.isDue(request)) return (await isRelayBetter(run)) ? { kind: 'relay' } : undefined;
    const isAlone = run.isUnreachable || run.needsRoom || !isStandstill(run);
    const plan = isAlone ? await findPlan(request, next, run) : undefined;
    if (plan !== undefined) return plan;
    // Its target answers, and the run is in its queue.
    if (run.needsRoom) return undefined;
    // No target answers either: the path may be lost.
    paths.recordLoss(run.target);
    return run.isUnreachable && relays.isPossible(request) ? { kind: 'relay' } : undefined;
  }

  async function reserve(run: SilentRun): Promise<Plan | RelayPlan | KeptReason> {
    const stillMs = computeStillMs(run.silentMs);
    const still = activity.listStill(received.service, stillMs, clock.getRunningMs());
    const next = createNextProgress(run, still);
    if (!StreamPlans.hasTriesLeft(received, next)) return 'noAttemptLeft';
    const { build } = progress;
    const request = build === undefined ? received : { ...received, build };
    const isEnded = StreamPlans.findEnd(dependencies, request, next) !== undefined;
    const found = isEnded ? undefined : await findNext(request, next, run);
    if (found === undefined) return run.needsCopy ? 'promptReadAgain' : 'noOtherAnswers';
    const hasRepeat = await StreamPlans.takeRetry(dependencies, request, next, budget);
    return hasRepeat ? { ...found, isRetry: true } : 'noRepeatLeft';
  }

  return {
    async reserve(run) {
      const result = await reserve(run);
      return typeof result === 'string'
        ? { kind: 'kept', reason: result }
        : { kind: 'reserved', next: result };
    },
    release: ({ isRetry }) => {
      if (isRetry) budget.releaseRetry();
    },
  };
}
