import { once } from 'node:events';
import { readFileSync, readdirSync } from 'node:fs';
import type { RequestListener, ServerResponse } from 'node:http';
import * as Net from 'node:net';
import path from 'node:path';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as GuardedServers from '../guardedServer';
import type { GuardedServerOptions } from '../guardedServer';
import * as Listeners from '../listeners';

const PACKAGES = path.join(__dirname, '../../../..', 'packages');
/** Stand-ins and the programs of tests have no callers from outside. */
const UNBOUNDED = /__tests__|sequoiarill-(standins|testing)|endlessServer|cutHeadServer/;
const HEAD = 'GET / HTTP/1.1\r\n';

function createAnswer(body = 'ok'): RequestListener {
  return (request, response) => {
    request.resume();
    response.writeHead(200, { 'content-length': body.length }).end(body);
  };
}

async function runWithServer(
  options: GuardedServerOptions,
  handleRequest: RequestListener,
  run: (open: () => Promise<Net.Socket>) => Promise<void>,
): Promise<void> {
  const server = GuardedServers.createGuardedServer(options, handleRequest);
  await Listeners.openListener(server, '127.0.0.1:0', 'test');
  const [host = '', port] = Listeners.getBoundAddress(server).split(':');
  await run(async () => {
    const socket = Net.connect({ host, port: Number(port) });
    socket.on('error', () => undefined);
    await new Promise<void>((resolve) => {
      socket.once('connect', () => resolve());
    });
    return socket;
  });
  await Listeners.closeListener(server);
}

async function readUntilClose(socket: Net.Socket): Promise<string> {
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  socket.resume();
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  return text;
}

const LIMIT = { timeout: 20_000 };

describe('a guarded server', LIMIT, () => {
  it('answers one request without a host, and closes the connection', async () => {
    // Guards against an answer to each of any number of such requests that are sent ahead.
    await runWithServer({}, createAnswer(), async (open) => {
      const socket = await open();
      socket.write(`${HEAD}\r\n`.repeat(2_000));
      const text = await readUntilClose(socket);
      expect(text.split('HTTP/1.1 400').length - 1).toEqual(1);
    });
  });

  it('passes on bodies whole, whatever the size of its reads', async () => {
    const received: number[] = [];
    const count: RequestListener = (request, response) => {
      let bytes = 0;
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      request.once('end', () => {
        received.push(bytes);
        response.end();
      });
    };
    await runWithServer({}, count, async (open) => {
      const socket = await open();
      const sizes = [1, 511, 512, 513, 70_000, 1_000_000, 0, 5];
      socket.resume();
      for (const bytes of sizes) {
        socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${bytes}\r\n\r\n`);
        socket.write('x'.repeat(bytes));
      }
      while (received.length < sizes.length) await new Promise(setImmediate);
      expect(received).toEqual(sizes);
      socket.destroy();
    });
  });

  it('resets a connection whose answers nobody reads', async () => {
    // Guards against answers that wait in memory for as long as a client stays.
    const long = createAnswer('x'.repeat(16 * 1_048_576));
    await runWithServer({ unreadMs: 200 }, long, async (open) => {
      const socket = await open();
      socket.pause();
      socket.write(`${HEAD}host: a\r\n\r\n`);
      await new Promise((resolve) => {
        setTimeout(resolve, 600);
      });
      const text = await readUntilClose(socket);
      expect(text.length).toBeLessThan(16 * 1_048_576);
    });
  });

  it('makes room by the connection that has had no request for longest', async () => {
    // Guards against silent connections that leave none to ordinary clients.
    await runWithServer({ maxConnections: 3 }, createAnswer(), async (open) => {
      const silent = [await open(), await open()];
      const closed = silent.map((socket) => readUntilClose(socket));
      const kept = await open();
      kept.write(`${HEAD}host: a\r\n\r\n`);
      await once(kept, 'data');
      const added = [await open(), await open()];
      await Promise.all(closed);
      for (const socket of [kept, ...added]) {
        socket.write(`${HEAD}host: a\r\n\r\n`);
        await once(socket, 'data');
        expect(socket.destroyed).toEqual(false);
      }
      [kept, ...added].forEach((socket) => socket.destroy());
    });
  });

  it('keeps connections with a request in progress', async () => {
    const responses: ServerResponse[] = [];
    const hold: RequestListener = (_request, response) => responses.push(response);
    await runWithServer({ maxConnections: 1 }, hold, async (open) => {
      const busy = await open();
      busy.write(`${HEAD}host: a\r\n\r\n`);
      while (responses.length === 0) await new Promise(setImmediate);
      await readUntilClose(await open());
      responses.forEach((response) => response.end('ok'));
      await once(busy, 'data');
      expect(busy.destroyed).toEqual(false);
      busy.destroy();
    });
  });

  it('is what all listeners of the product are', () => {
    // Guards against a listener without the bounds of the others.
    const files = readdirSync(PACKAGES, { recursive: true, encoding: 'utf8' })
      .filter((file) => /^[^/]+\/src\/.*\.ts$/.test(file) && !UNBOUNDED.test(file))
      .filter((file) => /createServer\(/.test(readFileSync(path.join(PACKAGES, file), 'utf8')));
    const own = ['httpFrontEnd.ts', 'httpServer.ts', 'guardedServer.ts'];
    expect(files.filter((file) => !own.includes(path.basename(file)))).toEqual([]);
    expect(files.some((file) => file.endsWith('guardedServer.ts'))).toEqual(true);
  });
});
