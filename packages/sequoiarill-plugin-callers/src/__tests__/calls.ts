/** Plain HTTP calls of a caller. */
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

/** An answer whose bytes the test takes as it likes. */
export interface OpenAnswer {
  readonly status: number;
  readonly headers: Http.IncomingHttpHeaders;
  /** Reads until the text contains the given one; the whole answer without it. */
  readonly readUntil: (wanted?: string) => Promise<string>;
  /** Closes the connection as a caller does that goes away. */
  readonly leave: () => void;
}

function encodeBody(body: unknown): string | Buffer | undefined {
  if (body === undefined || typeof body === 'string' || Buffer.isBuffer(body)) return body;
  return JSON.stringify(body);
}

export async function openCall(url: string, options: CallOptions = {}): Promise<OpenAnswer> {
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
      const isEnough = wanted === undefined ? () => false : () => text.includes(wanted);
      response.setEncoding('utf8');
      while (!isEnough() && !response.readableEnded && !response.destroyed) {
        const chunk = response.read() as string | null;
        if (chunk !== null) text += chunk;
        else await setImmediate();
      }
      return text;
    },
    leave: () => request.destroy(),
  };
}

export async function callOnce(url: string, options: CallOptions = {}): Promise<Answer> {
  const answer = await openCall(url, options);
  const text = await answer.readUntil();
  return { status: answer.status, headers: answer.headers, text };
}

/** The error of an answer: status, code and parameter. */
export function getError(answer: Answer): readonly unknown[] {
  const { error } = JSON.parse(answer.text) as { error: Readonly<Record<string, unknown>> };
  return [answer.status, error.code, error.param];
}

export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await setImmediate();
}

/** Lets everything happen that waits for nothing but the event loop and local sockets. */
export async function waitForQuiet(getCount: () => number): Promise<void> {
  const TURNS = 300;
  let last = -1;
  let unchanged = 0;
  while (unchanged < TURNS) {
    await setImmediate();
    unchanged = getCount() === last ? unchanged + 1 : 0;
    last = getCount();
  }
}

/** The deltas of a Responses stream in one piece. */
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
