/**
 * Relays the events of one attempt, each exactly once, and monitors the copy of the run meanwhile.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { TargetBuild } from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import type { EventBlock } from './eventBlocks';
import type { AnswerHead, ForwardRequest } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { ForwardingDependencies } from '../dependencies';
import * as CopyMonitors from './copyMonitor';
import * as StreamAttempts from './streamAttempt';
import type { AttemptOutcome } from './streamAttempt';
import type { Plan, Progress } from './streamPlan';
import type { Takeover } from './takeover';
import * as StreamUrgency from './streamUrgency';

export type StreamPiece =
  /** `build`: that of the target whose events follow. */
  | { readonly kind: 'head'; readonly head: AnswerHead; readonly build: TargetBuild }
  | { readonly kind: 'events'; readonly bytes: Buffer };

/** Whether the target may have begun to run the request. */
export function hasRun(outcome: AttemptOutcome): boolean {
  const { kind } = outcome;
  return kind === 'lost' || kind === 'whole' || kind === 'outOfTime';
}

function createExtraHeaders(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
): readonly RawHeader[] {
  const names = dependencies.wire.headers;
  const headers: RawHeader[] = [
    ...StreamUrgency.createRankHeaders(dependencies, request, plan, progress),
  ];
  if (plan.backup !== undefined) headers.push([names.backupTarget, plan.backup.address]);
  if (plan.copy !== undefined) headers.push([names.continueFrom, plan.copy.location]);
  if (progress.lastEventId !== undefined) headers.push([names.lastEventId, progress.lastEventId]);
  return headers;
}

export async function* relayAttempt(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
  takeover: Takeover,
): AsyncGenerator<StreamPiece, AttemptOutcome, void> {
  const monitor = CopyMonitors.createCopyMonitor(dependencies, request, plan.target, plan.backup);
  const attempt = StreamAttempts.runStreamAttempt(dependencies, {
    request,
    target: plan.target,
    extraHeaders: createExtraHeaders(dependencies, request, plan, progress),
    isRepeat: plan.isRetry,
    isContinued: progress.lastEventId !== undefined,
    isBegun: progress.hasEvents,
    hasCopy: () => monitor.getCopy() !== undefined,
    prefillTokens: plan.copy === undefined ? request.promptTokens : 0,
    promptsAhead: plan.promptsAhead,
    takeover: {
      reserve: (run) => takeover.reserve({ ...run, target: plan.target, copy: findCopy() }),
      release: takeover.release,
    },
  });
  const isNew = !StreamUrgency.isBegun(request, progress);
  /**
   * Failure: an engine crashes while it prefills a prompt. Its copy begins with the first event, so
   * the holder has nothing to continue from and refuses. Each such send uses a retry that a stream
   * which has begun may need a moment later.
   */
  let hasProducedEvents = false;
  const findCopy = () => (hasProducedEvents ? monitor.getCopy() : undefined);
  try {
    for (;;) {
      const step = await attempt.next();
      if (step.done === true) {
        const outcome = decideFramedEnd(step.value, progress);
        if (outcome.kind === 'complete') monitor.release();
        // A copy can be used only once. A lost run has a copy of its own once it has produced
        // events.
        if (hasRun(outcome)) progress.copy = findCopy();
        return outcome;
      }
      const { head, blocks } = step.value;
      if (isNew && !hasProducedEvents) {
        StreamUrgency.recordServed(dependencies, request, progress.urgency);
      }
      hasProducedEvents = true;
      const newBlocks = selectNewBlocks(blocks, progress.lastEventId);
      if (newBlocks === 'gap') {
        return { kind: 'lost', reason: 'events are missing', isTimeout: false };
      }
      monitor.update();
      if (newBlocks.length > 0) {
        const build = Decisions.getBuild(plan.target);
        if (!progress.hasEvents) yield { kind: 'head', head, build };
        const source = { build, head, target: plan.target.id };
        recordEvents(dependencies, request, progress, source, newBlocks);
        yield { kind: 'events', bytes: mergeBlocks(newBlocks) };
      }
    }
  } finally {
    monitor.close();
    await attempt.return({ kind: 'callerLeft' });
  }
}

export interface EventSource {
  readonly build: TargetBuild;
  readonly head: AnswerHead;
  /** Undefined where the events came through another router. */
  readonly target?: string;
}

export function recordEvents(
  { origins, clock }: Pick<ForwardingDependencies, 'origins' | 'clock'>,
  request: ForwardRequest,
  progress: Progress,
  { build, head, target }: EventSource,
  newBlocks: readonly EventBlock[],
): void {
  if (!progress.hasEvents) origins.recordBegun(request, { ...build, target });
  request.calls?.recordEvents(newBlocks.length, clock.getNowMs());
  progress.isFramed ??= !Checks.isCloseDelimited(head);
  progress.hasEvents = true;
  progress.build ??= build;
  progress.lastEventId = newBlocks.at(-1)?.id ?? progress.lastEventId;
}

/**
 * Failure: a response without framing may end because its engine crashed, and ending the caller's
 * answer would mark it as complete. So such a response does not end an answer that has framing.
 */
export function decideFramedEnd<Outcome extends AttemptOutcome>(
  outcome: Outcome,
  progress: Progress,
): Outcome | Extract<AttemptOutcome, { kind: 'lost' }> {
  const isEndUncertain =
    outcome.kind === 'complete' &&
    progress.isFramed === true &&
    Checks.isCloseDelimited(outcome.head);
  return isEndUncertain
    ? { kind: 'lost', reason: 'response ended without framing', isTimeout: false }
    : outcome;
}

/**
 * Failure: a target continues too early or too late, and an event is duplicated or missing. Ids
 * increase by one, so events that were already relayed are dropped, and a gap is treated as a loss.
 */
export function selectNewBlocks(
  blocks: readonly EventBlock[],
  lastEventId: string | undefined,
): readonly EventBlock[] | 'gap' {
  let last = lastEventId === undefined ? undefined : Number(lastEventId);
  const newBlocks: EventBlock[] = [];
  for (const block of blocks) {
    const id = block.id === undefined ? undefined : Number(block.id);
    const isDuplicate = id !== undefined && last !== undefined && id <= last;
    if (!isDuplicate) {
      if (id !== undefined && last !== undefined && id > last + 1) return 'gap';
      newBlocks.push(block);
      last = id ?? last;
    }
  }
  return newBlocks;
}

export function mergeBlocks(blocks: readonly EventBlock[]): Buffer {
  const [first] = blocks;
  if (first !== undefined && blocks.length === 1) return first.bytes;
  return Buffer.concat(blocks.map(({ bytes }) => bytes));
}
