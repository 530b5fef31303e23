/**
 * Lets two engines and a plain target send bytes without end beneath routers as processes with the settings that ship,
 * and prints what becomes of requests, of the flows and of the routers.
 */
import path from 'node:path';
import { readFileSync } from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';

import * as Standins from '@sequoiarill/standins';
import type { EndlessForm, EndlessScope, ServiceName, TargetStandin } from '@sequoiarill/standins';
import { Command } from 'commander';
import * as Undici from 'undici';

import * as Fleets from './contention/fleet';
import * as Outputs from './output';

type Fleet = Awaited<ReturnType<typeof Fleets.startFleet>>;

type Kind = 'stream' | 'read' | 'order';

interface Row {
  readonly name: string;
  readonly forms: readonly EndlessForm[];
  /** Answers that never end; those to requests alone unless given. */
  readonly scopes?: readonly EndlessScope[];
}

interface Answer {
  readonly kind: Kind;
  readonly id: string;
  /** Undefined: the connection ended without an answer. */
  readonly status: number | undefined;
  readonly isWhole: boolean;
  readonly tookMs: number;
}

interface Arguments {
  readonly row?: string;
  readonly seconds: string;
  readonly each: string;
  readonly bytesPerSecond: string;
  readonly daemon: string;
}

interface ProcessUse {
  readonly peakMb: number;
  readonly cpuS: number;
}

const DAEMON = path.resolve(__dirname, '../../platform/lib/main.js');
const API_KEY = 'key-of-a-shop';
const ROUTERS = 3;
/** Engines that serve; others and the plain targets are added to the fleet. */
const SOUND_ENGINES = 7;
const FLOODING_ENGINES = 2;
const PLAIN_TARGETS = 3;
const SLOTS = 8;
const EVENT_MS = 30;
const EVENT_COUNT = 20;
const LIMIT_MS = 6_000;
/** Callers leave after this, which no request should need. */
const GIVE_UP_MS = 25_000;
/** Time in which routers learn of the targets that were added. */
const START_MS = 1_500;
const CLOSE_MS = 3_000;
const CALM_MS = 1_000;
const OK = 200;
const KINDS: readonly Kind[] = ['stream', 'read', 'order'];
const SHIPPED = {
  memoryMb: 186,
  nodeArguments: ['--max-old-space-size=96', '--max-semi-space-size=2'],
} as const;
/** Unit of the processor times in `/proc`, per second. */
const TICKS_PER_SECOND = 100;
const KB_PER_MB = 1_024;

const ALL_SCOPES: readonly EndlessScope[] = [
  'requests',
  'reports',
  'statusChecks',
  'cacheListings',
  'copyCommands',
];
const ROWS: readonly Row[] = [
  { name: 'calm', forms: [] },
  ...Standins.ENDLESS_FORMS.map((form) => ({ name: form, forms: [form] })),
  { name: 'all', forms: Standins.ENDLESS_FORMS },
  { name: 'all, calls of routers too', forms: Standins.ENDLESS_FORMS, scopes: ALL_SCOPES },
];

async function waitUntil(atMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, atMs - performance.now()));
  });
}

async function startTarget(
  { store }: Fleet,
  service: ServiceName,
  index: number,
): Promise<TargetStandin> {
  const target = Standins.createTargetStandin(`${service}-added-${index}`, {
    eventMs: EVENT_MS,
    eventCount: EVENT_COUNT,
  });
  const entry = {
    service,
    address: await target.start(),
    zone: index % 2 === 0 ? 'zone-a' : 'zone-b',
    version: 'v1',
    slots: SLOTS,
    state: 'ready',
    startedAtUnixMs: 1,
  } as const;
  store.writeValue(Standins.formatTargetKey(target.id), Standins.formatTargetEntry(entry));
  return target;
}

async function startFleet(daemon: string): Promise<Fleet> {
  const configuration = { apiKeys: [API_KEY], timeoutMs: LIMIT_MS };
  return Fleets.startFleet({
    ...SHIPPED,
    daemon: path.resolve(daemon),
    routers: ROUTERS,
    engines: SOUND_ENGINES,
    slots: SLOTS,
    kvTokens: 100_000,
    preempts: false,
    slowEngines: 0,
    timing: {
      eventMs: EVENT_MS,
      prefillTokensPerMs: 100,
      patienceMs: LIMIT_MS,
      objectivesMs: [],
      runMs: EVENT_MS * EVENT_COUNT,
    },
    eventCount: EVENT_COUNT,
    configuration: JSON.stringify(Standins.createConfiguration(1, configuration)),
  });
}

function getPath(kind: Kind): string {
  if (kind === 'stream') return '/advice/x';
  return kind === 'read' ? '/reads/x' : '/orders/x';
}

function isExpected(kind: Kind, id: string, text: string): boolean {
  if (kind !== 'stream') return text === `${id} got ${id}`;
  return Standins.selectNumberedEvents(text) === Standins.formatEvents(id, 1, EVENT_COUNT);
}

async function sendRequest(
  kind: Kind,
  id: string,
  address: string,
  agent: Undici.Agent,
): Promise<Answer> {
  const startedAtMs = performance.now();
  const caller = { requestId: id, apiKey: API_KEY, limitMs: LIMIT_MS };
  let status: number | undefined;
  let isWhole = false;
  try {
    const response = await Undici.request(`http://${address}${getPath(kind)}`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        ...Standins.createCallerHeaders(caller),
        ...(kind === 'stream' ? Standins.createStreamHeaders(id) : {}),
      },
      ...(kind === 'stream' ? {} : { body: id }),
      signal: AbortSignal.timeout(GIVE_UP_MS),
    });
    status = response.statusCode;
    const text = await response.body.text();
    isWhole = status === OK && isExpected(kind, id, text);
  } catch {
    // An answer without an end, or none.
  }
  return { kind, id, status, isWhole, tookMs: performance.now() - startedAtMs };
}

/** Sends one request of each kind at a time, to the routers in turn. */
async function sendRequests(
  { routers }: Fleet,
  { seconds, each }: Arguments,
): Promise<readonly Answer[]> {
  const agent = new Undici.Agent({ connections: 200, pipelining: 0 });
  const addresses = routers.flatMap((router) => router.getListed()?.address ?? []);
  const intervalMs = (Number(seconds) * 1_000) / Number(each);
  const startMs = performance.now();
  const sending: Promise<Answer>[] = [];
  for (let index = 0; index < Number(each); index += 1) {
    await waitUntil(startMs + index * intervalMs);
    const address = addresses[index % addresses.length] ?? '';
    KINDS.forEach((kind) => sending.push(sendRequest(kind, `${kind}-${index}`, address, agent)));
  }
  const answers = await Promise.all(sending);
  await agent.destroy();
  return answers;
}

function readProcessUse(id: number): ProcessUse {
  const status = readFileSync(`/proc/${id}/status`, 'utf8');
  const peakKb = Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]);
  const stat = readFileSync(`/proc/${id}/stat`, 'utf8');
  // User and system time are the 12th and 13th fields after the name, which ends with a parenthesis.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return { peakMb: peakKb / KB_PER_MB, cpuS: ticks / TICKS_PER_SECOND };
}

function listUses({ routers }: Fleet): readonly ProcessUse[] {
  return routers.flatMap((router) => {
    const id = router.getProcessId();
    return id === undefined ? [] : [readProcessUse(id)];
  });
}

function computePercentile(values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return value === undefined ? undefined : Math.round(value);
}

function buildSummary(answers: readonly Answer[], targets: readonly TargetStandin[]) {
  const nowMs = performance.now();
  const flows = targets.flatMap((target) => target.listEndlessFlows());
  const flooded = new Set(flows.map(({ requestId }) => requestId));
  const broken = answers.filter(({ isWhole }) => !isWhole);
  const count = (kind: Kind) => broken.filter((answer) => answer.kind === kind).length;
  const sound = answers.filter(({ id }) => !flooded.has(id)).map(({ tookMs }) => tookMs);
  const lengths = flows.map(({ startedAtMs, endedAtMs = nowMs }) => endedAtMs - startedAtMs);
  return {
    /** Without a whole answer. */
    streams: count('stream'),
    reads: count('read'),
    orders: count('order'),
    /** Of all these, without even a status. */
    unanswered: broken.filter(({ status }) => status === undefined).length,
    flows: flows.length,
    longestFlowS: Outputs.computeRounded(Math.max(0, ...lengths) / 1_000, 1),
    openAfter3S: flows.filter(({ endedAtMs }) => endedAtMs === undefined).length,
    /** Of requests that were at no target that sends without end. */
    soundP99Ms: computePercentile(sound, 0.99),
  };
}

async function measureRow(fleet: Fleet, row: Row, args: Arguments) {
  const { forms, scopes = ['requests'], name } = row;
  const bytesPerSecond = Number(args.bytesPerSecond);
  const targets: TargetStandin[] = [];
  try {
    for (let index = 0; index < FLOODING_ENGINES + PLAIN_TARGETS; index += 1) {
      const service = index < FLOODING_ENGINES ? 'engines' : 'orders';
      targets.push(await startTarget(fleet, service, index));
    }
    if (forms.length > 0) {
      const flooding = targets.slice(0, FLOODING_ENGINES + 1);
      flooding.forEach((target) => target.setEndless({ forms, scopes, bytesPerSecond }));
    }
    await waitUntil(performance.now() + START_MS);
    const delays = monitorEventLoopDelay();
    delays.enable();
    const answers = await sendRequests(fleet, args);
    await waitUntil(performance.now() + CLOSE_MS);
    delays.disable();
    const uses = listUses(fleet);
    return {
      name,
      ...buildSummary(answers, targets),
      peakMb: Math.round(Math.max(...uses.map(({ peakMb }) => peakMb))),
      /** Of the busiest router, with its start. */
      cpuS: Outputs.computeRounded(Math.max(...uses.map(({ cpuS }) => cpuS)), 1),
      /** Delays of this process, which plays callers and targets, are part of all times. */
      ownDelayP99Ms: Math.round(delays.percentile(99) / 1e6),
    };
  } finally {
    await Promise.all(targets.map((target) => target.stop()));
  }
}

async function runRow(row: Row, args: Arguments) {
  const fleet = await startFleet(args.daemon);
  try {
    return await measureRow(fleet, row, args);
  } finally {
    await fleet.stop();
    await waitUntil(performance.now() + CALM_MS);
  }
}

const program = new Command('floods')
  .option('--row <text>', 'plays only rows whose name contains this')
  .option('--seconds <number>', 'time in which requests are sent', '10')
  .option('--each <number>', 'number of streams, of reads and of orders', '200')
  .option('--bytes-per-second <number>', 'speed of a flow; Infinity: as fast as it goes', '1300000')
  .option('--daemon <file>', 'program file of the routers', DAEMON)
  .option('--json', 'print JSON');

async function measureFloods(): Promise<Outputs.Result> {
  const args = program.parse().opts<Arguments>();
  const rows = [];
  for (const row of ROWS.filter(({ name }) => name.includes(args.row ?? ''))) {
    rows.push(await runRow(row, args));
  }
  return { rows };
}

Outputs.runBench(measureFloods);
