/** Reads complete answers as a caller does. */
import * as Demo from '@sequoiarill/demo';
import * as Undici from 'undici';

import * as EventStreams from './eventStream';

export interface ReadOptions {
  readonly url: string;
  readonly apiKey: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop?: readonly string[];
  /** Called with each piece of text as it arrives. */
  readonly onText?: (text: string, count: number, requestId: string) => void;
  readonly dispatcher?: Undici.Dispatcher;
}

export interface ReadAnswer {
  readonly status: number;
  readonly text: string;
  /** Number of events that carried text. */
  readonly pieces: number;
  readonly finishReason: string | undefined;
  readonly completionTokens: number | undefined;
  readonly promptTokens: number | undefined;
  readonly requestId: string | undefined;
  readonly error: string | undefined;
  readonly retryAfter: string | undefined;
}

const HTTP_OK = 200;

interface Chunk {
  readonly id?: string;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: { readonly completion_tokens: number; readonly prompt_tokens: number } | null;
  readonly error?: { readonly message: string };
}

const EMPTY_ANSWER: ReadAnswer = {
  status: 0,
  text: '',
  pieces: 0,
  finishReason: undefined,
  completionTokens: undefined,
  promptTokens: undefined,
  requestId: undefined,
  error: undefined,
  retryAfter: undefined,
};

async function sendRequest(options: ReadOptions): Promise<Undici.Dispatcher.ResponseData> {
  return Undici.request(`${options.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${options.apiKey}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: Demo.MODEL,
      messages: [{ role: 'user', content: options.prompt }],
      max_tokens: options.maxTokens,
      stream: true,
      stream_options: { include_usage: true },
      ...(options.stop && { stop: options.stop }),
    }),
    ...(options.dispatcher && { dispatcher: options.dispatcher }),
  });
}

/** Streams one chat completion to its end. */
export async function readAnswer(options: ReadOptions): Promise<ReadAnswer> {
  const response = await sendRequest(options);
  const retryAfter = response.headers['retry-after'] as string | undefined;
  let answer: ReadAnswer = { ...EMPTY_ANSWER, status: response.statusCode, retryAfter };
  if (response.statusCode !== HTTP_OK) {
    const body = (await response.body.json()) as Chunk;
    return { ...answer, error: body.error?.message };
  }
  for await (const chunk of EventStreams.readEventStream<Chunk>(response.body)) {
    const previous = answer;
    answer = mergeChunk(previous, chunk);
    if (answer.pieces > previous.pieces) {
      const text = answer.text.slice(previous.text.length);
      options.onText?.(text, answer.pieces, answer.requestId ?? '');
    }
  }
  return answer;
}

function mergeChunk(answer: ReadAnswer, chunk: Chunk): ReadAnswer {
  const text = chunk.choices?.[0]?.delta?.content ?? '';
  return {
    ...answer,
    requestId: answer.requestId ?? chunk.id,
    text: answer.text + text,
    pieces: answer.pieces + (text === '' ? 0 : 1),
    finishReason: chunk.choices?.[0]?.finish_reason ?? answer.finishReason,
    error: chunk.error?.message ?? answer.error,
    ...getUsage(chunk),
  };
}

function getUsage(chunk: Chunk): Pick<ReadAnswer, 'completionTokens' | 'promptTokens'> | object {
  if (!chunk.usage) return {};
  const { completion_tokens: completionTokens, prompt_tokens: promptTokens } = chunk.usage;
  return { completionTokens, promptTokens };
}
