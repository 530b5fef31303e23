/**
 * Program of a thread: a slow reader takes a stream whose head announces the close of the connection, as a router that is
 * stopped sends it, and whose connection is reset. It reports the number of bytes that it got.
 */
import * as Net from 'node:net';
import type { AddressInfo } from 'node:net';
import { parentPort } from 'node:worker_threads';

import * as Connections from '../connection';
import * as Dispatchers from '../dispatcher';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n';
const CHUNK = `3e8\r\n${'x'.repeat(1_000)}\r\n`;
/** Their bytes are on the other side of what the client buffers for a reader. */
const CHUNKS = 66;
const RESET_DELAY_MS = 60;
const READER_DELAY_MS = 200;

async function readStream(port: number): Promise<number> {
  const dispatcher = Dispatchers.createDispatcher();
  const baseUrl = `http://127.0.0.1:${port}`;
  const connection = Connections.createConnection({ baseUrl, apiKey: 'key', dispatcher });
  const position = { responseId: undefined, sequenceNumber: 0, eventId: undefined };
  const { signal } = new AbortController();
  const opened = await connection.openStream({ model: 'm', input: 'x' }, position, signal);
  if (opened.kind !== 'opened') throw new Error(opened.kind);
  let bytes = 0;
  try {
    for await (const chunk of opened.bytes) {
      const isFirst = bytes === 0;
      bytes += chunk.length;
      if (isFirst) {
        await new Promise((resolve) => {
          setTimeout(resolve, READER_DELAY_MS);
        });
      }
    }
  } catch {
    // The stream lacks its end.
  }
  return bytes;
}

const server = Net.createServer((socket) => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    socket.write(HEAD);
    for (let index = 0; index < CHUNKS; index += 1) socket.write(CHUNK);
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  });
});
server.listen(0, '127.0.0.1', () => {
  readStream((server.address() as AddressInfo).port).then(
    (bytes) => parentPort?.postMessage(bytes),
    (error: unknown) => parentPort?.postMessage(String(error)),
  );
});
