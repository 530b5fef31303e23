/**
 * Runs one generation: chooses an engine, relays its tokens, and after a loss continues from the
 * confirmed tokens on another engine. Target choice, dispatch, pacing and loss handling are passed in,
 * so that the same generator runs in virtual time and over sockets.
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
import type { AttemptSilence } from './attempt';
import type { AttemptBusy, AttemptResult, AttemptLost } from './attemptResults';
import * as Progresses from './progress';
import type { Progress } from './progress';
import type { Silence } from './silence';
import * as Takeovers from './takeover';

/** The part of a request that one engine is to run. */
export interface Attempt {
  readonly request: GenerationRequest;
  readonly model: Model;
  readonly target: EngineTarget;
  /** Increases by one with each engine tried; also the fencing number. */
  readonly generation: number;
  /** Prompt and confirmed output ids; absent if the attempt starts from the messages. */
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
  /** Engines that are chosen only if no other is left. */
  readonly suspected: ReadonlySet<string>;
  readonly purpose: 'first' | 'continuation';
  /** Whether the choice may go unused, so that nothing is recorded of it. */
  readonly isTentative?: boolean;
  /** The only engine that may be chosen, if set. */
  readonly only?: string;
}

export interface GenerationDependencies {
  readonly chooseTarget: (query: TargetQuery) => TargetDecision;
  readonly runAttempt: (
    attempt: Attempt,
    openSilence: () => AttemptSilence,
  ) => AsyncGenerator<readonly EngineEvent[], AttemptResult, void>;
  /** Cancels the attempt on its engine; best effort, never awaited. */
  readonly cancelAttempt: (attempt: Attempt) => void;
  /** Whether another engine may be tried; false when the retry budget is exhausted. */
  readonly takeRetry: (query: TargetQuery) => boolean;
  /** Starts to look for an engine that can go on for a silent one. */
  readonly openSilence: (attempt: Attempt, query: TargetQuery) => Silence;
  /** Paces the continuations of streams that were lost at the same time. */
  readonly waitForStart: (attempt: Attempt) => Promise<void>;
  readonly journal: Journal;
  readonly onLost: (attempt: Attempt, loss: AttemptLost) => void;
  /** Called once in a silence whose engine is kept because no other can go on. */
  readonly onKept: (attempt: Attempt) => void;
  readonly onBusy: (attempt: Attempt, busy: AttemptBusy) => void;
  readonly onResumed: (attempt: Attempt, resumeMs: number) => void;
  readonly getNowMs: () => number;
}

/** Engines that may refuse one request for lack of capacity before it fails. */
const MAX_REFUSALS = 3;

export async function* runGeneration(
  request: GenerationRequest,
  model: Model,
  dependencies: GenerationDependencies,
): AsyncGenerator<TokenBatch, GenerationOutcome, void> {
  const progress = Progresses.createProgress(request);
  const takeover = Takeovers.createTakeover(progress, dependencies);
  for (;;) {
    const query = createQuery(request, model, progress, takeover.takeSuccessor());
    const { purpose } = query;
    const isPaid = progress.getGeneration() === 0 || query.only !== undefined;
    const mayTry = isPaid || dependencies.takeRetry(query);
    if (request.signal.aborted) return progress.createCancelled();
    if (!mayTry) return progress.createFailure('overloaded', 'too many engines failed at once');
    const decision = dependencies.chooseTarget(query);
    if (decision.kind === 'none') {
      progress.setRetryAfter(decision.retryAfterSeconds);
      return progress.createFailure('noTarget', decision.reason);
    }
    const attempt = createAttempt(query, decision.target, progress);
    if (purpose === 'continuation') await dependencies.waitForStart(attempt);
    recordDispatch(attempt, decision.reason, dependencies);
    const result = yield* relayAttempt(attempt, progress, dependencies, takeover);
    const outcome = decideOutcome(result, attempt, progress, dependencies);
    if (outcome !== undefined) return outcome;
  }
}

function createQuery(
  request: GenerationRequest,
  model: Model,
  progress: Progress,
  only?: string,
): TargetQuery {
  const purpose = progress.answer.hasTokens() ? 'continuation' : 'first';
  const query = {
    request,
    model,
    excluded: progress.getExcluded(),
    suspected: progress.getSuspected(),
    purpose,
  } as const;
  return only === undefined ? query : { ...query, only };
}

function createAttempt(query: TargetQuery, target: EngineTarget, progress: Progress): Attempt {
  const { request, model, purpose } = query;
  const tokenIds = purpose === 'continuation' ? progress.answer.getContinuationIds() : undefined;
  return {
    request,
    model,
    target,
    generation: progress.addGeneration(),
    maxTokens: progress.answer.getRemainingTokens(),
    ...(tokenIds && { tokenIds }),
  };
}

function recordDispatch(
  attempt: Attempt,
  reason: string,
  dependencies: GenerationDependencies,
): void {
  dependencies.journal.recordDecision(attempt.request.requestId, 'dispatched', reason, {
    target: attempt.target.name,
    generation: attempt.generation,
    tokensGiven: attempt.tokenIds?.length ?? 0,
    tokensWanted: attempt.maxTokens,
  });
}

/** Yields confirmed tokens; ends with the attempt or as soon as the answer is complete. */
async function* relayAttempt(
  attempt: Attempt,
  progress: Progress,
  dependencies: GenerationDependencies,
  takeover: Takeovers.Takeover,
): AsyncGenerator<TokenBatch, AttemptResult, void> {
  const events = dependencies.runAttempt(attempt, () =>
    takeover.openSilence(attempt, createQuery(attempt.request, attempt.model, progress)),
  );
  let isRunning = true;
  try {
    for (;;) {
      const next = await events.next();
      isRunning = next.done !== true;
      if (next.done) return yield* relayResult(next.value, attempt, progress);
      const step = progress.answer.addEvents(next.value);
      if (step.tokenCount > 0) reportResume(attempt, progress, dependencies);
      if (hasContent(step)) yield createBatch(step, attempt);
      if (step.finishReason !== undefined) return createFinished(step.finishReason);
    }
  } finally {
    // The engine still generates: a stop sequence ended the answer, or its reader has left.
    if (isRunning) dependencies.cancelAttempt(attempt);
    await events.return({ kind: 'cancelled' });
  }
}

async function* relayResult(
  result: AttemptResult,
  attempt: Attempt,
  progress: Progress,
): AsyncGenerator<TokenBatch, AttemptResult, void> {
  // All tokens up to the output limit have arrived; only the finish reason was lost.
  const isAtLimit = result.kind === 'lost' && progress.answer.getRemainingTokens() <= 0;
  if (result.kind !== 'finished' && !isAtLimit) return result;
  const step = progress.answer.closeAnswer(
    result.kind === 'finished' ? result.finishReason : 'length',
  );
  if (hasContent(step)) yield createBatch(step, attempt);
  return createFinished(step.finishReason ?? 'length');
}

function reportResume(
  attempt: Attempt,
  progress: Progress,
  dependencies: GenerationDependencies,
): void {
  const lostAtMs = progress.takeLostAtMs();
  if (lostAtMs !== undefined) dependencies.onResumed(attempt, dependencies.getNowMs() - lostAtMs);
}

/** Returns undefined if another engine is to be tried. */
function decideOutcome(
  result: AttemptResult,
  attempt: Attempt,
  progress: Progress,
  dependencies: GenerationDependencies,
): GenerationOutcome | undefined {
  switch (result.kind) {
    case 'finished':
      return progress.createCompleted(result.finishReason);
    case 'cancelled':
      dependencies.cancelAttempt(attempt);
      return progress.createCancelled();
    case 'busy':
      return handleBusy(result, attempt, progress, dependencies);
    case 'lost':
      return handleLoss(result, attempt, progress, dependencies);
    case 'rejected':
      // A continuation may be refused through no fault of the caller, who already has a part.
      return progress.hasPossiblyRun()
        ? progress.createFailure('noTarget', result.message)
        : result;
    default:
      throw new Error('an attempt ended in no known way');
  }
}

function handleBusy(
  result: AttemptBusy,
  attempt: Attempt,
  progress: Progress,
  dependencies: GenerationDependencies,
): GenerationOutcome | undefined {
  const refusals = progress.addRefusal(attempt.target.name, result.retryAfterSeconds);
  dependencies.onBusy(attempt, result);
  if (refusals <= MAX_REFUSALS) return undefined;
  return progress.createFailure('overloaded', 'every engine asked is full');
}

function handleLoss(
  loss: AttemptLost,
  attempt: Attempt,
  progress: Progress,
  dependencies: GenerationDependencies,
): GenerationOutcome | undefined {
  const losses = progress.addLoss(attempt.target.name, loss, dependencies.getNowMs());
  dependencies.onLost(attempt, loss);
  dependencies.journal.recordDecision(attempt.request.requestId, 'generationLost', loss.message, {
    target: attempt.target.name,
    cause: loss.cause,
    tokensCertain: progress.answer.getUsage().completionTokens,
  });
  if (losses > Takeovers.MAX_LOSSES) {
    return progress.createFailure('noTarget', 'one engine after another was lost');
  }
  if (progress.answer.hasTokens() && progress.answer.getContinuationIds() === undefined) {
    const message = 'the engine told no token ids, so that no other can go on';
    return progress.createFailure('noTarget', message);
  }
  return undefined;
}

function createFinished(finishReason: FinishReason): AttemptResult {
  return { kind: 'finished', finishReason };
}

function hasContent(step: AnswerStep): boolean {
  return step.text !== '' || step.tokenCount > 0;
}

function createBatch(step: AnswerStep, attempt: Attempt): TokenBatch {
  return { text: step.text, tokenCount: step.tokenCount, generation: attempt.generation };
}
