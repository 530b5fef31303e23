/** HTTP calls to a router, as a caller makes them, and helpers to read their answers. */
import * as Http from 'node:http';
import { setImmediate } from 'node:timers/promises';

import * as Fakes from './fakes';

export interface CallOptions {
  readonly method?: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

export interface Answer {
  readonly status: number;
  readonly headers: Http.IncomingHttpHeaders;
  readonly text: string;
}

/** An answer whose body the test reads step by step. */
export interface StreamingAnswer {
  readonly status: number;
  readonly headers: Http.IncomingHttpHeaders;
  /** Reads until the text contains `expectedText`; to the end of the answer without it. */
  readonly readUntil: (expectedText?: string) => Promise<string>;
  /** Closes the connection, as a caller that disconnects. */
  readonly disconnect: () => void;
}

function encodeBody(body: unknown): string | Buffer | undefined {
  if (body === undefined || typeof body === 'string' || Buffer.isBuffer(body)) return body;
  return JSON.stringify(body);
}

export async function openCall(url: string, options: CallOptions = {}): Promise<StreamingAnswer> {
  const { key = Fakes.SHOP_KEY, headers = {}, body } = options;
  const method = options.method ?? (body === undefined ? 'GET' : 'POST');
  const request = Http.request(url, {
    method,
    headers: { authorization: `Bearer ${key}`, ...headers },
    agent: false,
  });
  request.end(encodeBody(body));
  const response = await new Promise<Http.IncomingMessage>((resolve, reject) => {
    request.on('response', resolve);
    request.on('error', reject);
  });
  response.on('error', () => undefined);
  let text = '';
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    async readUntil(wanted) {
      const hasExpectedText = wanted === undefined ? () => false : () => text.includes(wanted);
      response.setEncoding('utf8');
      while (!hasExpectedText() && !response.readableEnded && !response.destroyed) {
        const chunk = response.read() as string | null;
        if (chunk !== null) text += chunk;
        else await setImmediate();
      }
      return text;
    },
    disconnect: () => request.destroy(),
  };
}

export async function callOnce(url: string, options: CallOptions = {}): Promise<Answer> {
  const answer = await openCall(url, options);
  const text = await answer.readUntil();
  return { status: answer.status, headers: answer.headers, text };
}

/** Returns status, code and parameter of an error response. */
export function getError(answer: Answer): readonly unknown[] {
  const { error } = JSON.parse(answer.text) as { error: Readonly<Record<string, unknown>> };
  return [answer.status, error.code, error.param];
}

export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await setImmediate();
}

/**
 * Waits until the count no longer changes, so that all work that depends only on the event loop and
 * on local sockets is done.
 */
export async function waitForIdle(getCount: () => number): Promise<void> {
  const IDLE_TURNS = 300;
  let last = -1;
  let unchanged = 0;
  while (unchanged < IDLE_TURNS) {
    await setImmediate();
    unchanged = getCount() === last ? unchanged + 1 : 0;
    last = getCount();
  }
}

/** Returns the concatenated text deltas of a Responses stream. */
export function getDeltas(stream: string): string {
  return listEvents(stream)
    .filter((event) => event.type === 'response.output_text.delta')
    .map((event) => String(event.delta))
    .join('');
}

export function listEvents(stream: string): readonly Readonly<Record<string, unknown>>[] {
  return [...stream.matchAll(/^data: (\{.*\})$/gm)].map(
    (match) => JSON.parse(match[1] ?? '') as Readonly<Record<string, unknown>>,
  );
}

export const RESPONSE_BODY = { model: 'advisor', input: 'Which size?', stream: true } as const;
export const CHAT_BODY = {
  model: 'advisor',
  messages: [{ role: 'user', content: 'Which size?' }],
  stream: true,
} as const;
