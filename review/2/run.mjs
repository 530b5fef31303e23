/** Full engines reject streams that may run once; some of them send a rejection a second time, late. */
/* eslint-disable import-x/extensions, no-await-in-loop -- plain scripts name files in full, steps follow each other */
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { openChannel } from '../standins/clients.mjs';
import { waitMs } from '../standins/deployment.mjs';
import { runCase } from '../standins/runCase.mjs';
import { formatAnswer, startServer } from '../standins/servers.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const KEY = 'n2ctnfzs989anu6wsjnb';
/** The dose of the site file: `garble`, how = "extra late", share = 0.6, x = 0.03, for_s = 5.0. */
const GARBLE = { share: 0.6, x: 0.03, forMs: 5_000, pauseMs: 1_000 };
const ENGINES = 2;
/** Each router has one client for each service. */
const SERVICES = ['advisor', 'writer', 'reader', 'planner'];
const ROUTER_ZONES = ['fra-a', 'fra-b', 'fra-c'];
const SECONDS = 105;
const EVENTS = 2;
const EVENT_MS = 30;
const LIMIT_MS = 25_000;

function createConfiguration() {
  const route = { hostname: 'shop.example', priority: 1, maxAttempts: 5, public: false };
  const kind = { routeType: 'streaming', streamResume: false };
  const times = { timeoutMs: LIMIT_MS, targetLatencyMs: 4_500, gapTargetMs: 700 };
  return {
    version: 1,
    routes: SERVICES.map((service) => ({
      ...route,
      ...kind,
      ...times,
      name: service,
      prefix: `/${service}/`,
      service,
    })),
    services: SERVICES.map((name) => ({ name, healthPath: '/healthz', maxConnections: 630 })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'shop', apiKeys: [KEY], priority: 1 }],
  };
}

function formatEvent(id, number) {
  const event = `id: ${number}\ndata: ${id} ${number}\n\n`;
  return `${event.length.toString(16)}\r\n${event}\r\n`;
}

await runCase(FOLDER, {}, async ({ record, store, deployment, hasTrouble }) => {
  store.write('op/config', createConfiguration());
  /** Starts of each request, as `ENGINE at SECONDS`. */
  const runs = new Map();
  const counts = { rejected: 0, extra: 0, garbled: 0, answers: 0 };
  let garblesUntilMs = 0;

  function addRun(id, engine) {
    runs.set(id, [...(runs.get(id) ?? []), engine]);
    record(`${engine} runs ${id}`);
  }

  /** One engine with a single place; `isFaulty`: it sends some answers twice. */
  function createEngine(engine, isFaulty) {
    let isBusy = false;
    /** The second answer that is due on a channel. */
    const extras = new WeakMap();

    function keepExtra(socket, id, text) {
      counts.answers += 1;
      if (!isFaulty || performance.now() > garblesUntilMs || Math.random() >= GARBLE.x) return;
      counts.garbled += 1;
      extras.set(socket, { id, text });
    }

    return async ({ headers, socket, readBody, send }) => {
      const id = headers.get('request-id');
      await readBody();
      const extra = extras.get(socket);
      if (extra !== undefined) {
        extras.delete(socket);
        counts.extra += 1;
        record(`${engine} sends the answer to ${extra.id} again, where the one to ${id} is due`);
        send(extra.text);
      }
      if (isBusy) {
        counts.rejected += 1;
        const text = formatAnswer('503 Service Unavailable', {
          'Request-Id': id,
          'Not-Executed': '1',
        });
        send(text);
        keepExtra(socket, id, text);
        return;
      }
      isBusy = true;
      addRun(id, engine);
      const head =
        `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: ${engine}\r\n` +
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
      let text = head;
      send(head);
      for (let number = 1; number <= EVENTS && !socket.destroyed; number += 1) {
        await waitMs(EVENT_MS);
        text += formatEvent(id, number);
        send(formatEvent(id, number));
      }
      isBusy = false;
      send('0\r\n\r\n');
      keepExtra(socket, id, `${text}0\r\n\r\n`);
    };
  }

  for (const service of SERVICES) {
    for (let index = 1; index <= ENGINES; index += 1) {
      const id = `i-${service}-${index}`;
      const handleRequest = createEngine(id, index <= Math.floor(ENGINES * GARBLE.share));
      const zone = `fra-${'abc'[index % 3]}`;
      await startServer({ id, service, zone, slots: 1, store, handleRequest });
    }
  }
  for (const zone of ROUTER_ZONES) deployment.startRouter(await deployment.addRouter(zone));
  await Promise.all(deployment.routers.map(deployment.waitUntilReady));
  await waitMs(1_000);
  const endMs = performance.now() + SECONDS * 1_000;
  const answers = {};
  const faults = [];

  async function runClient(router, service) {
    for (let number = 0; performance.now() < endMs && faults.length === 0; number += 1) {
      const id = `${router.name}-${service}-${number}`;
      const channel = openChannel(router.listen);
      const request = { path: `/${service}/1`, id, key: KEY, limitMs: LIMIT_MS, body: 'prompt' };
      const { status } = await channel.ask(request);
      channel.close();
      answers[status] = (answers[status] ?? 0) + 1;
      record(`${id} is answered ${status}`);
      const engines = runs.get(id) ?? [];
      if (engines.length > 1) {
        faults.push(`TWICE: ${id} ran ${engines.length} times, at ${engines.join(', ')}`);
      }
      if (engines.length > 0 && status === '503') faults.push(`REFUSED: ${id} ran, and got 503`);
    }
  }

  async function runGarble() {
    while (hasTrouble && performance.now() < endMs && faults.length === 0) {
      garblesUntilMs = performance.now() + GARBLE.forMs;
      record(`garble for ${GARBLE.forMs} ms`);
      await waitMs(GARBLE.forMs + GARBLE.pauseMs);
    }
  }

  const clients = deployment.routers.flatMap((router) =>
    SERVICES.map((service) => runClient(router, service)),
  );
  await Promise.all([runGarble(), ...clients]);
  record(`answers: ${JSON.stringify(answers)}, engines: ${JSON.stringify(counts)}`);
  return faults;
});
