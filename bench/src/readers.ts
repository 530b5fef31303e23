/**
 * Measures a router's memory, and what fast callers get, beside callers that read large answers slowly or not
 * at all.
 */
import { setMaxListeners } from 'node:events';
import { readFileSync } from 'node:fs';
import path from 'node:path';

import * as Standins from '@sequoiarill/standins';
import * as Testing from '@sequoiarill/testing';
import type { StartedRouter } from '@sequoiarill/testing';
import { Command } from 'commander';

import * as Outputs from './output';
import * as Readers from './readers/callers';
import type { ReadResult } from './readers/callers';
import * as Checks from './readers/checks';
import * as Targets from './readers/targets';

interface Arguments {
  readonly callers: string;
  readonly seconds: string;
  readonly limitMb: string;
  readonly stopMb: string;
  readonly memoryMb?: string;
  readonly daemon: string;
}

const API_KEY = 'key-of-readers';
const TARGETS = 4;
const NODE_OPTIONS = ['--max-old-space-size=96', '--max-semi-space-size=2'];
const DAEMON = path.resolve(__dirname, '../../platform/lib/main.js');
const SLOW_BYTES_PER_SECOND = 60_000;
/** Within this time all slow callers have arrived. */
const ARRIVAL_MS = 3_000;
const SAMPLE_MS = 100;
const FAST_INTERVAL_MS = 20;
const FAST_LIMIT_MS = 2_000;
/** One of so many fast callers reads a large answer, and another one that breaks off. */
const LARGE_INTERVAL = 50;
const TIMEOUT_MS = 200_000;
const KB_PER_MB = 1_024;
const BYTES_PER_KB = 1_024;
const MS_PER_SECOND = 1_000;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });
}

function formatConfiguration(): string {
  const document = Standins.createConfiguration(1, { apiKeys: [API_KEY], timeoutMs: TIMEOUT_MS });
  const services = [{ name: 'orders', maxConnections: 2_000 }];
  const routes = (document.routes as readonly { readonly service: string }[]).filter(
    ({ service }) => service === 'orders',
  );
  return JSON.stringify({ ...document, services, routes });
}

function formatSettings(store: string, memoryMb: string | undefined): string {
  const memory = memoryMb === undefined ? '' : `\nmemoryMb = ${memoryMb}`;
  return [
    `[process]\nname = router-0\nzone = zone-a\nregion = here${memory}`,
    `[adapter]\nstore = ${store}`,
    '[directory]\nlisten = 127.0.0.1:0',
    '[forwarding]\nlisten = 127.0.0.1:0\nreadinessListen = 127.0.0.1:0',
  ].join('\n\n');
}

async function startEnvironment(args: Arguments) {
  const store = Standins.createStoreStandin();
  const storeAddress = await store.start();
  store.writeValue(Standins.CONFIGURATION_KEY, formatConfiguration());
  const targets: Targets.PlainTarget[] = [];
  for (let index = 0; index < TARGETS; index += 1) {
    const id = `orders-${index}`;
    const target = await Targets.startPlainTarget(id);
    targets.push(target);
    const entry = { service: 'orders', address: target.address, zone: 'zone-a' } as const;
    const state = { version: 'v1', slots: 1_000, state: 'ready', startedAtUnixMs: 1 } as const;
    store.writeValue(
      Standins.formatTargetKey(id),
      Standins.formatTargetEntry({ ...entry, ...state }),
    );
  }
  const settings = formatSettings(storeAddress, args.memoryMb);
  const router = Testing.startUserRouter(path.resolve(args.daemon), settings, NODE_OPTIONS);
  await router.start;
  await router.waitForLine(
    ({ name, known }) => name === 'directory.targetsChanged' && known === TARGETS,
  );
  return { store, targets, router };
}

/** Resident memory of a process; undefined when it has ended. */
function readMemoryMB({ process: child }: StartedRouter, field: string): number | undefined {
  try {
    const status = readFileSync(`/proc/${child.pid ?? 0}/status`, 'utf8');
    const kilobytes = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1];
    return kilobytes === undefined ? undefined : Math.round(Number(kilobytes) / KB_PER_MB);
  } catch {
    return undefined;
  }
}

function buildSummary(results: readonly ReadResult[]) {
  const served = results.filter(Checks.isServed);
  const durations = served.map(({ durationMs }) => durationMs).sort((a, b) => a - b);
  const getDuration = (share: number) =>
    Math.round(durations[Math.floor(durations.length * share)] ?? 0);
  const counts = {
    asked: results.length,
    served: served.length,
    refused: results.filter(({ status }) => status === 503 || status === 429).length,
    /** The answer had begun and ended by the router, or it did not begin. */
    cut: results.filter((one) => one.status === 200 && !one.isComplete && !one.hasLeft).length,
    unanswered: results.filter(({ status, hasLeft }) => status === undefined && !hasLeft).length,
    open: results.filter(({ hasLeft, isComplete }) => hasLeft && !isComplete).length,
  };
  const readBytes = results.reduce((sum, { bytes }) => sum + bytes, 0);
  const meanKB = Math.round(readBytes / BYTES_PER_KB / Math.max(1, results.length));
  return { ...counts, meanKB, p50Ms: getDuration(0.5), p99Ms: getDuration(0.99) };
}

async function runLoad(router: StartedRouter, args: Arguments) {
  const ending = new AbortController();
  const { signal } = ending;
  setMaxListeners(0, signal);
  const { address } = router;
  const startMs = performance.now();
  const endMs = startMs + ARRIVAL_MS + Number(args.seconds) * MS_PER_SECOND;
  const slow: Promise<ReadResult>[] = [];
  const small: Promise<ReadResult>[] = [];
  const large: Promise<ReadResult>[] = [];
  const broken: Promise<ReadResult>[] = [];
  let peakMB = 0;
  let isOverLimit = false;
  let hasExited = false;
  router.exited.then(
    () => {
      hasExited = true;
      ending.abort();
    },
    () => undefined,
  );

  async function runSlow(): Promise<void> {
    const count = Number(args.callers);
    for (let index = 0; index < count && !signal.aborted; index += 1) {
      const bytesPerSecond = index % 2 === 0 ? SLOW_BYTES_PER_SECOND : 0;
      const target = index % 4 < 2 ? Targets.PATHS.large : Targets.PATHS.chunked;
      const common = { address, path: target, apiKey: API_KEY, limitMs: TIMEOUT_MS, signal };
      slow.push(Readers.runReader({ ...common, id: `slow-${index}`, bytesPerSecond }));
      await waitMs(startMs + (index * ARRIVAL_MS) / count - performance.now());
    }
  }

  async function runFast(): Promise<void> {
    const common = { address, apiKey: API_KEY, limitMs: FAST_LIMIT_MS, bytesPerSecond: undefined };
    const sendTo = (results: Promise<ReadResult>[], id: string, target: string) => {
      const leaving = AbortSignal.any([signal, AbortSignal.timeout(FAST_LIMIT_MS)]);
      results.push(Readers.runReader({ ...common, id, path: target, signal: leaving }));
    };
    for (let index = 0; performance.now() < endMs && !signal.aborted; index += 1) {
      sendTo(small, `small-${index}`, Targets.PATHS.small);
      if (index % LARGE_INTERVAL === 0) sendTo(large, `large-${index}`, Targets.PATHS.large);
      if (index % LARGE_INTERVAL === 1) sendTo(broken, `broken-${index}`, Targets.PATHS.broken);
      await waitMs(FAST_INTERVAL_MS);
    }
    await Promise.all([...small, ...large, ...broken]);
  }

  const sampling = setInterval(() => {
    const memoryMB = readMemoryMB(router, 'VmRSS') ?? 0;
    peakMB = Math.max(peakMB, memoryMB);
    if (memoryMB > Number(args.stopMb)) {
      isOverLimit = true;
      router.process.kill('SIGKILL');
    }
  }, SAMPLE_MS);
  const idleMB = readMemoryMB(router, 'VmRSS') ?? 0;
  await Promise.all([runSlow(), runFast()]);
  const endMB = readMemoryMB(router, 'VmRSS') ?? 0;
  peakMB = Math.max(peakMB, readMemoryMB(router, 'VmHWM') ?? 0);
  const wasLost = hasExited && !isOverLimit;
  ending.abort();
  clearInterval(sampling);
  return {
    memory: { idleMB, peakMB, endMB, isOverLimit },
    hasExited: wasLost,
    slow: await Promise.all(slow),
    small: await Promise.all(small),
    large: await Promise.all(large),
    broken: await Promise.all(broken),
  };
}

const program = new Command('readers')
  .option('--callers <number>', 'callers that read 60 KB/s or nothing', '300')
  .option('--seconds <number>', 'time for which they stay', '15')
  .option('--limit-mb <number>', 'memory that the router may use', '186')
  .option('--stop-mb <number>', 'memory at which the router is killed', '1500')
  .option('--memory-mb <number>', 'setting `[process] memoryMb` of the router')
  .option('--daemon <file>', 'program file of the router', DAEMON)
  .option('--json', 'print JSON');

async function measureReaders(): Promise<Outputs.Result> {
  const args = program.parse().opts<Arguments>();
  const { store, targets, router } = await startEnvironment(args);
  try {
    const { memory, hasExited, slow, small, large, broken } = await runLoad(router, args);
    const violations = [
      ...Checks.checkReaders({
        results: [...slow, ...large, ...broken],
        fast: small,
        peakMB: memory.peakMB,
        limitMB: Number(args.limitMb),
        hasExited,
      }),
    ];
    if (violations.length > 0) process.exitCode = 1;
    const rows = Object.entries({ slow, small, large, broken });
    return {
      callers: Number(args.callers),
      memory,
      results: rows.map(([name, results]) => ({ name, ...buildSummary(results) })),
      violationCount: violations.length,
      violations: violations.slice(0, 20),
    };
  } finally {
    router.process.kill('SIGKILL');
    await router.exited;
    await Promise.all(targets.map((target) => target.stop()));
    await store.stop();
  }
}

Outputs.runBench(measureReaders);
