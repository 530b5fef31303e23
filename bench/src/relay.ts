/**
 * Measures the cost of relaying: the router's processor time for each token at many open streams,
 * compared with a plain pass-through server at the same engine. Both are measured in turn within one
 * run, so that the load and speed of the machine affect both alike.
 */
import path from 'node:path';
import { setTimeout as startTimeout } from 'node:timers/promises';

import * as Testing from '@sequoiarill/testing';
import type { Daemon } from '@sequoiarill/testing';
import * as Undici from 'undici';

import * as Outputs from './output';

const STREAMS = 240;
const TOKENS = 300;
const WARM_UP_TOKENS = 20;
const ROUNDS = 3;
const STEP_MS = 30;
const START_INTERVAL_MS = 10;
const MICROS_PER_MS = 1_000;

interface LoadUsage {
  readonly tokens: number;
  readonly cpuMs: number;
  readonly elapsedMs: number;
}

async function runLoad(
  url: string,
  daemon: Daemon,
  apiKey: string,
  maxTokens: number,
): Promise<LoadUsage> {
  const dispatcher = new Undici.Agent({ connections: STREAMS, bodyTimeout: 0 });
  const cpuBeforeMs = daemon.getCpuMs();
  const startedMs = performance.now();
  const answers = await Promise.all(
    Array.from({ length: STREAMS }, async (_unused, index) => {
      // Starting all streams at once would measure admission during a burst; bench:decisions does that.
      await startTimeout(index * START_INTERVAL_MS);
      return Testing.readAnswer({ url, apiKey, prompt: `Stream ${index}`, maxTokens, dispatcher });
    }),
  );
  const elapsedMs = performance.now() - startedMs;
  const cpuMs = daemon.getCpuMs() - cpuBeforeMs;
  await dispatcher.close();
  const tokens = answers.reduce((sum, answer) => sum + (answer.completionTokens ?? 0), 0);
  if (tokens !== STREAMS * maxTokens) {
    const failed = answers.find((answer) => answer.completionTokens !== maxTokens);
    throw new Error(`an answer is incomplete: ${JSON.stringify(failed)}`);
  }
  return { tokens, cpuMs, elapsedMs };
}

function mergeLoads(loads: readonly LoadUsage[]): LoadUsage {
  const sum = (pick: (load: LoadUsage) => number) =>
    loads.reduce((total, load) => total + pick(load), 0);
  return {
    tokens: sum((load) => load.tokens),
    cpuMs: sum((load) => load.cpuMs),
    elapsedMs: sum((load) => load.elapsedMs),
  };
}

function computeCpuMicros({ cpuMs, tokens }: LoadUsage): number {
  return (cpuMs * MICROS_PER_MS) / tokens;
}

async function measureRelay(): Promise<Outputs.Result> {
  const fleet = await Testing.startFleet({
    engines: 1,
    slots: 4 * STREAMS,
    engineSettings: { stepMs: STEP_MS, eosProbability: 0, slots: 2 * STREAMS },
    routerSettings: { telemetry: { logLevel: 'info' } },
  });
  const [router] = fleet.routers;
  const engine = fleet.engines[0]!.addresses.get('')!;
  const script = path.join(__dirname, 'passThrough.js');
  const baseline = await Testing.startProgram([script, engine], ['']);
  const baselineUrl = `http://${baseline.addresses.get('')!}`;
  try {
    await runLoad(router!.callers, router!.daemon, fleet.apiKey, WARM_UP_TOKENS);
    await runLoad(baselineUrl, baseline, fleet.apiKey, WARM_UP_TOKENS);
    const routerLoads: LoadUsage[] = [];
    const baselineLoads: LoadUsage[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      routerLoads.push(await runLoad(router!.callers, router!.daemon, fleet.apiKey, TOKENS));
      baselineLoads.push(await runLoad(baselineUrl, baseline, fleet.apiKey, TOKENS));
    }
    const routerLoad = mergeLoads(routerLoads);
    const baselineLoad = mergeLoads(baselineLoads);
    return {
      streams: STREAMS,
      tokens: routerLoad.tokens,
      tokensPerSecond: Math.round((routerLoad.tokens * 1_000) / routerLoad.elapsedMs),
      cpuMicrosPerToken: Outputs.computeRounded(computeCpuMicros(routerLoad)),
      baselineCpuMicrosPerToken: Outputs.computeRounded(computeCpuMicros(baselineLoad)),
      ratio: Outputs.computeRounded(computeCpuMicros(routerLoad) / computeCpuMicros(baselineLoad)),
      ratioByRound: routerLoads.map((load, round) =>
        Outputs.computeRounded(computeCpuMicros(load) / computeCpuMicros(baselineLoads[round]!)),
      ),
    };
  } finally {
    await baseline.stop('SIGKILL');
    await fleet.stop();
  }
}

Outputs.runBench(measureRelay);
