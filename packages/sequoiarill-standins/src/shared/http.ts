/** Reads and writes JSON over HTTP. */
import type { IncomingMessage, ServerResponse } from 'node:http';

export type Headers = Readonly<Record<string, string>>;

/** One request with its complete body, and the response to it. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  readonly url: URL;
  readonly body: Buffer;
}

/**
 * Reads the complete body first, as a real process does: requests that were buffered when it was
 * paused are run after it resumes, even if their client has disconnected by then.
 */
export async function readExchange(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Exchange> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const url = new URL(request.url ?? '/', 'http://standin');
  return { request, response, method: request.method ?? 'GET', url, body: Buffer.concat(chunks) };
}

/**
 * Returns the parsed body, or `undefined` if it is not JSON. An empty body counts as an empty
 * object.
 */
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
