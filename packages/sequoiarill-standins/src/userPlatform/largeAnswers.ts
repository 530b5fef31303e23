/** Large answers of the stand-in for targets, as the query of a request's path asks for them. */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

import type { RunTimers } from '../shared/timers';
import * as RawHttp from './rawHttp';
import type { TargetFault } from './targetTypes';

const PIECES = 20;
const BREAK_MS = 50;

const bodies = new Map<number, Buffer>();

/** The body of each large answer with this many bytes; no two parts of it are alike. */
export function createLargeBody(bytes: number): Buffer {
  const existing = bodies.get(bytes);
  if (existing !== undefined) return existing;
  const body = Buffer.alloc(bytes);
  for (let offset = 0; offset + 4 <= bytes; offset += 4) body.writeUInt32LE(offset, offset);
  bodies.set(bytes, body);
  return body;
}

function createFraming(query: URLSearchParams, bytes: number): OutgoingHttpHeaders {
  const framing = query.get('framing') ?? 'length';
  const isClosing = framing === 'close' || query.get('closing') === '1';
  return {
    ...(framing === 'length' ? { 'content-length': bytes } : {}),
    ...(isClosing ? { connection: 'close' } : {}),
  };
}

/**
 * Sends the answer that the path asks for; returns false if it asks for none.
 *
 * - `bytes`: its size.
 * - `framing`: `length` unless `chunked` or `close`.
 * - `closing`: with 1, its head announces that its connection will be closed.
 * - `status`: 200 unless given.
 * - `breakAt`: number of bytes after which the connection is reset.
 * - `breakMs`: with 0, these bytes and the reset arrive together; otherwise, 50 ms lie between them.
 * - `pieceMs`: time before each of `PIECES` equal pieces of it; without it, it is sent at once.
 * - `unreadMs`: time after which the connection is reset if the answer has not been taken.
 */
export function sendLargeAnswer(
  path: string,
  headers: OutgoingHttpHeaders,
  response: ServerResponse,
  timers: RunTimers,
): boolean {
  const query = RawHttp.parseQuery(path);
  const bytes = Number(query.get('bytes') ?? 0);
  if (bytes === 0) return false;
  if (query.get('framing') === 'close') response.removeHeader('transfer-encoding');
  response.writeHead(Number(query.get('status') ?? 200), {
    ...headers,
    ...createFraming(query, bytes),
  });
  const body = createLargeBody(bytes);
  const breakAt = query.get('breakAt');
  const resetConnection = () => response.socket?.resetAndDestroy();
  const pieceMs = query.get('pieceMs');
  if (pieceMs !== null) sendPieces(body, Number(pieceMs), response, timers);
  else if (breakAt === null) response.end(body);
  else if (query.get('breakMs') === '0') {
    response.flushHeaders();
    timers.startTimer(() => RawHttp.writeAndReset(response, body.subarray(0, Number(breakAt))), 1);
  } else {
    response.write(body.subarray(0, Number(breakAt)), () => setTimeout(resetConnection, BREAK_MS));
  }
  const unreadMs = query.get('unreadMs');
  if (unreadMs !== null) {
    const timer = setTimeout(resetConnection, Number(unreadMs));
    response.once('close', () => clearTimeout(timer));
  }
  return true;
}

function sendPieces(
  body: Buffer,
  pieceMs: number,
  response: ServerResponse,
  timers: RunTimers,
): void {
  const size = Math.ceil(body.length / PIECES);
  const sendFrom = (offset: number) => {
    if (response.destroyed) return;
    response.write(body.subarray(offset, offset + size));
    if (offset + size >= body.length) response.end();
    else timers.startTimer(() => sendFrom(offset + size), pieceMs);
  };
  timers.startTimer(() => sendFrom(0), pieceMs);
}

/** Stands after half an answer that was reset: not the beginning of any answer, so that one that is passed on is seen. */
const RESET_MARK = '(reset)';

/** Sends half an answer without framing. Its connection ends in order, or is reset together with the last bytes. */
export function sendUnframedHalf(
  body: string,
  isReset: boolean,
  headers: OutgoingHttpHeaders,
  response: ServerResponse,
  timers: RunTimers,
): void {
  response.removeHeader('transfer-encoding');
  response.writeHead(200, { ...headers, connection: 'close' }).flushHeaders();
  const half = body.slice(0, body.length / 2);
  if (isReset) timers.startTimer(() => RawHttp.writeAndReset(response, half + RESET_MARK), 1);
  else response.end(half);
}

/** Breaks a stream without framing off after an event, as the fault with which it began says. */
export function sendUnframedEnd(
  fault: TargetFault,
  event: string,
  response: ServerResponse,
  stopListening: () => void,
): void {
  if (fault === 'unframedReset') {
    RawHttp.writeAndReset(response, event);
    return;
  }
  response.write(event);
  // An orderly end, as the kernel sends it for a process that is killed.
  if (fault === 'unframedBreak') response.write('id: 6\ndata: ha');
  else stopListening();
  response.end();
}
