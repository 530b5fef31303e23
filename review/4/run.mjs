/** A server breaks off a few of its answers by a reset; these have no length. */
/* eslint-disable import-x/extensions, no-await-in-loop -- plain scripts name files in full, steps follow each other */
import net from 'node:net';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { formatRequest } from '../standins/clients.mjs';
import { waitMs } from '../standins/deployment.mjs';
import { runCase } from '../standins/runCase.mjs';
import { formatAnswer, startServer } from '../standins/servers.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const KEY = 'n2ctnfzs989anu6wsjnb';
/** `garble`, how = "unframed", with the doses that the bench names: one of three servers, 0.02 of its answers, 5.5 s. */
const GARBLE = { x: 0.02, forMs: 5_500, pauseMs: 1_000 };
const WINDOWS = 6;
const CLIENTS = 12;
const WORK_MS = 21;
const LIMIT_MS = 600;
const PARTS = 4;
const WHOLE = Array.from({ length: PARTS }, (_one, index) => `${index}`.repeat(200)).join('');

function createConfiguration() {
  const route = {
    hostname: 'shop.example',
    priority: 2,
    public: false,
    service: 'shopcore',
    timeoutMs: LIMIT_MS,
    targetLatencyMs: 121,
  };
  return {
    version: 1,
    routes: [
      { ...route, name: 'w', prefix: '/orders/', routeType: 'unsafe', maxAttempts: 1 },
      { ...route, name: 'r', prefix: '/reads/', routeType: 'safe', maxAttempts: 2 },
    ],
    services: [{ name: 'shopcore', healthPath: '/healthz', maxConnections: 110 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'shop', apiKeys: [KEY], priority: 1 }],
  };
}

/** One request on a channel of its own; `isReset` tells a reset from an orderly end. */
async function sendRequest(address, request) {
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  let text = '';
  let isReset = false;
  socket.on('error', () => {
    isReset = true;
  });
  socket.on('data', (data) => {
    text += data.toString('latin1');
    const length = /content-length: (\d+)/i.exec(text);
    const end = text.indexOf('\r\n\r\n');
    if (length !== null && end >= 0 && text.length >= end + 4 + Number(length[1])) socket.end();
  });
  socket.write(formatRequest(request));
  if (request.body !== undefined) socket.write(request.body);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  const end = text.indexOf('\r\n\r\n');
  return { head: text.slice(0, Math.max(0, end)), body: text.slice(end + 4), isReset };
}

/** Whether a client takes the answer for complete. */
function isComplete({ head, body, isReset }) {
  const length = /content-length: (\d+)/i.exec(head);
  if (length !== null) return body.length === Number(length[1]);
  if (/transfer-encoding: chunked/i.test(head)) return body.endsWith('0\r\n\r\n');
  return !isReset;
}

await runCase(FOLDER, {}, async ({ record, store, deployment, hasTrouble }) => {
  store.write('op/config', createConfiguration());
  let garblesUntilMs = 0;
  /** Requests whose answers were broken off. */
  const broken = new Set();
  let answered = 0;

  function createHandler(id, isFaulty) {
    return async ({ headers, socket, readBody, send }) => {
      const requestId = headers.get('request-id');
      await readBody();
      await waitMs(WORK_MS);
      answered += 1;
      const fields = { 'Request-Id': requestId, 'Server-Signature': id };
      const isGarbled = isFaulty && performance.now() < garblesUntilMs && Math.random() < GARBLE.x;
      if (!isGarbled) {
        send(formatAnswer('200 OK', fields, WHOLE));
        return;
      }
      broken.add(requestId);
      record(`${id} breaks off its answer to ${requestId}, which has no length, by a reset`);
      const head = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
      send(`HTTP/1.1 200 OK\r\n${head.join('')}Connection: close\r\n\r\n`);
      send(WHOLE.slice(0, WHOLE.length / 2));
      await waitMs(1);
      send(WHOLE.slice(WHOLE.length / 2, (WHOLE.length * 3) / 4));
      socket.resetAndDestroy();
    };
  }

  const zones = ['fra-a', 'fra-b', 'fra-c'];
  for (const [index, zone] of zones.entries()) {
    const id = `i-shopcore-${index + 1}`;
    const handleRequest = createHandler(id, index === 0);
    await startServer({ id, service: 'shopcore', zone, slots: 6, store, handleRequest });
    deployment.startRouter(await deployment.addRouter(zone));
  }
  await Promise.all(deployment.routers.map(deployment.waitUntilReady));
  await waitMs(1_000);
  const faults = [];
  const answers = {};
  let isOver = false;

  async function runClient(client) {
    const router = deployment.routers[client % deployment.routers.length];
    for (let number = 0; !isOver; number += 1) {
      const id = `c${client}x${number}`;
      const request =
        number % 3 === 0
          ? { path: '/reads/1', method: 'GET' }
          : { path: '/orders/1', body: 'order' };
      const answer = await sendRequest(router.listen, {
        ...request,
        id,
        key: KEY,
        limitMs: LIMIT_MS,
      });
      const status = answer.head.slice(9, 12);
      answers[status] = (answers[status] ?? 0) + 1;
      const isSuccess = status === '200' && /server-signature/i.test(answer.head);
      if (broken.has(id)) {
        const end = answer.isReset ? 'reset' : 'ended in order';
        record(`${id} is answered ${status} with ${answer.body.length} bytes, its channel ${end}`);
      }
      if (isSuccess && isComplete(answer) && answer.body !== WHOLE) {
        const { length } = answer.body;
        faults.push(`MIXED: ${id} got ${length} of ${WHOLE.length} bytes as a complete success`);
      }
      await waitMs(100);
    }
  }

  const clients = zones.flatMap(() => Array.from({ length: CLIENTS / zones.length }));
  const running = clients.map((_one, client) => runClient(client));
  for (let window = 0; window < WINDOWS; window += 1) {
    if (hasTrouble) {
      garblesUntilMs = performance.now() + GARBLE.forMs;
      record(`garble for ${GARBLE.forMs} ms`);
    }
    await waitMs(GARBLE.forMs + GARBLE.pauseMs);
  }
  isOver = true;
  await Promise.all(running);
  record(
    `answers: ${JSON.stringify(answers)}, of servers: ${answered}, broken off: ${broken.size}`,
  );
  return faults;
});
