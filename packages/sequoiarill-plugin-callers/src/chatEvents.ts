/** Formats chat completions as published: as one object or as chunks of a stream. */
import type { FinishReason, Usage } from '@sequoiarill/types';

export interface ChatIdentity {
  readonly id: string;
  /** Seconds since 1970. */
  readonly created: number;
  readonly model: string;
}

export interface ChatChunks {
  /** The first chunk, which carries the role. */
  readonly opening: string;
  readonly formatDelta: (text: string) => string;
  readonly formatEnd: (finishReason: FinishReason, usage: Usage) => string;
}

/** Ends every complete stream; its absence tells the caller that the answer is truncated. */
const DONE = 'data: [DONE]\n\n';

function buildUsage(usage: Usage): Readonly<Record<string, number>> {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}

export function formatCompletion(
  identity: ChatIdentity,
  text: string,
  finishReason: FinishReason,
  usage: Usage,
): string {
  const message = { role: 'assistant', content: text, refusal: null, annotations: [] };
  return JSON.stringify({
    id: identity.id,
    object: 'chat.completion',
    created: identity.created,
    model: identity.model,
    choices: [{ index: 0, message, logprobs: null, finish_reason: finishReason }],
    usage: buildUsage(usage),
  });
}

/** Formats the chunks of one stream; fields common to all chunks are encoded only once. */
export function createChatChunks(identity: ChatIdentity, includeUsage: boolean): ChatChunks {
  const shared = JSON.stringify({
    id: identity.id,
    object: 'chat.completion.chunk',
    created: identity.created,
    model: identity.model,
  }).slice(0, -1);
  const noUsage = includeUsage ? ',"usage":null' : '';
  const start = `data: ${shared},"choices":[{"index":0,"delta":`;
  const deltaStart = `${start}{"content":`;
  const deltaEnd = `},"logprobs":null,"finish_reason":null}]${noUsage}}\n\n`;
  return {
    opening: `${start}{"role":"assistant","content":"","refusal":null${deltaEnd}`,
    formatDelta: (text) => deltaStart + JSON.stringify(text) + deltaEnd,
    formatEnd(finishReason, usage) {
      const reason = JSON.stringify(finishReason);
      const end = `${start}{},"logprobs":null,"finish_reason":${reason}}]${noUsage}}\n\n`;
      const usageJson = JSON.stringify(buildUsage(usage));
      const usageChunk = `data: ${shared},"choices":[],"usage":${usageJson}}\n\n`;
      return includeUsage ? end + usageChunk + DONE : end + DONE;
    },
  };
}
