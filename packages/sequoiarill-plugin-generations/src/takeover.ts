/** Plans the takeover of a silent engine's work, so that nothing is given up before it can go on. */
import type { AttemptSilence } from './attempt';
import type { Attempt, GenerationDependencies, TargetQuery } from './generation';
import type { Progress } from './progress';

export interface Takeover {
  readonly openSilence: (attempt: Attempt, query: TargetQuery) => AttemptSilence;
  /** Returns and clears the engine that was found to go on, if the last attempt was given up for it. */
  readonly takeSuccessor: () => string | undefined;
}

/** Engines that one request may lose before it fails; each loss leads to another engine. */
export const MAX_LOSSES = 8;

export function createTakeover(
  progress: Progress,
  dependencies: Pick<GenerationDependencies, 'openSilence' | 'takeRetry' | 'onKept'>,
): Takeover {
  let successor: string | undefined;

  /** Whether the answer could go on elsewhere, apart from an engine that can take it. */
  function hasAttemptLeft(): boolean {
    const { answer } = progress;
    const isKnown = !answer.hasTokens() || answer.getContinuationIds() !== undefined;
    return isKnown && progress.getLosses() < MAX_LOSSES;
  }

  function openSilence(attempt: Attempt, query: TargetQuery): AttemptSilence {
    const silence = dependencies.openSilence(attempt, query);
    let found: string | undefined;
    let isReported = false;

    function reportKept(): false {
      if (!isReported) dependencies.onKept(attempt);
      isReported = true;
      return false;
    }

    /** With all tokens at hand only the finish reason is missing, which no engine has to send. */
    function hasAllTokens(): boolean {
      return progress.answer.getRemainingTokens() <= 0;
    }

    return {
      async canGiveUp() {
        if (hasAllTokens()) return true;
        if (!hasAttemptLeft()) return reportKept();
        found = (await silence.findSuccessor())?.name;
        return found !== undefined || reportKept();
      },
      takeOver() {
        if (hasAllTokens()) return true;
        if (!dependencies.takeRetry(query)) return reportKept();
        successor = found;
        return true;
      },
    };
  }

  return {
    openSilence,
    takeSuccessor() {
      const taken = successor;
      successor = undefined;
      return taken;
    },
  };
}
