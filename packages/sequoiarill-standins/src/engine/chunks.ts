/**
 * Server-sent events of the published completion APIs.
 *
 * Chunks are concatenated from prepared text: with hundreds of streams, building an object for each
 * token and serialising it as JSON would take most of the CPU time.
 */
import type { ServerResponse } from 'node:http';

import type { FinishReason, GenerationStream, GenerationUsage } from './generation';

export type ChunkForm = 'chat' | 'completion';

export interface StreamOptions {
  readonly form: ChunkForm;
  readonly requestId: string;
  readonly model: string;
  /** Sent with the first chunk if the caller requested token ids. */
  readonly promptIds: readonly number[] | undefined;
  readonly includesUsage: boolean;
}

/** Unsent bytes of one response above which its generation is paused. */
const MAX_BUFFERED_BYTES = 65_536;
const MS_PER_SECOND = 1_000;

export function getCreatedSeconds(): number {
  return Math.floor(Date.now() / MS_PER_SECOND);
}

export function getObjectId(form: ChunkForm, requestId: string): string {
  return `${form === 'chat' ? 'chatcmpl' : 'cmpl'}-${requestId}`;
}

/** Builds the usage object of the published APIs. */
export function buildUsage(usage: GenerationUsage): unknown {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

export function createResponseStream(
  response: ServerResponse,
  options: StreamOptions,
): GenerationStream {
  const { form, promptIds } = options;
  const chunkFields = buildChunkFields(options);
  const includesTokenIds = promptIds !== undefined;
  let isFirst = true;

  function takePromptIds(): string {
    const isDue = isFirst && includesTokenIds;
    isFirst = false;
    return isDue ? `,"prompt_token_ids":${JSON.stringify(promptIds)}` : '';
  }

  function buildChoice(ids: readonly number[], text: string, finish: string): string {
    const tokenIds = includesTokenIds ? `,"token_ids":[${ids.join(',')}]` : '';
    const content = JSON.stringify(text);
    const body = form === 'chat' ? `"delta":{"content":${content}}` : `"text":${content}`;
    return `"index":0,${body},"logprobs":null${tokenIds},"finish_reason":${finish}`;
  }

  function sendRole(): void {
    const prompt = takePromptIds();
    const delta = '"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null';
    response.write(`data: {${chunkFields},"choices":[{${delta}}]${prompt}}\n\n`);
  }

  function sendTokens(ids: readonly number[], text: string, finish?: FinishReason): void {
    if (response.destroyed) return;
    if (isFirst && form === 'chat') sendRole();
    const prompt = takePromptIds();
    const choice = buildChoice(ids, text, finish === undefined ? 'null' : `"${finish}"`);
    response.write(`data: {${chunkFields},"choices":[{${choice}${prompt}}]${prompt}}\n\n`);
  }

  function sendEnd(finish: FinishReason, usage: GenerationUsage): void {
    if (options.includesUsage) {
      const body = JSON.stringify(buildUsage(usage));
      response.write(`data: {${chunkFields},"choices":[],"usage":${body}}\n\n`);
    }
    response.end('data: [DONE]\n\n');
  }

  return {
    isBlocked: () => response.writableLength > MAX_BUFFERED_BYTES,
    sendTokens,
    sendEnd,
    sendStopped: () => response.end(),
  };
}

function buildChunkFields(options: StreamOptions): string {
  const { form, model, requestId } = options;
  const object = form === 'chat' ? 'chat.completion.chunk' : 'text_completion';
  const id = getObjectId(form, requestId);
  const fields = JSON.stringify({ id, object, created: getCreatedSeconds(), model });
  return fields.slice(1, -1);
}
