/** Passes on the events of one send, each event once, and looks after the copy of the run meanwhile. */
import * as Checks from '../answers/answerChecks';
import type { EventBlock } from './eventBlocks';
import type { AnswerHead, ForwardRequest } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { ForwardingDependencies } from '../dependencies';
import * as RunCopies from './runCopies';
import * as StreamAttempts from './streamAttempt';
import type { AttemptOutcome } from './streamAttempt';
import type { Plan, Progress } from './streamPlan';

export type StreamPiece =
  | { readonly kind: 'head'; readonly head: AnswerHead }
  | { readonly kind: 'events'; readonly bytes: Buffer };

/** Whether the target may have begun to run the request. */
export function hasRun(outcome: AttemptOutcome): boolean {
  return ['lost', 'whole', 'handedOver'].includes(outcome.kind);
}

function createExtraHeaders(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
): readonly RawHeader[] {
  const names = dependencies.wire.headers;
  const headers: RawHeader[] = [];
  if (plan.backup !== undefined) headers.push([names.backupTarget, plan.backup.address]);
  if (plan.copy !== undefined) headers.push([names.continueFrom, plan.copy.place]);
  if (progress.lastEventId !== undefined) headers.push([names.lastEventId, progress.lastEventId]);
  return headers;
}

export async function* relayAttempt(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
): AsyncGenerator<StreamPiece, AttemptOutcome, void> {
  const watch = RunCopies.createCopyMonitor(dependencies, request, plan.target, plan.backup);
  const attempt = StreamAttempts.runStreamAttempt(dependencies, {
    request,
    target: plan.target,
    extraHeaders: createExtraHeaders(dependencies, request, plan, progress),
    hasCopy: () => watch.getCopy() !== undefined,
    prefillTokens: plan.copy === undefined ? request.promptTokens : 0,
    promptsAhead: plan.promptsAhead,
  });
  /**
   * Failure: an engine crashes while it reads a prompt. Its copy begins with the first event, so the keeper
   * has nothing to go on from and refuses; each such send is a repeat that a stream in the middle may
   * need a moment later.
   */
  let hasMadeEvents = false;
  try {
    for (;;) {
      const step = await attempt.next();
      if (step.done === true) {
        const outcome = decideFramedEnd(step.value, progress);
        if (outcome.kind === 'complete') watch.release();
        // A copy can be used once; a run that was lost kept one of its own, once it made events.
        if (hasRun(outcome)) progress.copy = hasMadeEvents ? watch.getCopy() : undefined;
        return outcome;
      }
      const { head, blocks } = step.value;
      hasMadeEvents = true;
      const fresh = selectNewBlocks(blocks, progress.lastEventId);
      if (fresh === 'gap') return { kind: 'lost', reason: 'events are missing', isTimeout: false };
      watch.update();
      if (fresh.length > 0) {
        if (!progress.hasEvents) yield { kind: 'head', head };
        recordEvents(progress, plan, head, fresh);
        yield { kind: 'events', bytes: mergeBlocks(fresh) };
      }
      if (isHandoverDue(dependencies, request, plan, progress, watch)) {
        progress.copy = watch.getCopy();
        return { kind: 'handedOver' };
      }
    }
  } finally {
    await attempt.return({ kind: 'callerLeft' });
  }
}

function recordEvents(
  progress: Progress,
  { target }: Plan,
  head: AnswerHead,
  fresh: readonly EventBlock[],
): void {
  progress.isFramed ??= !Checks.isCloseDelimited(head);
  progress.hasEvents = true;
  progress.models ??= target.models;
  progress.lastEventId = fresh.at(-1)?.id ?? progress.lastEventId;
}

/**
 * Failure: a service has moved to another version, the targets of the one before stop at once, and streams
 * there break off. So a stream leaves as soon as a copy of it is where it may stay, unless its next send
 * is one that the route or the retry budget no longer allows.
 */
function isHandoverDue(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { target }: Plan,
  { runs }: Progress,
  watch: RunCopies.CopyMonitor,
): boolean {
  if (!dependencies.rollouts.isLeaving(target) || runs + 1 >= request.route.maxTargets) {
    return false;
  }
  const copy = watch.getCopy();
  const holder = copy === undefined ? undefined : dependencies.directory.findCurrent(copy.keeper);
  if (holder?.state !== 'ready' || dependencies.rollouts.isLeaving(holder)) return false;
  return dependencies.getBudget(request.service).getBalance(dependencies.clock.getNowMs()) >= 1;
}

/**
 * Failure: a part without framing may end because its engine crashed, and the end of the caller's
 * answer would say that it is whole. So such a part does not end an answer that has framing.
 */
function decideFramedEnd(outcome: AttemptOutcome, progress: Progress): AttemptOutcome {
  const isDoubtful =
    outcome.kind === 'complete' &&
    progress.isFramed === true &&
    Checks.isCloseDelimited(outcome.head);
  return isDoubtful ? { kind: 'lost', reason: 'end without framing', isTimeout: false } : outcome;
}

/**
 * Failure: a target goes on too early or too late, and an event comes twice or is missing. Ids rise by
 * one, so events that were passed on are left out, and a hole is a loss.
 */
export function selectNewBlocks(
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
