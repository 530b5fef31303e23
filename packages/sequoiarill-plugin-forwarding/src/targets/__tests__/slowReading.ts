/**
 * Program of a thread: a slow reader takes an answer that the thread's data describe, and reports the number of bytes
 * that it got, or that it has cancelled its call.
 */
import * as Net from 'node:net';
import type { AddressInfo } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

import * as TargetCalls from '../targetCall';
import * as TargetConnections from '../targetConnections';

export interface SlowReading {
  /** Of the body. */
  readonly size: number;
  readonly framing: 'none' | 'length' | 'chunked';
  /** How the connection ends, within the body of a framed answer; `cancelled` by the reader. */
  readonly end: 'orderly' | 'reset' | 'cancelled';
}

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n';
/** A framed answer lacks some bytes. */
const MISSING_BYTES = 10;
const CHUNK_BYTES = 1_000;
/** The reader takes nothing until the whole answer has arrived. */
const READER_DELAY_MS = 100;
const END_DELAY_MS = 40;
const TIMEOUT_MS = 1_000;

const { size, framing, end } = workerData as SlowReading;

function formatAnswer(): string {
  const body = 'x'.repeat(size);
  if (framing === 'none') return `${HEAD}\r\n${body}`;
  if (framing === 'length') return `${HEAD}content-length: ${size + MISSING_BYTES}\r\n\r\n${body}`;
  const chunk = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`;
  return `${HEAD}transfer-encoding: chunked\r\n\r\n${chunk.repeat(size / CHUNK_BYTES)}`;
}

async function readAnswer(port: number): Promise<number | string> {
  const address = `127.0.0.1:${port}`;
  const connections = TargetConnections.createTargetConnections({
    getNowMs: () => performance.now(),
  });
  const call = TargetCalls.openCall({
    connection: connections.openConnection({ id: 't1', address, startedAtUnixMs: 1 }),
    target: { address },
    method: 'GET',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    recordHead: () => undefined,
  });
  await new Promise((resolve) => {
    setTimeout(resolve, READER_DELAY_MS);
  });
  if (end === 'cancelled') {
    call.cancel();
    await new Promise((resolve) => {
      setTimeout(resolve, READER_DELAY_MS);
    });
    return end;
  }
  let bytes = 0;
  for (;;) {
    const event = await call.readEvent(TIMEOUT_MS);
    if (event.kind === 'data') bytes += event.chunk.length;
    else if (event.kind !== 'head') return bytes;
  }
}

function closeSocket(socket: Net.Socket): void {
  if (end === 'reset') socket.resetAndDestroy();
  else socket.end();
}

const server = Net.createServer((socket) => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    socket.write(formatAnswer());
    if (framing === 'none') socket.end();
    else if (end !== 'cancelled') setTimeout(closeSocket, END_DELAY_MS, socket);
  });
});
server.listen(0, '127.0.0.1', () => {
  readAnswer((server.address() as AddressInfo).port).then(
    (bytes) => parentPort?.postMessage(bytes),
    () => parentPort?.postMessage(undefined),
  );
});
