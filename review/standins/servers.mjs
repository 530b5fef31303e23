/** A small stand-in of a server: it reads raw requests of one channel one after the other and lets a case answer. */
/* eslint-disable import-x/extensions, no-await-in-loop -- plain scripts name files in full, steps follow each other */
import net from 'node:net';

import { findFreePort } from './deployment.mjs';

/** Decodes the head of a request; undefined while it is incomplete. */
export function decodeHead(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const [method, path] = first.split(' ');
  return { method, path, headers, headBytes: end + 4 };
}

export function formatAnswer(status, headers, body = '') {
  const fields = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) });
  return `HTTP/1.1 ${status}\r\n${fields.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`;
}

/**
 * `handleRequest` gets each request when its head is there, with `readBody`, `send` and `socket`. Reads of the state and of
 * the health are answered here.
 */
export async function startServer({ id, service, zone, slots, store, handleRequest, engine }) {
  const born = Date.now();
  const sockets = new Set();

  function sendManagement({ path }, send) {
    if (path === '/report') {
      const report = { queued: 0, active: 0, kvUsed: 0, kvTotal: 88_000, runs: [], born };
      send(formatAnswer('200 OK', { 'Content-Type': 'application/json' }, JSON.stringify(report)));
    } else if (path === '/healthz') send(formatAnswer('200 OK', { 'Instance-Id': id }));
    else send(formatAnswer('404 Not Found', {}));
  }

  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let buffer = Buffer.alloc(0);
    let waiting;
    let isClosed = false;
    socket.on('data', (data) => {
      buffer = Buffer.concat([buffer, data]);
      waiting?.();
    });
    socket.on('close', () => {
      isClosed = true;
      waiting?.();
    });
    const waitForData = () =>
      new Promise((resolve) => {
        waiting = resolve;
      });
    async function readHead() {
      for (;;) {
        const head = decodeHead(buffer);
        if (head !== undefined) {
          buffer = buffer.subarray(head.headBytes);
          return head;
        }
        if (isClosed) return undefined;
        await waitForData();
      }
    }
    async function readBody(bytes) {
      while (buffer.length < bytes && !isClosed) await waitForData();
      const body = buffer.subarray(0, bytes);
      buffer = buffer.subarray(bytes);
      return body;
    }
    async function serve() {
      for (let head = await readHead(); head !== undefined; head = await readHead()) {
        const length = Number(head.headers.get('content-length') ?? 0);
        const send = (text) => !socket.destroyed && socket.write(text);
        const isManagement = head.headers.get('request-id') === undefined;
        const expected = head.headers.get('expect-instance');
        if (isManagement) {
          await readBody(length);
          sendManagement(head, send);
        } else if (expected !== undefined && expected !== id) {
          await readBody(length);
          const requestId = head.headers.get('request-id');
          send(formatAnswer('421 Misdirected', { 'Instance-Id': id, 'Request-Id': requestId }));
        } else {
          await handleRequest({
            ...head,
            id,
            length,
            socket,
            send,
            readBody: () => readBody(length),
          });
        }
      }
    }
    serve();
  });
  const port = await findFreePort('127.0.0.1');
  await new Promise((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${port}`;
  const entry = { service, address, zone, version: 'v1', slots, state: 'ready', warmupLeftMs: 0 };
  const models = engine === true ? { models: [{ name: 'm', version: 1, adapters: [] }] } : {};
  store.write(`servers/${id}`, { ...entry, ...models, born, sequence: 1 });
  return {
    id,
    address,
    setState: (state) =>
      store.write(`servers/${id}`, { ...entry, ...models, state, born, sequence: 2 }),
    stop() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
