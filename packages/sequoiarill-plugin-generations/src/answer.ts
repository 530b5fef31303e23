/**
 * Confirmed tokens and text of one answer, independent of the engines that produced them.
 *
 * A continuation is requested by token ids, because tokenising the text again may yield other ids.
 * Ids whose text is incomplete (a token may end inside a UTF-8 character) stay pending. A
 * continuation contains only confirmed ids, so the next engine generates the pending ones again and
 * its text begins at a character boundary. No text of a pending id was yielded, so none is repeated.
 */
import type { FinishReason, Usage } from '@sequoiarill/types';

import * as StopSequences from './stopSequences';

const REPLACEMENT_CHARACTER = '\uFFFD';
const EMPTY_STEP: AnswerStep = { text: '', tokenCount: 0 };

/** One event of an engine's stream. */
export interface EngineEvent {
  readonly text: string;
  readonly tokenIds: readonly number[];
  /** Present on the first event if the prompt was sent as text. */
  readonly promptTokenIds?: readonly number[] | undefined;
  readonly finishReason?: FinishReason | undefined;
  /** Number of prompt tokens reported by the engine; present on its usage event. */
  readonly promptTokens?: number | undefined;
}

export interface AnswerStep {
  readonly text: string;
  readonly tokenCount: number;
  /** Set when the answer is complete: by a stop sequence, or as the engine reported. */
  readonly finishReason?: FinishReason;
}

export interface Answer {
  readonly addEvents: (events: readonly EngineEvent[]) => AnswerStep;
  /** Ends the answer and returns the remaining text, up to a stop sequence if it contains one. */
  readonly closeAnswer: (finishReason: FinishReason) => AnswerStep;
  /** Discards the pending ids of an engine that was lost. */
  readonly removePending: () => void;
  /** Prompt ids and confirmed output ids; undefined until an engine has reported the prompt ids. */
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
    // Engines send an incomplete character as empty text or as the replacement character.
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
    return { text: scan.released + scanner.takeHeldText(), tokenCount, finishReason };
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
