/** Relays a stream that another router runs. */
import * as Decisions from '@sequoiarill/decisions';
import type { TargetBuild } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import * as ForwardRequests from '../forwardRequest';
import type { AnswerHead, ForwardRequest } from '../forwardRequest';
import * as RelayAttempts from '../relay/relayAttempt';
import type { RelayOutcome, RelayRefusal } from '../relay/relayAttempt';
import type { RelayCall, RelayRouter } from '../relay/relays';
import * as Sending from '../answers/sending';
import * as EventBlocks from './eventBlocks';
import type { EventBlock } from './eventBlocks';
import * as StreamEnds from './streamEnds';
import * as StreamPlans from './streamPlan';
import type { Progress, StreamOutcome } from './streamPlan';
import * as StreamRelays from './streamRelay';
import * as StreamUrgency from './streamUrgency';
import type { StreamPiece } from './streamRelay';

export type RelayedStreamOutcome =
  | RelayOutcome
  | { readonly kind: 'complete'; readonly head: AnswerHead }
  /** No router took the request: nothing was sent to targets on the way. */
  | { readonly kind: 'untaken' }
  /** Targets that another router asked have rejected it, and it may be sent once more. */
  | { readonly kind: 'rejected' };

type HopOutcome = Exclude<RelayedStreamOutcome, { kind: 'untaken' | 'rejected' }>;

interface Hop {
  readonly router: RelayRouter;
  /** Targets that the router may send to. */
  readonly allowance: number;
  /** Addresses of the routers that were asked, with this one. */
  readonly tried: ReadonlySet<string>;
}

const STATUS_OK = 200;
/** Short beside the gaps after which a caller leaves a stream. */
const REFUSED_PAUSE_MS = 200;

export async function* relayThroughRouters(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): AsyncGenerator<StreamPiece, RelayedStreamOutcome, void> {
  const { relays } = dependencies;
  const tried = new Set<string>();
  let unanswered = 0;
  while (RelayAttempts.isRouterLeft(tried.size, unanswered)) {
    if (request.closed.aborted) return { kind: 'callerLeft' };
    const router = relays.chooseRouter(tried);
    if (router === undefined) break;
    tried.add(router.address);
    const allowance = RelayAttempts.computeAllowance(request, progress.sends);
    const hop = { router, allowance, tried };
    const outcome = yield* relayThroughRouter(dependencies, request, progress, hop);
    recordSpent(progress, outcome, allowance);
    RelayAttempts.recordOutcome(dependencies, request, router, outcome);
    const untaken = { kind: hasRejected(outcome) ? 'rejected' : 'untaken' } as const;
    if (
      outcome.kind === 'refused' &&
      (await isAskedAgain(dependencies, request, progress, outcome))
    ) {
      return untaken;
    }
    if (outcome.kind === 'complete' || !RelayAttempts.isNextRouterDue(outcome)) return outcome;
    if (untaken.kind === 'rejected') return untaken;
    if (outcome.kind === 'notSent') unanswered += 1;
  }
  relays.recordUntaken(request.service);
  return { kind: 'untaken' };
}

/**
 * Failure: the engines of all routers are silent for a moment, so that the router which is asked refuses, and a stream that
 * has begun uses up its tries and repeats in half a second. Nothing ran, so the try does not count, and the next one
 * follows after a pause.
 */
async function isAskedAgain(
  { clock }: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  { cause }: RelayRefusal,
): Promise<boolean> {
  if (!StreamUrgency.isBegun(request, progress) || cause !== 'refused') return false;
  progress.tries -= 1;
  await clock.waitMs(REFUSED_PAUSE_MS, request.closed);
  return true;
}

async function* relayThroughRouter(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  { router, allowance, tried }: Hop,
): AsyncGenerator<StreamPiece, HopOutcome, void> {
  const { lastEventId, build } = progress;
  const call = dependencies.relays.openCall(request, router, {
    targetsLeft: allowance,
    hasRun: StreamUrgency.isBegun(request, progress),
    isRepeat: progress.deliveries > 0,
    lastEventId,
    build,
    mayLeave: () => {
      const next = { ...progress, sends: progress.sends + allowance };
      return isNextPossible(dependencies, request, next, tried);
    },
  });
  request.closed.addEventListener('abort', call.cancel, { once: true });
  try {
    const result = await RelayAttempts.readHead(dependencies, request, router, call);
    if (result.kind !== 'answer') return result;
    if (result.head.status !== STATUS_OK) {
      const { head } = result;
      const answer = await Sending.readFullAnswer(call, head, call.readNext, request.held);
      const { sends } = result;
      return RelayAttempts.addRouterContact(sends === undefined ? answer : { ...answer, sends });
    }
    const answered = { version: '', models: '', ...result.build };
    if (build !== undefined && !Decisions.isSameBuild(answered, build)) {
      const reason = 'another build answered';
      return { kind: 'lost', reason, isTimeout: false, isRouterHeard: true };
    }
    const { head } = result;
    const terms = { head, build: answered };
    return RelayAttempts.addRouterContact(
      yield* relayEvents(dependencies, request, call, terms, progress),
    );
  } finally {
    // Also runs when the consumer returns the generator early.
    call.cancel();
    request.closed.removeEventListener('abort', call.cancel);
  }
}

/** Whether the stream could be sent once more after the hop that is under way. */
function isNextPossible(
  { getBudget, clock, relays }: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  tried: ReadonlySet<string>,
): boolean {
  if (!StreamPlans.hasTriesLeft(request, progress)) return false;
  const budget = getBudget(request.service);
  return (
    budget.getBalance(clock.getNowMs()) >= 1 &&
    (relays.chooseRouter(tried) !== undefined || !relays.isDue(request))
  );
}

async function* relayEvents(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  call: RelayCall,
  { head, build }: Readonly<{ head: AnswerHead; build: TargetBuild }>,
  progress: Progress,
): AsyncGenerator<StreamPiece, HopOutcome, void> {
  const splitter = EventBlocks.createEventBlockSplitter();
  for (;;) {
    const event = await call.readNext();
    if (event.kind === 'end') {
      return splitter.hasPartialEvent()
        ? { kind: 'lost', reason: 'ended within an event', isTimeout: false }
        : StreamRelays.decideFramedEnd({ kind: 'complete', head }, progress);
    }
    if (event.kind !== 'data') {
      return RelayAttempts.decideFailure(dependencies, request, call, event);
    }
    const newBlocks = selectBlocks(splitter.addBytes(event.chunk), progress);
    if (typeof newBlocks === 'string') return { kind: 'lost', reason: newBlocks, isTimeout: false };
    if (newBlocks.length > 0) {
      if (!progress.hasEvents) yield { kind: 'head', head, build };
      StreamRelays.recordEvents(dependencies, request, progress, { build, head }, newBlocks);
      yield { kind: 'events', bytes: StreamRelays.mergeBlocks(newBlocks) };
    }
  }
}

/** The events that the caller has not received, or the reason why the stream cannot go on with these. */
function selectBlocks(
  blocks: readonly EventBlock[] | undefined,
  { lastEventId }: Progress,
): readonly EventBlock[] | string {
  if (blocks === undefined) return 'oversized event';
  const newBlocks = StreamRelays.selectNewBlocks(blocks, lastEventId);
  return newBlocks === 'gap' ? 'events are missing' : newBlocks;
}

/** Undefined where the stream continues with another send, here or through another router. */
export function decideEnd(
  request: ForwardRequest,
  progress: Progress,
  outcome: RelayedStreamOutcome,
): StreamOutcome | undefined {
  if (outcome.kind === 'complete') return { ...outcome, wasStarted: progress.hasEvents };
  if (outcome.kind === 'callerLeft') return outcome;
  if (outcome.kind === 'untaken' || outcome.kind === 'notSent') return undefined;
  if (outcome.kind === 'refused') return decideRefused(progress, outcome);
  if (outcome.kind === 'rejected') {
    return decideNext(request, progress, 'targets of another router reject it');
  }
  if (outcome.kind === 'whole' && !progress.hasEvents) return { ...outcome, kind: 'answer' };
  if (outcome.kind === 'expired') return StreamEnds.decideEnd(progress, 'time is up', true);
  return decideNext(request, progress, Sending.formatReason(outcome));
}

/** Undefined where it may be sent once more. */
function decideNext(
  request: ForwardRequest,
  progress: Progress,
  reason: string,
): StreamOutcome | undefined {
  progress.lastReason = reason;
  return StreamPlans.hasTriesLeft(request, progress)
    ? undefined
    : StreamEnds.decideEnd(progress, reason, false);
}

function hasRejected(outcome: HopOutcome): boolean {
  return outcome.kind === 'refused' && (outcome.sends ?? 0) > 0;
}

/** Targets may have run the request that another router has lost. */
function recordSpent(progress: Progress, outcome: HopOutcome, allowance: number): void {
  const spent = RelayAttempts.countSpent(outcome, allowance);
  if (spent === 0) return;
  progress.deliveries += 1;
  progress.sends += spent;
  if (outcome.kind === 'refused') return;
  progress.runs += spent;
  progress.copy = undefined;
}

function decideRefused(progress: Progress, { retryAfterSeconds }: RelayRefusal): StreamOutcome {
  const end = StreamEnds.decideEnd(progress, 'another router refuses it', false);
  return ForwardRequests.setRetryAfter(end, retryAfterSeconds);
}
