/**
 * Lets engines fall silent together, like stopped processes that are continued later, beneath routers as
 * processes, and prints what becomes of streams whose callers have time enough and don't come back.
 */
import path from 'node:path';

import * as Standins from '@sequoiarill/standins';
import type { QueueingEngine } from '@sequoiarill/standins';
import * as Testing from '@sequoiarill/testing';
import type { DarkAddress } from '@sequoiarill/testing';
import { Command } from 'commander';
import * as Undici from 'undici';

import * as Fleets from './contention/fleet';
import * as Outputs from './output';

type Fleet = Awaited<ReturnType<typeof Fleets.startFleet>>;

/** `killed`: connections end; `hung`: it accepts connections; `dark`: nothing responds at its address. */
type Loss = 'killed' | 'hung' | 'dark';

interface Row {
  readonly name: string;
  /** Starts of the silences, milliseconds from the start of the load. */
  readonly silencesAtMs: readonly number[];
  readonly silenceMs: number;
  /** Share of the engines that are silent. */
  readonly share: number;
  readonly maxAttempts: number;
  /** What becomes of a third of the engines once the second silence has ended. */
  readonly loss?: Loss;
}

interface Answer {
  readonly id: string;
  /** Undefined: the connection ended without an answer. */
  readonly status: number | undefined;
  readonly text: string;
  readonly isComplete: boolean;
  readonly tookMs: number;
}

interface Arguments {
  readonly row?: string;
  readonly routers: string;
  readonly engines: string;
  readonly slots: string;
  readonly daemon: string;
}

const DAEMON = path.resolve(__dirname, '../../platform/lib/main.js');
const API_KEY = 'key-of-a-shop';
const EVENT_MS = 100;
const EVENT_COUNT = 60;
const PROMPT_TOKENS = 6_000;
const PREFILL_TOKENS_PER_MS = 100;
const KV_TOKENS = 100_000;
const RUN_MS = EVENT_MS * EVENT_COUNT;
/** Share of the room that the streams take. */
const LOAD = 0.5;
/** Time for which routers run before the first stream. */
const START_MS = 500;
const SEND_MS = 12_000;
const LIMIT_MS = 25_000;
/** Time from a change of the configuration to the silence. */
const CONFIGURATION_LEAD_MS = 600;
const LOST_SHARE = 1 / 3;
const OK = 200;
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const FOUR_SILENCES = {
  silencesAtMs: [2_000, 6_000, 10_000, 14_000],
  silenceMs: 1_300,
  share: 1,
  maxAttempts: 3,
} as const;
const ROWS: readonly Row[] = [
  { ...FOUR_SILENCES, name: 'calm', silencesAtMs: [] },
  { ...FOUR_SILENCES, name: 'all, four times 1.3 s' },
  { ...FOUR_SILENCES, name: 'all, four times 1.3 s, two attempts', maxAttempts: 2 },
  { ...FOUR_SILENCES, name: '0.6, four times 1.3 s', share: 0.6 },
  { ...FOUR_SILENCES, name: 'all, once for 3 s', silencesAtMs: [5_000], silenceMs: 3_000 },
  { ...FOUR_SILENCES, name: 'all, four times, a third killed', loss: 'killed' },
  { ...FOUR_SILENCES, name: 'all, four times, a third hung', loss: 'hung' },
  { ...FOUR_SILENCES, name: 'all, four times, a third dark', loss: 'dark' },
];

async function waitUntil(atMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, atMs - performance.now()));
  });
}

function formatConfiguration(version: number, maxAttempts: number): string {
  const options = { apiKeys: [API_KEY], timeoutMs: LIMIT_MS, maxAttempts };
  return JSON.stringify(Standins.createConfiguration(version, options));
}

async function startFleet({ routers, engines, slots, daemon }: Arguments, { maxAttempts }: Row) {
  return Fleets.startFleet({
    daemon: path.resolve(daemon),
    routers: Number(routers),
    engines: Number(engines),
    slots: Number(slots),
    kvTokens: KV_TOKENS,
    preempts: false,
    slowEngines: 0,
    timing: {
      eventMs: EVENT_MS,
      prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
      patienceMs: LIMIT_MS,
      objectivesMs: [],
      runMs: RUN_MS,
    },
    eventCount: EVENT_COUNT,
    configuration: formatConfiguration(1, maxAttempts),
  });
}

function listEngines({ engines }: Fleet): readonly QueueingEngine[] {
  return engines.flatMap((engine) => engine.listIncarnations());
}

async function sendStream(id: string, address: string, agent: Undici.Agent): Promise<Answer> {
  const startedAtMs = performance.now();
  const chunks: Buffer[] = [];
  let status: number | undefined;
  let isComplete = true;
  try {
    const response = await Undici.request(`http://${address}/advice/x`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        ...Standins.createCallerHeaders({ requestId: id, apiKey: API_KEY, limitMs: LIMIT_MS }),
        ...Standins.createStreamHeaders(id),
        'token-usage': `${PROMPT_TOKENS},${EVENT_COUNT}`,
        'prompt-prefix': `${id}:${PROMPT_TOKENS}`,
      },
    });
    status = response.statusCode;
    for await (const chunk of response.body as AsyncIterable<Buffer>) chunks.push(chunk);
  } catch {
    isComplete = false;
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return { id, status, text, isComplete, tookMs: performance.now() - startedAtMs };
}

async function sendStreams(
  fleet: Fleet,
  startMs: number,
  intervalMs: number,
): Promise<readonly Answer[]> {
  // Each stream has a connection of its own, as in the contention bench.
  const agent = new Undici.Agent({ pipelining: 0, bodyTimeout: 0, headersTimeout: 0 });
  const addresses = fleet.routers.flatMap((router) => router.getListed()?.address ?? []);
  const sending: Promise<Answer>[] = [];
  for (let index = 0; index * intervalMs < SEND_MS; index += 1) {
    await waitUntil(startMs + index * intervalMs);
    const address = addresses[index % addresses.length] ?? '';
    sending.push(sendStream(`s${index}`, address, agent));
  }
  const answers = await Promise.all(sending);
  await agent.destroy();
  return answers;
}

async function stopEngine(engine: QueueingEngine, loss: Loss): Promise<DarkAddress | undefined> {
  if (loss === 'killed') {
    await engine.stop();
    return undefined;
  }
  const address = await engine.start();
  engine.stopSilently(loss === 'dark');
  return loss === 'dark' ? Testing.openDarkAddress(address) : undefined;
}

/** Returns the addresses that the lost engines have left. */
async function runSilences(
  fleet: Fleet,
  { silencesAtMs, silenceMs, share, maxAttempts, loss }: Row,
  startMs: number,
): Promise<readonly DarkAddress[]> {
  const engines = listEngines(fleet);
  const silent = engines.slice(0, Math.round(engines.length * share));
  const left: (DarkAddress | undefined)[] = [];
  for (const [index, atMs] of silencesAtMs.entries()) {
    await waitUntil(startMs + atMs - CONFIGURATION_LEAD_MS);
    const configuration = formatConfiguration(index + 2, maxAttempts);
    fleet.store.writeValue(Standins.CONFIGURATION_KEY, configuration);
    await waitUntil(startMs + atMs);
    silent.forEach((engine) => engine.setSilent(true));
    await waitUntil(startMs + atMs + silenceMs);
    silent.forEach((engine) => engine.setSilent(false));
    if (index === 1 && loss !== undefined) {
      const lost = engines.slice(-Math.round(engines.length * LOST_SHARE));
      left.push(...(await Promise.all(lost.map((engine) => stopEngine(engine, loss)))));
    }
  }
  return left.filter((one) => one !== undefined);
}

function computePercentile(values: readonly number[], share: number): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return value === undefined ? undefined : Math.round(value);
}

function isWhole({ id, status, text, isComplete }: Answer): boolean {
  return status === OK && isComplete && text === Standins.formatEvents(id, 1, EVENT_COUNT);
}

function buildSummary(fleet: Fleet, { name }: Row, answers: readonly Answer[]) {
  const count = (isWanted: (answer: Answer) => boolean) => answers.filter(isWanted).length;
  const isRefused = ({ status = 0 }: Answer) => REFUSALS.has(status);
  const isClosed = ({ status, isComplete }: Answer) => status === OK && !isComplete;
  const whole = count(isWhole);
  const closed = count(isClosed);
  const refused = count(isRefused);
  const wrong = count((one) => one.status === OK && one.isComplete && !isWhole(one));
  const runs = listEngines(fleet).flatMap((engine) => engine.listRuns());
  const times = answers.filter(isWhole).map(({ tookMs }) => tookMs);
  return {
    name,
    sent: answers.length,
    whole,
    /** After a 200. */
    closed,
    /** Status 502 or 504, or no answer. */
    failed: answers.length - whole - closed - refused - wrong,
    refused,
    /** Complete with other bytes. */
    wrong,
    runs: runs.length,
    p50Ms: computePercentile(times, 0.5),
    p95Ms: computePercentile(times, 0.95),
  };
}

async function runRow(row: Row, args: Arguments) {
  const fleet = await startFleet(args, row);
  const intervalMs = RUN_MS / (Number(args.engines) * Number(args.slots) * LOAD);
  let left: readonly DarkAddress[] = [];
  try {
    const startMs = performance.now() + START_MS;
    const sending = sendStreams(fleet, startMs, intervalMs);
    left = await runSilences(fleet, row, startMs);
    return buildSummary(fleet, row, await sending);
  } finally {
    await fleet.stop();
    await Promise.all(left.map((address) => address.close()));
  }
}

const program = new Command('silences')
  .option('--row <text>', 'plays only rows whose name contains this')
  .option('--routers <number>', 'number of router processes', '5')
  .option('--engines <number>', 'number of engines', '12')
  .option('--slots <number>', 'slots of an engine', '12')
  .option('--daemon <file>', 'program file of the routers', DAEMON)
  .option('--json', 'print JSON');

async function measureSilences(): Promise<Outputs.Result> {
  const args = program.parse().opts<Arguments>();
  const rows = [];
  for (const row of ROWS.filter(({ name }) => name.includes(args.row ?? ''))) {
    rows.push(await runRow(row, args));
  }
  return { rows };
}

Outputs.runBench(measureSilences);
