/**
 * The whole life of one answer, straight down: choose an engine, relay its tokens, and after a
 * loss choose again with what is certain. What a loss means, where to go next and how long to wait
 * are functions passed in, so that the same generator runs in virtual time and over sockets.
 */
import type {
  EngineTarget,
  FinishReason,
  GenerationOutcome,
  GenerationRequest,
  Journal,
  Model,
  TokenBatch,
} from '@sequoiarill/types';

import type { AnswerStep, EngineEvent } from './answer';
import type { AttemptBusy, AttemptEnd, AttemptLost } from './attemptEnds';
import * as Progresses from './progress';
import type { Progress } from './progress';

/** What is asked of one engine. */
export interface AttemptOrder {
  readonly request: GenerationRequest;
  readonly model: Model;
  readonly target: EngineTarget;
  /** Rises by one with each engine tried; also the fencing number. */
  readonly generation: number;
  /** Prompt and certain output ids; absent on a start from the messages. */
  readonly tokenIds?: readonly number[];
  readonly maxTokens: number;
}

export type TargetDecision =
  | { readonly kind: 'target'; readonly target: EngineTarget; readonly reason: string }
  | { readonly kind: 'none'; readonly reason: string; readonly retryAfterSeconds: number };

export interface TargetQuery {
  readonly request: GenerationRequest;
  readonly model: Model;
  readonly excluded: ReadonlySet<string>;
  readonly purpose: 'first' | 'continuation';
}

export interface GenerationParts {
  readonly chooseTarget: (query: TargetQuery) => TargetDecision;
  readonly runAttempt: (
    order: AttemptOrder,
  ) => AsyncGenerator<readonly EngineEvent[], AttemptEnd, void>;
  /** Tells an engine that nobody wants the attempt any more; best effort, never awaited. */
  readonly cancelAttempt: (order: AttemptOrder) => void;
  /** Whether another engine may be asked; false when the retry budget is spent. */
  readonly takeRetry: (query: TargetQuery) => boolean;
  /** Waits for the place of a continuation among the others that were lost with it. */
  readonly waitForStart: (order: AttemptOrder) => Promise<void>;
  readonly journal: Journal;
  readonly onLost: (order: AttemptOrder, loss: AttemptLost) => void;
  readonly onBusy: (order: AttemptOrder, busy: AttemptBusy) => void;
  readonly onResumed: (order: AttemptOrder, resumeMs: number) => void;
  readonly getNowMs: () => number;
}

/** Engines that may be lost under one request; each loss goes to another engine. */
const MAX_LOSSES = 8;
/** Engines that may refuse one request for lack of room before its caller is told. */
const MAX_REFUSALS = 3;

export async function* runGeneration(
  request: GenerationRequest,
  model: Model,
  parts: GenerationParts,
): AsyncGenerator<TokenBatch, GenerationOutcome, void> {
  const progress = Progresses.createProgress(request);
  for (;;) {
    const purpose = progress.answer.hasTokens() ? 'continuation' : 'first';
    const query: TargetQuery = { request, model, excluded: progress.getExcluded(), purpose };
    const mayTry = progress.getGeneration() === 0 || parts.takeRetry(query);
    if (request.signal.aborted) return progress.createCancelled();
    if (!mayTry) return progress.createGivenUp('overloaded', 'too many engines failed at once');
    const decision = parts.chooseTarget(query);
    if (decision.kind === 'none') {
      progress.setRetryAfter(decision.retryAfterSeconds);
      return progress.createGivenUp('noTarget', decision.reason);
    }
    const order = createOrder(query, decision.target, progress);
    if (purpose === 'continuation') await parts.waitForStart(order);
    recordDispatch(order, decision.reason, parts);
    const end = yield* relayAttempt(order, progress, parts);
    const outcome = decideOutcome(end, order, progress, parts);
    if (outcome !== undefined) return outcome;
  }
}

function createOrder(query: TargetQuery, target: EngineTarget, progress: Progress): AttemptOrder {
  const { request, model, purpose } = query;
  const tokenIds = purpose === 'continuation' ? progress.answer.getContinuation() : undefined;
  return {
    request,
    model,
    target,
    generation: progress.addGeneration(),
    maxTokens: progress.answer.getRemainingTokens(),
    ...(tokenIds && { tokenIds }),
  };
}

function recordDispatch(order: AttemptOrder, reason: string, parts: GenerationParts): void {
  parts.journal.recordDecision(order.request.requestId, 'dispatched', reason, {
    target: order.target.name,
    generation: order.generation,
    tokensGiven: order.tokenIds?.length ?? 0,
    tokensWanted: order.maxTokens,
  });
}

/** Yields what becomes certain; ends when the attempt does or the answer is complete. */
async function* relayAttempt(
  order: AttemptOrder,
  progress: Progress,
  parts: GenerationParts,
): AsyncGenerator<TokenBatch, AttemptEnd, void> {
  const attempt = parts.runAttempt(order);
  let isWanted = true;
  try {
    for (;;) {
      const next = await attempt.next();
      isWanted = next.done !== true;
      if (next.done) return yield* relayEnd(next.value, order, progress);
      const step = progress.answer.addEvents(next.value);
      if (step.tokenCount > 0) reportResume(order, progress, parts);
      if (hasContent(step)) yield createBatch(step, order);
      if (step.finishReason !== undefined) return createFinished(step.finishReason);
    }
  } finally {
    // Left while the engine still generates: a stop sequence ended the answer, or nobody reads it.
    if (isWanted) parts.cancelAttempt(order);
    await attempt.return({ kind: 'cancelled' });
  }
}

async function* relayEnd(
  end: AttemptEnd,
  order: AttemptOrder,
  progress: Progress,
): AsyncGenerator<TokenBatch, AttemptEnd, void> {
  // The last token had arrived; only the word that it was the last is lost with the engine.
  const isAtLimit = end.kind === 'lost' && progress.answer.getRemainingTokens() <= 0;
  if (end.kind !== 'finished' && !isAtLimit) return end;
  const step = progress.answer.finish(end.kind === 'finished' ? end.finishReason : 'length');
  if (hasContent(step)) yield createBatch(step, order);
  return createFinished(step.finishReason ?? 'length');
}

function reportResume(order: AttemptOrder, progress: Progress, parts: GenerationParts): void {
  const lostAtMs = progress.takeLostAtMs();
  if (lostAtMs !== undefined) parts.onResumed(order, parts.getNowMs() - lostAtMs);
}

/** Undefined: another engine is to be tried. */
function decideOutcome(
  end: AttemptEnd,
  order: AttemptOrder,
  progress: Progress,
  parts: GenerationParts,
): GenerationOutcome | undefined {
  switch (end.kind) {
    case 'finished':
      return progress.createCompleted(end.finishReason);
    case 'cancelled':
      parts.cancelAttempt(order);
      return progress.createCancelled();
    case 'busy':
      return handleBusy(end, order, progress, parts);
    case 'lost':
      return handleLoss(end, order, progress, parts);
    case 'rejected':
      // A refused continuation is no fault of the caller, who has part of the answer already.
      return progress.hasMaybeRun() ? progress.createGivenUp('noTarget', end.message) : end;
    default:
      throw new Error('an attempt ended in no known way');
  }
}

function handleBusy(
  end: AttemptBusy,
  order: AttemptOrder,
  progress: Progress,
  parts: GenerationParts,
): GenerationOutcome | undefined {
  const refusals = progress.addRefusal(order.target.name, end.retryAfterSeconds);
  parts.onBusy(order, end);
  if (refusals <= MAX_REFUSALS) return undefined;
  return progress.createGivenUp('overloaded', 'every engine asked is full');
}

function handleLoss(
  loss: AttemptLost,
  order: AttemptOrder,
  progress: Progress,
  parts: GenerationParts,
): GenerationOutcome | undefined {
  const losses = progress.addLoss(order.target.name, loss, parts.getNowMs());
  parts.onLost(order, loss);
  parts.journal.recordDecision(order.request.requestId, 'generationLost', loss.message, {
    target: order.target.name,
    cause: loss.cause,
    tokensCertain: progress.answer.getUsage().completionTokens,
  });
  if (losses > MAX_LOSSES) {
    return progress.createGivenUp('noTarget', 'one engine after another was lost');
  }
  if (progress.answer.hasTokens() && progress.answer.getContinuation() === undefined) {
    const message = 'the engine told no token ids, so that no other can go on';
    return progress.createGivenUp('noTarget', message);
  }
  return undefined;
}

function createFinished(finishReason: FinishReason): AttemptEnd {
  return { kind: 'finished', finishReason };
}

function hasContent(step: AnswerStep): boolean {
  return step.text !== '' || step.tokenCount > 0;
}

function createBatch(step: AnswerStep, order: AttemptOrder): TokenBatch {
  return { text: step.text, tokenCount: step.tokenCount, generation: order.generation };
}
