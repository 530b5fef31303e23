/** Parses the completion and chat completion chunks that engines stream. */
import type { FinishReason } from '@sequoiarill/types';

import type { EngineEvent } from './answer';

/** Data of the event that ends a stream. */
export const STREAM_END = '[DONE]';

interface EngineChoice {
  readonly text?: string;
  readonly delta?: { readonly content?: string | null };
  readonly token_ids?: readonly number[] | null;
  readonly prompt_token_ids?: readonly number[];
  readonly finish_reason?: string | null;
}

interface EngineChunk {
  readonly prompt_token_ids?: readonly number[];
  readonly choices?: readonly EngineChoice[];
  readonly usage?: { readonly prompt_tokens?: number } | null;
}

const NO_CHOICE: EngineChoice = {};

/**
 * Returns undefined if the data is not a JSON object. Reads only the fields that the relay needs: a
 * full schema validation of each token's event would cost more than relaying it.
 */
export function parseEngineEvent(data: string): EngineEvent | undefined {
  const chunk = parseJson(data);
  if (chunk === undefined) return undefined;
  const choice = chunk.choices?.[0] ?? NO_CHOICE;
  return {
    text: getText(choice),
    tokenIds: choice.token_ids ?? [],
    promptTokenIds: chunk.prompt_token_ids ?? choice.prompt_token_ids,
    finishReason: parseFinishReason(choice.finish_reason),
    promptTokens: chunk.usage?.prompt_tokens,
  };
}

function getText(choice: EngineChoice): string {
  return choice.text ?? choice.delta?.content ?? '';
}

function parseFinishReason(reason: string | null | undefined): FinishReason | undefined {
  return reason === 'stop' || reason === 'length' ? reason : undefined;
}

function parseJson(data: string): EngineChunk | undefined {
  try {
    const value: unknown = JSON.parse(data);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
