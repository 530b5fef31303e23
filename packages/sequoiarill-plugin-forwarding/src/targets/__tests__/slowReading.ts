/**
 * Program of a thread: a slow reader takes an answer without framing of the size given by the thread's data,
 * and reports the number of bytes that it got.
 */
import * as Net from 'node:net';
import type { AddressInfo } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

import * as TargetCalls from '../targetCall';
import * as TargetConnections from '../targetConnections';

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n';
/** The reader takes nothing until the whole answer has arrived. */
const READER_DELAY_MS = 100;
const TIMEOUT_MS = 1_000;

async function readAnswer(port: number): Promise<number> {
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
  let bytes = 0;
  for (;;) {
    const event = await call.readEvent(TIMEOUT_MS);
    if (event.kind === 'data') bytes += event.chunk.length;
    else if (event.kind !== 'head') return bytes;
  }
}

const server = Net.createServer((socket) => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    socket.write(HEAD);
    socket.end(Buffer.alloc(Number(workerData), 'x'));
  });
});
server.listen(0, '127.0.0.1', () => {
  readAnswer((server.address() as AddressInfo).port).then(
    (bytes) => parentPort?.postMessage(bytes),
    () => parentPort?.postMessage(undefined),
  );
});
