/** Reading and writing of JSON over HTTP. */
import type { IncomingMessage, ServerResponse } from 'node:http';

export type Headers = Readonly<Record<string, string>>;

/** One request with its whole body, and the response to it. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  readonly url: URL;
  readonly body: Buffer;
}

/**
 * Reads the whole body first: what a process has in its buffers when it is paused it still runs when
 * it wakes, also when the other side has gone by then.
 */
export async function readExchange(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Exchange> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  const url = new URL(request.url ?? '/', 'http://standin');
  return { request, response, method: request.method ?? 'GET', url, body: Buffer.concat(parts) };
}

/** The parsed body; `undefined` when it is no JSON. An empty body is an empty object. */
export function parseJson(body: Buffer): unknown {
  const text = body.toString('utf8');
  if (text.trim() === '') return {};
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Headers = {},
): void {
  if (response.destroyed || response.headersSent) return;
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...headers,
  });
  response.end(body);
}
