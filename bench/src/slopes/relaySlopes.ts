/** Measures slopes of a router process: memory per stream, processor time per token and per request. */
import type { Fleet } from '@sequoiarill/testing';
import * as Testing from '@sequoiarill/testing';
import * as Undici from 'undici';

import type { Point } from './fit';

const MS_PER_SECOND = 1_000;
const STREAM_COUNTS = [0, 250, 500, 1_000, 1_500] as const;
const TOKEN_STREAMS = [60, 120, 240, 480] as const;
const REQUEST_RATES = [25, 50, 100, 200] as const;
const WARM_UP_MS = 3_000;
const WINDOW_MS = 4_000;
const MANY_TOKENS = 100_000;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

interface OpenStreams {
  readonly addStreams: (count: number) => void;
  readonly close: () => Promise<void>;
}

/** Opens streams that continue until they are closed. */
function openStreams(fleet: Fleet): OpenStreams {
  const dispatcher = new Undici.Agent({ connections: null, bodyTimeout: 0 });
  const reads: Promise<unknown>[] = [];
  let opened = 0;
  return {
    addStreams(count) {
      for (let index = 0; index < count; index += 1) {
        opened += 1;
        const answer = Testing.readAnswer({
          url: fleet.routers[0]!.callers,
          apiKey: fleet.apiKey,
          prompt: `Stream ${opened}`,
          maxTokens: MANY_TOKENS,
          dispatcher,
        });
        reads.push(answer.catch(() => undefined));
      }
    },
    async close() {
      await dispatcher.destroy();
      await Promise.all(reads);
    },
  };
}

async function startFleet(stepMs: number): Promise<Fleet> {
  return Testing.startFleet({
    engines: 2,
    slots: 2_000,
    engineSettings: { stepMs, eosProbability: 0, slots: 2_000 },
  });
}

/** Measures the resident memory of a router by its number of open streams. */
export async function measureStreamMemory(): Promise<readonly Point[]> {
  const fleet = await startFleet(500);
  const router = fleet.routers[0]!.daemon;
  const streams = openStreams(fleet);
  const points: Point[] = [];
  let opened = 0;
  for (const size of STREAM_COUNTS) {
    streams.addStreams(size - opened);
    opened = size;
    await waitMs(WARM_UP_MS);
    points.push({ size, value: router.getMemoryBytes() });
  }
  await streams.close();
  await fleet.stop();
  return points;
}

/** Measures a router's processor time per second by the number of tokens it relays per second. */
export async function measureTokenCpu(stepMs: number): Promise<readonly Point[]> {
  const fleet = await startFleet(stepMs);
  const router = fleet.routers[0]!.daemon;
  const streams = openStreams(fleet);
  const points: Point[] = [];
  let opened = 0;
  for (const size of TOKEN_STREAMS) {
    streams.addStreams(size - opened);
    opened = size;
    await waitMs(WARM_UP_MS);
    const cpuBeforeMs = router.getCpuMs();
    const startedMs = performance.now();
    await waitMs(WINDOW_MS);
    const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
    const value = (router.getCpuMs() - cpuBeforeMs) / seconds;
    points.push({ size: (size * MS_PER_SECOND) / stepMs, value });
  }
  await streams.close();
  await fleet.stop();
  return points;
}

/** Measures a router's processor time per second by the number of requests of one token per second. */
export async function measureRequestCpu(): Promise<readonly Point[]> {
  const fleet = await startFleet(5);
  const router = fleet.routers[0]!;
  const points: Point[] = [];
  for (const rate of REQUEST_RATES) {
    const cpuBeforeMs = router.daemon.getCpuMs();
    const startedMs = performance.now();
    const reads: Promise<unknown>[] = [];
    while (performance.now() - startedMs < WINDOW_MS) {
      reads.push(
        Testing.readAnswer({
          url: router.callers,
          apiKey: fleet.apiKey,
          prompt: `Request ${reads.length}`,
          maxTokens: 1,
        }),
      );
      const nextMs = startedMs + (reads.length * MS_PER_SECOND) / rate;
      await waitMs(Math.max(0, nextMs - performance.now()));
    }
    await Promise.all(reads);
    const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
    const value = (router.daemon.getCpuMs() - cpuBeforeMs) / seconds;
    points.push({ size: reads.length / seconds, value });
  }
  await fleet.stop();
  return points;
}
