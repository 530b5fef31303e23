/** Routers as processes before engines that crash on certain parts of prompts. */
import { performance } from 'node:perf_hooks';

import * as Standins from '@sequoiarill/standins';
import type { TargetArrival, TargetRun } from '@sequoiarill/standins';
import * as Undici from 'undici';

import * as UserRouters from '../userRouter';
import type { RunningRouter, StartedRouter } from '../userRouter';
import * as PartEngines from './partEngines';
import type { PartEngineOptions } from './partEngines';

export interface RouterPlace {
  readonly store: string;
  readonly name: string;
  readonly zone: string;
}

export interface PartFleetOptions extends PartEngineOptions {
  /** Program file of the routers. */
  readonly daemon: string;
  /** Returns the text of a router's INI file. */
  readonly formatSettings: (place: RouterPlace) => string;
  readonly apiKey: string;
  readonly routerCount: number;
  readonly engineCount: number;
  /** Time limit of the requests. */
  readonly limitMs?: number;
}

export interface StreamResult {
  readonly id: string;
  /** 0 where the caller left before the head of an answer. */
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly eventCount: number;
  readonly tookMs: number;
}

export interface PartStream {
  readonly id: string;
  /** All but the last part of the prompt, which belongs to the request. */
  readonly parts: readonly string[];
  /** Time after which the caller leaves. */
  readonly leaveMs?: number;
  /** Index of the router; the next one where it is absent. */
  readonly router?: number;
}

export interface PartFleet {
  readonly listRouters: () => readonly RunningRouter[];
  readonly sendStream: (stream: PartStream) => Promise<StreamResult>;
  /** `performance.now()` of each crash, in the order of time. */
  readonly listCrashes: () => readonly number[];
  /** Requests whose ids begin so, as engines have read them. */
  readonly listArrivals: (idPrefix: string) => readonly TargetArrival[];
  /** Runs of requests whose ids begin so. */
  readonly listRuns: (idPrefix: string) => readonly TargetRun[];
  /** Kills one router and starts another one in its place. */
  readonly restartRouter: (index: number) => Promise<void>;
  /** Kills all routers at the same moment and starts new ones. */
  readonly restartRouters: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

const LIMIT_MS = 12_000;
/** More routers at a time would take the processor time that this process needs. */
const STARTED_TOGETHER = 8;
const CALLER_CONNECTIONS = 64;

async function readResponse(
  id: string,
  response: Undici.Dispatcher.ResponseData,
  startedAtMs: number,
): Promise<StreamResult> {
  let text = '';
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) text += chunk.toString();
  } catch {
    // The stream broke off; what arrived before counts.
  }
  const retryAfter = response.headers['retry-after'];
  return {
    id,
    status: response.statusCode,
    retryAfter: typeof retryAfter === 'string' ? retryAfter : undefined,
    eventCount: text.split('\n\n').length - 1,
    tookMs: performance.now() - startedAtMs,
  };
}

export async function startPartFleet(options: PartFleetOptions): Promise<PartFleet> {
  const { limitMs = LIMIT_MS, apiKey, routerCount, engineCount } = options;
  const store = Standins.createStoreStandin();
  const storeAddress = await store.start();
  const document = Standins.createConfiguration(1, { apiKeys: [apiKey], timeoutMs: limitMs });
  store.writeValue(Standins.CONFIGURATION_KEY, JSON.stringify(document));
  const engines = await Promise.all(
    Array.from({ length: engineCount }, (_one, index) =>
      PartEngines.startPartEngine(store, index, options),
    ),
  );
  const lives = () => engines.flatMap((engine) => engine.listLives());
  const agent = new Undici.Agent({ connections: CALLER_CONNECTIONS });
  const routers: StartedRouter[] = [];
  let started = 0;
  let sent = 0;

  async function startRouter(index: number): Promise<void> {
    started += 1;
    const zone = PartEngines.PART_ZONES[index % PartEngines.PART_ZONES.length] ?? '';
    const place = { store: storeAddress, name: `router-${started}-${index}`, zone };
    const router = UserRouters.startUserRouter(options.daemon, options.formatSettings(place));
    routers[index] = router;
    await router.start;
    await router.waitForLine(
      ({ name, known }) => name === 'directory.targetsChanged' && Number(known) > 0,
    );
  }

  async function startRouters(): Promise<void> {
    for (let first = 0; first < routerCount; first += STARTED_TOGETHER) {
      const count = Math.min(STARTED_TOGETHER, routerCount - first);
      await Promise.all(Array.from({ length: count }, (_one, index) => startRouter(first + index)));
    }
  }

  async function stopRouters(): Promise<void> {
    routers.forEach(({ process: child }) => child.kill('SIGKILL'));
    await Promise.all(routers.map(({ exited }) => exited));
  }

  async function sendStream({ id, parts, leaveMs, router }: PartStream): Promise<StreamResult> {
    const startedAtMs = performance.now();
    sent += 1;
    const { address } = routers[router ?? sent % routers.length] as StartedRouter;
    const prompt = [...parts, `last-${id}`].map((part) => `${part}:20`).join(',');
    const caller = { requestId: id, apiKey, limitMs };
    const left = leaveMs === undefined ? {} : { signal: AbortSignal.timeout(leaveMs) };
    try {
      const response = await Undici.request(`http://${address}/advice/x`, {
        method: 'POST',
        body: `prompt of ${id}`,
        dispatcher: agent,
        headers: {
          ...Standins.createCallerHeaders(caller),
          ...Standins.createStreamHeaders(id),
          'prompt-prefix': prompt,
        },
        ...left,
      });
      return await readResponse(id, response, startedAtMs);
    } catch {
      const tookMs = performance.now() - startedAtMs;
      return { id, status: 0, retryAfter: undefined, eventCount: 0, tookMs };
    }
  }

  await startRouters();

  return {
    listRouters: () => routers,
    sendStream,
    listCrashes: () =>
      engines.flatMap((engine) => engine.listCrashes()).sort((left, right) => left - right),
    listArrivals: (idPrefix) =>
      lives()
        .flatMap((life) => life.listArrivals())
        .filter(({ requestId }) => requestId.startsWith(idPrefix)),
    listRuns: (idPrefix) =>
      lives()
        .flatMap((life) => life.listRuns())
        .filter(({ requestId }) => requestId.startsWith(idPrefix)),
    async restartRouter(index) {
      const router = routers[index] as StartedRouter;
      router.process.kill('SIGKILL');
      await router.exited;
      await startRouter(index);
    },
    async restartRouters() {
      await stopRouters();
      await startRouters();
    },
    async stop() {
      await agent.destroy();
      await stopRouters();
      await Promise.all(engines.map((engine) => engine.stop()));
      await store.stop();
    },
  };
}
