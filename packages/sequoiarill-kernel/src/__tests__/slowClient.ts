/**
 * Program of a thread: a slow reader takes an answer whose head announces the close of the connection, and whose
 * connection ends, as the thread's data say, within the body. It reports the number of bytes that it got.
 */
import * as Net from 'node:net';
import type { AddressInfo } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

import * as Undici from 'undici';

import * as CheckedClients from '../checkedClient';

/** On the other side of what the client buffers for a reader. */
const SIZE = 66_000;
const END_DELAY_MS = 40;
const READER_DELAY_MS = 150;

async function readAnswer(port: number): Promise<number> {
  const pool = new Undici.Pool(`http://127.0.0.1:${port}`, {
    factory: CheckedClients.openCheckedClient,
  });
  const { body } = await pool.request({ path: '/', method: 'GET' });
  await new Promise((resolve) => {
    setTimeout(resolve, READER_DELAY_MS);
  });
  let bytes = 0;
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) bytes += chunk.length;
  } catch {
    // The body lacks its end.
  }
  return bytes;
}

const server = Net.createServer((socket) => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${SIZE + 1}\r\n\r\n`);
    socket.write('x'.repeat(SIZE));
    const end = () => (workerData === 'reset' ? socket.resetAndDestroy() : socket.end());
    setTimeout(end, END_DELAY_MS);
  });
});
server.listen(0, '127.0.0.1', () => {
  readAnswer((server.address() as AddressInfo).port).then(
    (bytes) => parentPort?.postMessage(bytes),
    (error: unknown) => parentPort?.postMessage(String(error)),
  );
});
