import * as Http from 'node:http';
import * as Net from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import * as Listeners from '../listeners';
import * as RequestGuards from '../requestGuard';

const HEADERS_TIMEOUT_MS = 200;
const KEEP_ALIVE_MS = 300;
/** Longer than the idle timeout and the second that Node.js adds to it. */
const IDLE_PAUSE_MS = 2_000;
/** Longer than the headers timeout plus the interval at which Node.js checks it. */
const PAUSE_MS = 700;

/** Blocks the event loop, as a pause of the VM does. */
function simulatePause(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('request guard', () => {
  let server: Http.Server;

  afterEach(() => Listeners.closeListener(server));

  async function startServer(run: () => void): Promise<string> {
    const guard = RequestGuards.createRequestGuard(
      (code) => `HTTP/1.1 ${code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400} Refused\r\n\r\n`,
    );
    server = Http.createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        connectionsCheckingInterval: 50,
      },
      (request, response) => {
        if (!guard.admitRequest(request, response)) return;
        run();
        response.end('done');
      },
    );
    server.on('clientError', guard.handleClientError);
    server.on('timeout', Listeners.closeIdleConnection);
    await Listeners.openListener(server, '127.0.0.1:0', 'test');
    return Listeners.getBoundAddress(server);
  }

  async function openSocket(address: string) {
    const [host = '', port] = address.split(':');
    const socket = Net.connect({ host, port: Number(port) });
    const received: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => received.push(chunk));
    socket.on('error', () => undefined);
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    await waitMs(20);
    return { socket, read: () => Buffer.concat(received).toString('utf8') };
  }

  it('never processes a request that it refused after a pause', async () => {
    // Guards against requests that run twice. A VM is paused while a request waits in its socket
    // buffer; on resume the request was answered 408 and processed nevertheless, so the caller's
    // retry ran it again.
    let runs = 0;
    const address = await startServer(() => {
      runs += 1;
    });
    const { socket, read } = await openSocket(address);
    socket.write('POST /order HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi');
    simulatePause(PAUSE_MS);
    await waitMs(300);
    const isRefused = read().includes(' 408 ');
    expect(isRefused && runs > 0).toEqual(false);
    expect(runs).toEqual(1);
    expect(read().includes(' 200 ')).toEqual(true);
    socket.destroy();
  });

  it('refuses a request whose headers time out, and everything after it', async () => {
    let runs = 0;
    const address = await startServer(() => {
      runs += 1;
    });
    const { socket, read } = await openSocket(address);
    socket.write('POST /order HTTP/1.1\r\nhost');
    await waitMs(600);
    expect(read().includes(' 408 ')).toEqual(true);
    socket.write(': a\r\ncontent-length: 0\r\n\r\n');
    await waitMs(50);
    expect(runs).toEqual(0);
  });

  it('reads a request that waits on a kept connection before that counts as idle', async () => {
    // Guards against a process that closes its callers' kept connections without an answer when it
    // resumes after a pause, because the idle timeout passed meanwhile.
    let runs = 0;
    const address = await startServer(() => {
      runs += 1;
    });
    const { socket, read } = await openSocket(address);
    const request = 'GET /order HTTP/1.1\r\nhost: a\r\n\r\n';
    socket.write(request);
    await waitMs(50);
    // A pause in this phase of the event loop is followed by timers, then by reads.
    await new Promise(setImmediate);
    socket.write(request);
    simulatePause(IDLE_PAUSE_MS);
    await waitMs(50);
    expect(runs).toEqual(2);
    expect(read().split(' 200 ').length).toEqual(3);
    socket.destroy();
  });

  it('closes a kept connection that is idle', async () => {
    const address = await startServer(() => undefined);
    const { socket } = await openSocket(address);
    socket.write('GET /order HTTP/1.1\r\nhost: a\r\n\r\n');
    await waitMs(50);
    expect(socket.readableEnded).toEqual(false);
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    expect(socket.readableEnded).toEqual(true);
  });
});
