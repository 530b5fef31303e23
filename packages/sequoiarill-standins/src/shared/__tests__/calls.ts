/** HTTP client helpers for the tests of the stand-ins. */
import * as Undici from 'undici';

export interface ChunkChoice {
  readonly text?: string;
  readonly delta?: { readonly content?: string };
  readonly token_ids?: readonly number[];
  readonly finish_reason: string | null;
}

export interface Chunk {
  readonly choices: readonly ChunkChoice[];
  readonly prompt_token_ids?: readonly number[];
  readonly usage?: {
    readonly completion_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number };
  };
}

/** What was received of a stream until it ended or its connection broke. */
export interface StreamResult {
  readonly ids: readonly number[];
  readonly text: string;
  readonly promptIds: readonly number[];
  readonly finishReason: string | null;
  readonly usage: Chunk['usage'];
  readonly isDone: boolean;
  readonly isBroken: boolean;
}

export type StreamResponse = Undici.Dispatcher.ResponseData;

const POLL_MS = 2;

export async function sendJson(
  url: string,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<StreamResponse> {
  return Undici.request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
  });
}

export async function readGet(
  url: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<StreamResponse> {
  return Undici.request(url, { headers });
}

export async function readJson<Value>(response: StreamResponse): Promise<Value> {
  return (await response.body.json()) as Value;
}

/** Yields the `data` of each event; throws if the connection breaks. */
export async function* readEvents(response: StreamResponse): AsyncGenerator<string, void, void> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of response.body) {
    const events = (rest + decoder.decode(chunk as Buffer, { stream: true })).split('\n\n');
    rest = events.pop() ?? '';
    for (const event of events) yield event.replace(/^data: /, '');
  }
}

/** Reads until the stream ends, its connection breaks or `maxTokens` tokens have arrived. */
export async function readStream(
  response: StreamResponse,
  maxTokens = Infinity,
): Promise<StreamResult> {
  const chunks: Chunk[] = [];
  let isDone = false;
  let isBroken = false;
  try {
    for await (const event of readEvents(response)) {
      if (event === '[DONE]') isDone = true;
      else chunks.push(JSON.parse(event) as Chunk);
      if (listTokenIds(chunks).length >= maxTokens) break;
    }
  } catch {
    isBroken = true;
  }
  return { ...buildStreamResult(chunks), isDone, isBroken };
}

function listTokenIds(chunks: readonly Chunk[]): readonly number[] {
  return chunks.flatMap((chunk) => chunk.choices[0]?.token_ids ?? []);
}

function buildStreamResult(chunks: readonly Chunk[]): Omit<StreamResult, 'isDone' | 'isBroken'> {
  const choices = chunks.flatMap((chunk) => chunk.choices);
  const texts = choices.map((choice) => choice.text ?? choice.delta?.content ?? '');
  const finished = choices.find((choice) => choice.finish_reason !== null);
  return {
    ids: listTokenIds(chunks),
    text: texts.join(''),
    promptIds: chunks[0]?.prompt_token_ids ?? [],
    finishReason: finished?.finish_reason ?? null,
    usage: chunks.find((chunk) => chunk.usage !== undefined)?.usage,
  };
}

/** Polls until the condition holds; only the time limit of the test runner bounds it. */
export async function waitUntil(isMet: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await isMet())) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
