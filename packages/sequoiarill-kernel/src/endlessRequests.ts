/** Requests for tests that never end, sent over a raw connection. */
import * as Net from 'node:net';

import { waitForDrain } from './endlessServer';
import type { EndlessAnswer } from './endlessServer';

const FILLER = 'a'.repeat(1_000);

/** Requests to the path whose bytes never end, by what has no end. */
export function createEndlessRequests(path: string, headers: readonly string[] = []) {
  const fields = ['host: endless', 'content-type: application/json', ...headers];
  const head = `POST ${path} HTTP/1.1\r\n${fields.map((field) => `${field}\r\n`).join('')}`;
  const chunkedHead = `${head}transfer-encoding: chunked\r\n\r\n`;
  return {
    headLine: { start: 'POST /', part: FILLER },
    headerFields: { start: head, part: `x-filler: ${FILLER}\r\n` },
    chunkedBody: { start: chunkedHead, part: `${FILLER.length.toString(16)}\r\n${FILLER}\r\n` },
    longBody: { start: `${head}content-length: 1000000000\r\n\r\n`, part: FILLER },
    chunkExtension: { start: `${chunkedHead}1;`, part: FILLER },
    trailers: { start: `${chunkedHead}2\r\n{}\r\n0\r\n`, part: `x-filler: ${FILLER}\r\n` },
  } as const;
}

export interface EndlessRequestResult {
  /** Bytes that were written before the other side closed the connection. */
  readonly bytes: number;
  /** False if the connection was still open after `maxBytes`. */
  readonly isClosed: boolean;
  /** What the other side has sent. */
  readonly text: string;
}

const DEFAULT_MAX_BYTES = 64 * 1_048_576;

/** Sends until the other side closes the connection; resolves then. */
export async function sendEndlessRequest(
  address: string,
  { start, part }: EndlessAnswer,
  maxBytes = DEFAULT_MAX_BYTES,
): Promise<EndlessRequestResult> {
  const separator = address.lastIndexOf(':');
  const socket = Net.connect(Number(address.slice(separator + 1)), address.slice(0, separator));
  let text = '';
  let isClosed = false;
  socket.setEncoding('latin1');
  socket.on('data', (chunk) => {
    text += String(chunk);
  });
  socket.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => {
      isClosed = true;
      resolve();
    });
  });
  socket.write(start);
  while (!isClosed && socket.bytesWritten < maxBytes) {
    if (!socket.write(part)) await Promise.race([closed, waitForDrain(socket)]);
  }
  const result = { bytes: socket.bytesWritten, isClosed, text };
  socket.destroy();
  return result;
}
