/**
 * The whole life of a streamed answer, straight down: choose a target, pass on its events, and after a
 * loss choose again and go on after the last whole event that was passed on.
 */
import type { RetryBudget } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Checks from './answerChecks';
import * as EnginePlacements from './enginePlacements';
import type { EventBlock } from './eventBlocks';
import * as Events from './events';
import type { AnswerHead, ForwardOutcome, ForwardRequest, SendOutcome } from './forwardRequest';
import type { RawHeader } from './headers';
import * as Metrics from './metrics';
import type { ForwardingParts } from './parts';
import * as Placement from './placement';
import * as Sending from './sending';
import * as StreamAttempts from './streamAttempt';
import type { AttemptOutcome } from './streamAttempt';

export type StreamPiece =
  | { readonly kind: 'head'; readonly head: AnswerHead }
  | { readonly kind: 'events'; readonly bytes: Buffer };

export type StreamOutcome =
  | { readonly kind: 'complete'; readonly head: AnswerHead; readonly wasStarted: boolean }
  /** Events were passed on, and no target can go on. */
  | { readonly kind: 'broken'; readonly reason: string; readonly lastTarget?: string }
  | ForwardOutcome;

/** Sends besides those that the route allows, for targets that did not take the request. */
const MAX_TRIES = 12;
const RETRY_AFTER_SECONDS = 0.5;
/** Repeats that are kept for streams in the middle: those that one crash of a zone may need. */
const REPEATS_FOR_STREAMS = 3;
/** Pause before the next try when targets do not take the request, milliseconds. */
const BUSY_PAUSE_MS = 40;
/** Tries after which a refused connection is followed by a pause. */
const FAST_TRIES = 3;

/** What is known of the answer so far. */
interface Progress {
  /** Of the last event that was passed on, or that the caller named. */
  lastEventId: string | undefined;
  hasEvents: boolean;
  /** The caller's answer has an end of its own; undefined before its head. */
  isFramed: boolean | undefined;
  /** Targets that began to run it. */
  runs: number;
  tries: number;
  /** Sends that reached a target, also one that did not take the request. */
  arrivals: number;
  readonly excluded: Set<string>;
  /** Who keeps a copy of the memory of the last run. */
  copy: ForwardingTarget | undefined;
  lastReason: string;
  lastTarget: string | undefined;
}

interface Plan {
  readonly kind: 'plan';
  readonly target: ForwardingTarget;
  readonly backup: ForwardingTarget | undefined;
  readonly usesCopy: boolean;
  /** Counts against the budget of repeats, unless it reaches nobody. */
  readonly isRepeat: boolean;
}

export async function* runStreamAnswer(
  parts: ForwardingParts,
  request: ForwardRequest,
): AsyncGenerator<StreamPiece, StreamOutcome, void> {
  const { clock } = parts;
  const budget = parts.getBudget(request.service);
  const progress = createProgress(request);
  budget.recordRequest(clock.getNowMs());
  for (;;) {
    const plan = await decidePlan(parts, request, progress, budget);
    if (plan.kind !== 'plan') return plan;
    progress.tries += 1;
    const outcome = yield* relayAttempt(parts, request, plan, progress);
    if (outcome.kind === 'notSent' && plan.isRepeat) budget.releaseRetry();
    const end = decideAfter(parts, request, plan, progress, outcome);
    if (end !== undefined) return end;
    if (isPauseDue(plan, progress, outcome)) await clock.waitMs(BUSY_PAUSE_MS);
  }
}

/** The next send, or the end where none is possible. */
async function decidePlan(
  parts: ForwardingParts,
  request: ForwardRequest,
  progress: Progress,
  budget: RetryBudget,
): Promise<Plan | StreamOutcome> {
  const nowMs = parts.clock.getNowMs();
  if (request.closed.aborted) return { kind: 'callerLeft' };
  if (nowMs >= request.expiresAtMs) return decideEnd(progress, 'time is up', true);
  const plan = await createPlan(parts, request, progress);
  if (plan === undefined) return decideEnd(progress, progress.lastReason, false);
  const isRepeat = progress.arrivals > 0;
  if (isRepeat && !takeRepeat(progress, budget, nowMs)) {
    return decideEnd(progress, `${progress.lastReason}; no repeat left`, false);
  }
  return { ...plan, isRepeat };
}

/**
 * Failure: all engines refuse connections for a moment, and a stream spends all its tries within some
 * milliseconds. The first few are worth being fast, since the next engine may be up; then time is.
 */
function isPauseDue(plan: Plan, progress: Progress, outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'notRun') return !plan.usesCopy;
  return outcome.kind === 'notSent' && progress.tries > FAST_TRIES;
}

/** A stream that its caller has begun to read goes before one that can still be refused. */
function takeRepeat(progress: Progress, budget: RetryBudget, nowMs: number): boolean {
  if (!progress.hasEvents && budget.getBalance(nowMs) < REPEATS_FOR_STREAMS) return false;
  return budget.takeRetry(nowMs);
}

/** Undefined: the stream goes on with another send. */
function decideAfter(
  parts: ForwardingParts,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
  outcome: AttemptOutcome,
): StreamOutcome | undefined {
  if (outcome.kind === 'complete') return { ...outcome, wasStarted: progress.hasEvents };
  if (outcome.kind === 'callerLeft') return outcome;
  if (outcome.kind === 'expired') return decideEnd(progress, 'time is up', true);
  if (outcome.kind === 'whole' && !progress.hasEvents) {
    return { kind: 'answer', head: outcome.head, body: outcome.body };
  }
  updateProgress(parts, plan, progress, outcome);
  logContinued(parts, request, plan, progress);
  return isOpenEnded(request, progress)
    ? undefined
    : decideEnd(progress, progress.lastReason, false);
}

function createProgress(request: ForwardRequest): Progress {
  return {
    lastEventId: request.lastEventId,
    hasEvents: false,
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

/**
 * Failure: the engine that keeps the copy has begun to drain, and the run would be new work for a VM
 * that is leaving, and be cut again. The prompt is read anew elsewhere instead.
 */
function findHolder(parts: ForwardingParts, { copy }: Progress): ForwardingTarget | undefined {
  const holder = copy === undefined ? undefined : parts.directory.findCurrent(copy);
  return holder?.state === 'ready' ? holder : undefined;
}

/** A copy saves the whole prefill; without one the next target is chosen like the first. */
async function createPlan(
  parts: ForwardingParts,
  request: ForwardRequest,
  progress: Progress,
): Promise<Omit<Plan, 'isRepeat'> | undefined> {
  const { excluded } = progress;
  const holder = findHolder(parts, progress);
  if (holder !== undefined) {
    const backup = EnginePlacements.chooseBackup(parts, request, holder);
    return { kind: 'plan', target: holder, backup, usesCopy: true };
  }
  if (request.route.hasPrompt) {
    const pair = await EnginePlacements.chooseEngines(parts, request, excluded);
    if (pair !== undefined) return { kind: 'plan', ...pair, usesCopy: false };
  }
  const purpose = progress.tries === 0 ? 'first' : 'continuation';
  const target =
    Placement.chooseTarget(parts, { request, excluded, purpose }) ??
    Placement.chooseTarget(parts, { request, excluded: new Set(), purpose });
  if (target === undefined) return undefined;
  return { kind: 'plan', target, backup: undefined, usesCopy: false };
}

function createExtraHeaders(
  parts: ForwardingParts,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
): readonly RawHeader[] {
  const names = parts.wire.headers;
  const headers: RawHeader[] = [];
  if (plan.backup !== undefined) headers.push([names.backupTarget, plan.backup.address]);
  if (plan.usesCopy) headers.push([names.continueFrom, `${plan.target.address}/${request.id}`]);
  if (progress.lastEventId !== undefined) headers.push([names.lastEventId, progress.lastEventId]);
  return headers;
}

async function* relayAttempt(
  parts: ForwardingParts,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
): AsyncGenerator<StreamPiece, AttemptOutcome, void> {
  const attempt = StreamAttempts.runStreamAttempt(parts, {
    request,
    target: plan.target,
    extraHeaders: createExtraHeaders(parts, request, plan, progress),
    hasCopy: plan.backup !== undefined,
    prefillTokens: plan.usesCopy ? 0 : request.promptTokens,
  });
  try {
    for (;;) {
      const step = await attempt.next();
      if (step.done === true) return decideFramedEnd(step.value, progress);
      const { head, blocks } = step.value;
      const fresh = selectFresh(blocks, progress.lastEventId);
      if (fresh === 'gap') return { kind: 'lost', reason: 'events are missing', isSilence: false };
      const last = fresh.at(-1);
      if (last !== undefined) {
        if (!progress.hasEvents) yield { kind: 'head', head };
        progress.isFramed ??= !Checks.isUnframed(head);
        progress.hasEvents = true;
        progress.lastEventId = last.id ?? progress.lastEventId;
        yield { kind: 'events', bytes: mergeBlocks(fresh) };
      }
    }
  } finally {
    await attempt.return({ kind: 'callerLeft' });
  }
}

/**
 * Failure: a part without framing may end because its engine crashed, and the end of the caller's
 * answer would say that it is whole. So such a part does not end an answer that has framing.
 */
function decideFramedEnd(outcome: AttemptOutcome, progress: Progress): AttemptOutcome {
  const isDoubtful =
    outcome.kind === 'complete' && progress.isFramed === true && Checks.isUnframed(outcome.head);
  return isDoubtful ? { kind: 'lost', reason: 'end without framing', isSilence: false } : outcome;
}

/**
 * Failure: a target goes on too early or too late, and an event comes twice or is missing. Ids rise by
 * one, so events that were passed on are left out, and a hole is a loss.
 */
export function selectFresh(
  blocks: readonly EventBlock[],
  lastEventId: string | undefined,
): readonly EventBlock[] | 'gap' {
  let last = lastEventId === undefined ? undefined : Number(lastEventId);
  const fresh: EventBlock[] = [];
  for (const block of blocks) {
    const id = block.id === undefined ? undefined : Number(block.id);
    const isKnown = id !== undefined && last !== undefined && id <= last;
    if (!isKnown) {
      if (id !== undefined && last !== undefined && id > last + 1) return 'gap';
      fresh.push(block);
      last = id ?? last;
    }
  }
  return fresh;
}

function mergeBlocks(blocks: readonly EventBlock[]): Buffer {
  const [first] = blocks;
  if (first !== undefined && blocks.length === 1) return first.bytes;
  return Buffer.concat(blocks.map(({ bytes }) => bytes));
}

function updateProgress(
  parts: ForwardingParts,
  plan: Plan,
  progress: Progress,
  outcome: Exclude<AttemptOutcome, { kind: 'complete' | 'callerLeft' | 'expired' }>,
): void {
  const { target, backup, usesCopy } = plan;
  progress.lastReason = formatReason(outcome);
  progress.lastTarget = target.id;
  progress.excluded.add(target.id);
  const hasRun = outcome.kind === 'lost' || outcome.kind === 'whole';
  // A copy can be used once; the run that was lost kept one of its own, if it ran at all.
  if (hasRun) progress.copy = backup;
  else if (usesCopy) progress.copy = undefined;
  if (hasRun) progress.runs += 1;
  if (outcome.kind !== 'notSent') progress.arrivals += 1;
  recordOutcome(parts, target, outcome);
  parts.metrics.addCount(Metrics.CONTINUED, 1, { cause: outcome.kind });
}

function recordOutcome(
  parts: ForwardingParts,
  target: ForwardingTarget,
  outcome: Exclude<SendOutcome, { kind: 'callerLeft' | 'expired' }>,
): void {
  const { book } = parts;
  if (outcome.kind === 'notRun' && outcome.status === Sending.MISDIRECTED) {
    book.recordReplaced(target);
  } else if (outcome.kind === 'notRun' || outcome.kind === 'whole') book.recordFailure(target);
  else book.recordLoss(target);
  if (outcome.kind === 'lost' && outcome.isSilence) parts.renewConnections(target);
}

function logContinued(
  parts: ForwardingParts,
  request: ForwardRequest,
  { target, usesCopy }: Plan,
  progress: Progress,
): void {
  parts.log.logEvent(Events.STREAM_CONTINUED, {
    request: request.id,
    target: target.id,
    zone: target.zone,
    reason: progress.lastReason,
    lastEventId: progress.lastEventId,
    hadCopy: usesCopy,
    copyAt: progress.copy?.id,
    afterMs: Math.round(parts.clock.getNowMs() - request.arrivedAtMs),
  });
}

function formatReason(outcome: Exclude<SendOutcome, { kind: 'callerLeft' | 'expired' }>): string {
  if (outcome.kind === 'notRun') return `not run, status ${outcome.status}`;
  if (outcome.kind === 'whole') return `status ${outcome.head.status}`;
  return outcome.reason;
}

/** Whether the request may be sent once more. */
function isOpenEnded(request: ForwardRequest, progress: Progress): boolean {
  const { repeat, maxTargets } = request.route;
  if (repeat === 'once') return progress.runs === 0 && progress.tries < MAX_TRIES;
  return progress.runs < maxTargets && progress.tries < MAX_TRIES;
}

function decideEnd(progress: Progress, reason: string, isLate: boolean): StreamOutcome {
  const { hasEvents, runs, lastTarget } = progress;
  const end = lastTarget === undefined ? { reason } : { reason, lastTarget };
  if (hasEvents) return { kind: 'broken', ...end };
  if (runs > 0) return { kind: 'failed', isLate, ...end };
  return { kind: 'refused', retryAfterSeconds: RETRY_AFTER_SECONDS, ...end };
}
