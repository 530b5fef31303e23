/** Sends bodies and reads answers slowly. */
import * as Http from 'node:http';
import { Readable } from 'node:stream';
import * as Streams from 'node:stream/promises';

/** Bodies this long are sent in many segments and fill buffers on the way. */
const BULKY_BYTES = 80_000;
const PIECES = 8;
const PIECE_PAUSE_MS = 100;
const READ_PAUSE_MS = 200;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export function formatBulkyBody(id: string): string {
  return `body of ${id}`.padEnd(BULKY_BYTES, '.');
}

/** Yields a body in pieces, with pauses between them. */
async function* sendPieces(body: string): AsyncGenerator<Buffer> {
  const bytes = Buffer.from(body);
  const size = Math.ceil(bytes.length / PIECES);
  for (let from = 0; from < bytes.length; from += size) {
    if (from > 0) await waitMs(PIECE_PAUSE_MS);
    yield bytes.subarray(from, from + size);
  }
}

export interface OpenAnswer {
  readonly statusCode: number;
  readonly headers: Http.IncomingHttpHeaders;
  readonly body: AsyncIterable<Buffer>;
}

interface SlowRequest {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly signal: AbortSignal;
}

/**
 * Sends a body slowly. The client of the other requests, undici, ends its process with an assertion where an
 * answer without framing ends while its reader pauses.
 */
export async function sendSlowly({ url, headers, body, signal }: SlowRequest): Promise<OpenAnswer> {
  const request = Http.request(url, { method: 'POST', agent: false, headers, signal });
  const answered = new Promise<Http.IncomingMessage>((resolve, reject) => {
    request.on('response', resolve);
    request.on('error', reject);
  });
  // An answer may come before the whole body is sent, as with a refusal, and breaks the sending off.
  Streams.pipeline(Readable.from(sendPieces(body)), request).catch(() => undefined);
  const response = await answered;
  return { statusCode: response.statusCode ?? 0, headers: response.headers, body: response };
}

/** Yields chunks with a pause before each, which holds back those that follow. */
export async function* readSlowly(chunks: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  await waitMs(READ_PAUSE_MS);
  for await (const chunk of chunks) {
    yield chunk;
    await waitMs(READ_PAUSE_MS);
  }
}
