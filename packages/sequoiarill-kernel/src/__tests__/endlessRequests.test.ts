import * as Http from 'node:http';
import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';

import * as EndlessRequests from '../endlessRequests';
import * as Listeners from '../listeners';
import * as MetricsPages from '../metricsPage';
import * as RequestGuards from '../requestGuard';

const MAX_HEADER_BYTES = 65_536;
const REFUSAL = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';
/** More than arrives while the connection is kept open for the rest of a body. */
const MAX_BYTES = 512 * 1_048_576;
/** The same for the time that is usual in a process. */
const LONG_BYTES = 8_192 * 1_048_576;
const LINGER_MS = 50;
/** Time for the rest of a body to arrive on a busy machine. */
const BODY_LINGER_MS = 500;
/** Time in which requests are held, and what may be read of them: two reads of Node.js. */
const HELD_MS = 300;
const MAX_READ_BYTES = 2 * 65_536 + 1;

async function findFreeAddress(): Promise<string> {
  const server = Http.createServer();
  await Listeners.openListener(server, '127.0.0.1:0', 'listen');
  const address = Listeners.getBoundAddress(server);
  await Listeners.closeListener(server);
  return address;
}

async function runWithServer(
  handleRequest: RequestListener,
  run: (address: string) => Promise<void>,
  lingerMs = LINGER_MS,
): Promise<void> {
  const guard = RequestGuards.createRequestGuard(() => REFUSAL, lingerMs);
  const server = Http.createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
    if (guard.admitRequest(request, response)) handleRequest(request, response);
  });
  server.on('clientError', guard.handleClientError);
  await Listeners.openListener(server, '127.0.0.1:0', 'listen');
  await run(Listeners.getBoundAddress(server));
  await Listeners.closeListener(server);
}

describe('a request without end', () => {
  for (const [name, request] of Object.entries(EndlessRequests.createEndlessRequests('/'))) {
    it(`has its connection closed once it is answered (${name})`, async () => {
      // Guards against a caller whose bytes are read and dropped for as long as it sends them.
      const answer: RequestListener = (incoming, response) => {
        incoming.resume();
        response.writeHead(404, { 'content-length': 0 }).end();
      };
      await runWithServer(answer, async (address) => {
        const result = await EndlessRequests.sendEndlessRequest(address, request, MAX_BYTES);
        expect(result.isClosed).toEqual(true);
      });
    });
  }

  it('leaves the connection open where its body ends soon after the answer', async () => {
    // Guards against a caller whose next request meets a closed connection.
    const answer: RequestListener = (incoming, response) => {
      incoming.resume();
      response.writeHead(404, { 'content-length': 0 }).end();
    };
    await runWithServer(
      answer,
      async (address) => {
        const agent = new Http.Agent({ keepAlive: true, maxSockets: 1 });
        const ports: (number | undefined)[] = [];
        for (let sent = 0; sent < 2; sent += 1) {
          await new Promise<void>((resolve) => {
            const outgoing = Http.request(
              `http://${address}/`,
              { agent, method: 'POST' },
              (reply) => {
                ports.push(outgoing.socket?.localPort);
                reply.resume().once('end', resolve);
                outgoing.end('rest');
              },
            );
            outgoing.write('first');
          });
          await new Promise((resolve) => {
            setTimeout(resolve, 2 * BODY_LINGER_MS);
          });
        }
        agent.destroy();
        expect(ports[0] !== undefined && ports[0] === ports[1]).toEqual(true);
      },
      BODY_LINGER_MS,
    );
  });
});

describe('requests that are sent before the answers to earlier ones', () => {
  it('are not taken without end, and the earlier ones are answered', async () => {
    // Guards against one connection whose requests take the memory of the process.
    let requests = 0;
    const answers: (() => void)[] = [];
    const answer: RequestListener = (_incoming, response) => {
      requests += 1;
      answers.push(() => response.writeHead(200, { 'content-length': 2 }).end('ok'));
      if (requests === RequestGuards.MAX_PIPELINED_REQUESTS) {
        setTimeout(() => answers.forEach((send) => send()), LINGER_MS);
      }
    };
    const part = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(100);
    await runWithServer(answer, async (address) => {
      const flood = { start: '', part };
      const result = await EndlessRequests.sendEndlessRequest(address, flood, MAX_BYTES);
      expect(requests).toEqual(RequestGuards.MAX_PIPELINED_REQUESTS);
      expect(result.text.split('200 OK').length - 1).toEqual(requests);
      expect(result.isClosed).toEqual(true);
    });
  });

  it('are not read while the earlier ones are answered', async () => {
    // Guards against requests that are read and kept, without being served, until the earlier ones are answered.
    const sockets = new Set<Socket>();
    const hold: RequestListener = ({ socket }) => sockets.add(socket);
    const part = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(100);
    await runWithServer(hold, async (address) => {
      const sending = EndlessRequests.sendEndlessRequest(address, { start: '', part }, MAX_BYTES);
      await startTimeout(HELD_MS);
      const bytesRead = [...sockets].map((socket) => socket.bytesRead);
      sockets.forEach((socket) => socket.destroy());
      await sending;
      expect(bytesRead.length).toEqual(1);
      expect(Math.max(...bytesRead)).toBeLessThan(MAX_READ_BYTES);
    });
  });
});

describe('the metrics page', () => {
  it('closes the connection of a request whose body never ends', async () => {
    const page = MetricsPages.createMetricsPage({});
    const address = await findFreeAddress();
    await page.open(address);
    const { chunkedBody } = EndlessRequests.createEndlessRequests('/metrics');
    const result = await EndlessRequests.sendEndlessRequest(address, chunkedBody, LONG_BYTES);
    await page.close();
    expect(result.isClosed).toEqual(true);
  });
});
