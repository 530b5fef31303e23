/**
 * What is certain of one answer, independent of the engine that produced it. Pure.
 *
 * A continuation is asked for by token ids, since text that is tokenised again need not give the
 * same ids. Ids whose text is not out yet (a token may end inside a UTF-8 character) stay pending:
 * a continuation gives only the certain ids, so that the next engine makes the pending ones again
 * and its text begins on a character's boundary. None of their text was yielded, so nothing is
 * repeated.
 */
import type { FinishReason, Usage } from '@sequoiarill/types';

import * as StopSequences from './stopSequences';

const REPLACEMENT_CHARACTER = '\uFFFD';
const EMPTY_STEP: AnswerStep = { text: '', tokenCount: 0 };

/** One event of an engine's stream. */
export interface EngineEvent {
  readonly text: string;
  readonly tokenIds: readonly number[];
  /** On the first event of a prompt that was given as text. */
  readonly promptTokenIds?: readonly number[] | undefined;
  readonly finishReason?: FinishReason | undefined;
  /** Prompt tokens as the engine counted them, on its usage event. */
  readonly promptTokens?: number | undefined;
}

export interface AnswerStep {
  readonly text: string;
  readonly tokenCount: number;
  /** Set when the whole answer is complete by its own rules: stop sequence or output limit. */
  readonly finishReason?: FinishReason;
}

export interface Answer {
  readonly addEvents: (events: readonly EngineEvent[]) => AnswerStep;
  /** Ends the answer as the engine said; the step holds the last text. */
  readonly closeAnswer: (finishReason: FinishReason) => AnswerStep;
  /** Forgets pending ids, as their engine is gone. */
  readonly removePending: () => void;
  /** Prompt ids and certain output ids; undefined while no engine told the prompt's ids. */
  readonly getContinuationIds: () => readonly number[] | undefined;
  readonly getRemainingTokens: () => number;
  readonly getUsage: () => Usage;
  readonly hasTokens: () => boolean;
}

export function createAnswer(maxOutputTokens: number, stops: readonly string[]): Answer {
  const scanner = StopSequences.createStopScanner(stops);
  const confirmedIds: number[] = [];
  let pendingIds: number[] = [];
  let pendingText = '';
  let promptIds: readonly number[] | undefined;
  let promptTokens = 0;

  function takePending(): number {
    const tokenCount = pendingIds.length;
    confirmedIds.push(...pendingIds);
    pendingIds = [];
    pendingText = '';
    return tokenCount;
  }

  function addEvent(event: EngineEvent): AnswerStep {
    if (event.promptTokenIds !== undefined && promptIds === undefined) {
      promptIds = event.promptTokenIds;
      promptTokens = promptIds.length;
    }
    if (promptIds === undefined && event.promptTokens !== undefined) {
      promptTokens = event.promptTokens;
    }
    pendingIds.push(...event.tokenIds);
    pendingText += event.text;
    // Incomplete characters come as no text or as the replacement character: not certain yet.
    if (event.text === '' || event.text.endsWith(REPLACEMENT_CHARACTER)) return EMPTY_STEP;
    const text = pendingText;
    const tokenCount = takePending();
    const scan = scanner.addText(text);
    return scan.stopped
      ? { text: scan.released, tokenCount, finishReason: 'stop' }
      : { text: scan.released, tokenCount };
  }

  function addEvents(events: readonly EngineEvent[]): AnswerStep {
    let text = '';
    let tokenCount = 0;
    for (const event of events) {
      const step = addEvent(event);
      text += step.text;
      tokenCount += step.tokenCount;
      if (step.finishReason !== undefined) {
        return { text, tokenCount, finishReason: step.finishReason };
      }
    }
    return { text, tokenCount };
  }

  function closeAnswer(finishReason: FinishReason): AnswerStep {
    const scan = scanner.addText(pendingText);
    const tokenCount = takePending();
    if (scan.stopped) return { text: scan.released, tokenCount, finishReason: 'stop' };
    return { text: scan.released + scanner.takeHeld(), tokenCount, finishReason };
  }

  return {
    addEvents,
    closeAnswer,
    removePending() {
      pendingIds = [];
      pendingText = '';
    },
    getContinuationIds: () =>
      promptIds === undefined ? undefined : [...promptIds, ...confirmedIds],
    getRemainingTokens: () => maxOutputTokens - confirmedIds.length,
    getUsage: () => ({ promptTokens, completionTokens: confirmedIds.length }),
    hasTokens: () => confirmedIds.length > 0,
  };
}
