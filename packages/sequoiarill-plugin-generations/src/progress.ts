/** State of one generation over all its attempts, and the outcomes derived from it. */
import type {
  FinishReason,
  GenerationCancelled,
  GenerationCompleted,
  GenerationLost,
  GenerationNotRun,
  GenerationRequest,
} from '@sequoiarill/types';

import * as Answers from './answer';
import type { Answer } from './answer';
import * as AttemptResults from './attemptResults';
import type { AttemptLost } from './attemptResults';

const DEFAULT_RETRY_AFTER_SECONDS = 2;

export interface Progress {
  readonly answer: Answer;
  /** Engines that failed or refused this request; not tried again. */
  readonly getExcluded: () => ReadonlySet<string>;
  /** Engines that were given up for their silence; tried again only if no other is left. */
  readonly getSuspected: () => ReadonlySet<string>;
  /** Starts the next generation and returns its number, which is also its fencing number. */
  readonly addGeneration: () => number;
  readonly getGeneration: () => number;
  readonly getLosses: () => number;
  /** Returns the number of engines lost so far. */
  readonly addLoss: (target: string, loss: AttemptLost, nowMs: number) => number;
  /** Returns the number of engines that refused so far. */
  readonly addRefusal: (target: string, retryAfterSeconds: number) => number;
  /** Whether an engine may have run part of the request; if so, it never ends as `notRun`. */
  readonly hasPossiblyRun: () => boolean;
  /** Returns and clears the time of the first loss since the last token, if there was one. */
  readonly takeLostAtMs: () => number | undefined;
  readonly setRetryAfter: (seconds: number) => void;
  readonly createCompleted: (finishReason: FinishReason) => GenerationCompleted;
  readonly createCancelled: () => GenerationCancelled;
  /** The outcome of a request that no further engine is tried for. */
  readonly createFailure: (
    reason: GenerationNotRun['reason'],
    message: string,
  ) => GenerationLost | GenerationNotRun;
}

export function createProgress(request: GenerationRequest): Progress {
  const answer = Answers.createAnswer(request.maxOutputTokens, request.stop);
  const excluded = new Set<string>();
  const suspected = new Set<string>();
  let generation = 0;
  let losses = 0;
  let refusals = 0;
  let mayHaveRun = false;
  let lostAtMs: number | undefined;
  let retryAfterSeconds = DEFAULT_RETRY_AFTER_SECONDS;

  return {
    answer,
    getExcluded: () => excluded,
    getSuspected: () => suspected,
    addGeneration() {
      generation += 1;
      return generation;
    },
    getGeneration: () => generation,
    getLosses: () => losses,
    addLoss(target, loss, nowMs) {
      if (AttemptResults.isSilenceLoss(loss)) suspected.add(target);
      else excluded.add(target);
      answer.removePending();
      losses += 1;
      mayHaveRun ||= loss.mayHaveRun;
      lostAtMs ??= nowMs;
      return losses;
    },
    addRefusal(target, seconds) {
      excluded.add(target);
      refusals += 1;
      retryAfterSeconds = seconds;
      return refusals;
    },
    hasPossiblyRun: () => mayHaveRun,
    takeLostAtMs() {
      const since = lostAtMs;
      lostAtMs = undefined;
      return since;
    },
    setRetryAfter(seconds) {
      retryAfterSeconds = seconds;
    },
    createCompleted: (finishReason) => ({
      kind: 'completed',
      finishReason,
      usage: answer.getUsage(),
    }),
    createCancelled: () => ({ kind: 'cancelled', usage: answer.getUsage() }),
    createFailure: (reason, message) =>
      mayHaveRun
        ? { kind: 'lost', message, usage: answer.getUsage(), retryAfterSeconds }
        : { kind: 'notRun', reason, message, retryAfterSeconds },
  };
}
