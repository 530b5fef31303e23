/**
 * Plays loads that exceed what engines can serve over routers as processes, prints what callers get by
 * route and by organisation, and checks the records of callers and engines.
 */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';

import { Command, Option } from 'commander';

import * as Callers from './contention/callers';
import type { ListedRouter } from './contention/callers';
import * as Checks from './contention/checks';
import * as Configurations from './contention/configuration';
import * as Fleets from './contention/fleet';
import type { ManagedRouter } from './contention/fleet';
import type { Caller, RouterFault, RouterFaultKind } from './contention/records';
import * as Scenarios from './contention/scenarios';
import type { Scenario } from './contention/scenarios';
import * as Summaries from './contention/summary';
import * as Outputs from './output';

interface Arguments {
  readonly scenario: string;
  readonly seed: string;
  readonly seconds: string;
  readonly scale: string;
  readonly warmUp: string;
  readonly records?: string;
  readonly routers: string;
  readonly engines: string;
  readonly slots: string;
  readonly slowEngines: string;
  readonly kvTokens: string;
  readonly preempt?: boolean;
  readonly fault?: RouterFaultKind;
  readonly daemon: string;
}

const ALL = 'all';
const MS_PER_SECOND = 1_000;
const NANOS_PER_MS = 1_000_000;
/** Time after the last caller in which engines must notice that it has left. */
const CANCELLATION_MS = 700;
const MAX_PRINTED_VIOLATIONS = 20;
const LOST_ENGINE_SHARE = 1 / 3;
const DAEMON = path.resolve(__dirname, '../../platform/lib/main.js');

const START_MS = 1_000;

async function waitUntil(atMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, atMs - performance.now()));
  });
}

function computeConcurrency(slots: number, kvTokens: number): number {
  const { PROMPT_TOKENS, EVENT_COUNT, TOKENS_PER_EVENT } = Configurations;
  return Math.min(slots, Math.floor(kvTokens / (PROMPT_TOKENS + EVENT_COUNT * TOKENS_PER_EVENT)));
}

function createPicker(
  routers: readonly ManagedRouter[],
): (except: number | undefined) => ListedRouter {
  let turn = 0;
  return (except) => {
    const listed = routers.flatMap((router) => router.getListed() ?? []);
    const others = listed.filter(({ router }) => router !== except);
    const pool = others.length > 0 ? others : listed;
    turn += 1;
    const picked = pool[turn % pool.length];
    if (picked === undefined) throw new Error('no router serves');
    return picked;
  };
}

async function runLoss(
  { loss }: Scenario,
  engines: readonly Fleets.ManagedEngine[],
  startMs: number,
): Promise<void> {
  if (loss === undefined) return;
  const lost = engines.slice(-Math.round(engines.length * LOST_ENGINE_SHARE));
  await waitUntil(startMs + loss.fromMs);
  await Promise.all(lost.map((engine) => engine.stop()));
  await waitUntil(startMs + loss.untilMs);
  await Promise.all(lost.map((engine) => engine.restart()));
}

function computeLostShare({ loss }: Scenario, engines: number, durationMs: number): number {
  if (loss === undefined) return 0;
  const lostMs = Math.max(0, Math.min(loss.untilMs, durationMs) - loss.fromMs);
  return (Math.round(engines * LOST_ENGINE_SHARE) / engines) * (lostMs / durationMs);
}

async function runScenario(base: Scenario, args: Arguments) {
  const scale = Number(args.scale);
  const scenario = Scenarios.createScaled(base, scale);
  const timing = Configurations.createTiming(scale);
  const { patienceMs } = timing;
  const durationMs = Number(args.seconds) * scale * MS_PER_SECOND;
  const slots = Number(args.slots);
  const kvTokens = Number(args.kvTokens);
  const fleet = await Fleets.startFleet({
    daemon: path.resolve(args.daemon),
    routers: Number(args.routers),
    engines: Number(args.engines),
    slots,
    kvTokens,
    preempts: args.preempt === true,
    slowEngines: Number(args.slowEngines),
    timing,
  });
  const pickRouter = createPicker(fleet.routers);
  const callers = Callers.createCallers({ patienceMs, pickRouter });
  try {
    const speed = fleet.engines.reduce((sum, { slowness }) => sum + 1 / slowness, 0);
    const concurrency = computeConcurrency(slots, kvTokens);
    const seed = Number(args.seed);
    const capacityPerSecond = (speed * concurrency * MS_PER_SECOND) / timing.runMs;
    const warmUpMs = Number(args.warmUp) * scale * MS_PER_SECOND;
    const earlyArrivals = Scenarios.createArrivals({
      scenario: Scenarios.findScenario('calm'),
      seed: seed + 1,
      durationMs: warmUpMs,
      capacityPerSecond,
    });
    const arrivals = Scenarios.createArrivals({ scenario, seed, durationMs, capacityPerSecond });
    const delays = monitorEventLoopDelay({ resolution: 10 });
    delays.enable();
    const startMs = performance.now() + START_MS + warmUpMs;
    const untilMs = startMs + durationMs;
    const faults: RouterFault[] = [];

    async function runFault(): Promise<void> {
      const [router] = fleet.routers;
      if (args.fault === undefined || router === undefined) return;
      await waitUntil(startMs + durationMs / 2);
      faults.push(await router.applyFault(args.fault));
    }

    const disturbances = Promise.all([runLoss(scenario, fleet.engines, startMs), runFault()]);
    const early: Promise<Caller>[] = [];
    for (const arrival of earlyArrivals) {
      await waitUntil(startMs - warmUpMs + arrival.atMs);
      early.push(callers.runCaller(arrival));
    }
    const running: Promise<Caller>[] = [];
    for (const arrival of arrivals) {
      await waitUntil(startMs + arrival.atMs);
      running.push(callers.runCaller(arrival));
    }
    const results = await Promise.all(running);
    const earlyResults = await Promise.all(early);
    await disturbances;
    await waitUntil(performance.now() + CANCELLATION_MS);
    delays.disable();
    const engines = fleet.listEngineRecords();
    const allResults = [...earlyResults, ...results];
    const records = {
      callers: allResults,
      engines,
      faults,
      eventCount: Configurations.EVENT_COUNT,
    };
    const violations = [...Checks.checkRecords(records, { patienceMs })];
    if (args.records !== undefined) {
      writeFileSync(args.records, JSON.stringify({ startMs, ...records }));
    }
    const share = 1 - computeLostShare(scenario, fleet.engines.length, durationMs);
    const availableSlotMs = fleet.engines.length * concurrency * durationMs * share;
    return {
      scenario: scenario.name,
      seed,
      scale,
      ...(args.fault === undefined ? {} : { fault: args.fault }),
      ...Summaries.createCallerTables(results, timing.objectivesMs),
      engines: Summaries.buildEngineSummary(engines, {
        fromMs: startMs,
        untilMs,
        availableSlotMs,
      }),
      /** Delays of this process, which also runs the stand-ins, make first events later. */
      loopDelayP99Ms: Math.round(delays.percentile(99) / NANOS_PER_MS),
      violationCount: violations.length,
      violations: violations.slice(0, MAX_PRINTED_VIOLATIONS),
    };
  } finally {
    await callers.close();
    await fleet.stop();
  }
}

const program = new Command('contention')
  .addOption(
    new Option('--scenario <name>', 'load to play')
      .choices([...Scenarios.SCENARIOS.map(({ name }) => name), ALL])
      .default(ALL),
  )
  .option('--seed <number>', 'seed of the arrivals', '1')
  .option('--seconds <number>', 'time in which callers arrive, before the scale', '15')
  .option('--scale <number>', 'factor on all times; 4 gives about those of the deployments', '1')
  .option('--warm-up <number>', 'seconds of calm load before, not in the tables', '5')
  .option('--records <file>', 'file for the records of the last scenario')
  .option('--routers <number>', 'number of router processes', '5')
  .option('--engines <number>', 'number of engines', '12')
  .option('--slots <number>', 'slots of an engine', '6')
  .option('--slow-engines <number>', 'engines at half the speed of the others', '0')
  .option('--kv-tokens <number>', 'tokens in the KV cache of an engine', '88000')
  .option('--preempt', 'engines preempt runs where tokens are short')
  .addOption(
    new Option('--fault <kind>', 'fault of one router in the middle').choices([
      'kill',
      'terminate',
      'pause',
    ]),
  )
  .option('--daemon <file>', 'program file of the routers', DAEMON)
  .option('--json', 'print JSON');

async function measureContention(): Promise<Outputs.Result> {
  const args = program.parse().opts<Arguments>();
  const scenarios =
    args.scenario === ALL ? Scenarios.SCENARIOS : [Scenarios.findScenario(args.scenario)];
  const results: Record<string, unknown> = {};
  for (const scenario of scenarios) {
    const result = await runScenario(scenario, args);
    results[scenario.name] = result;
    if (result.violationCount > 0) process.exitCode = 1;
    if (!process.argv.includes('--json')) Outputs.printResult(result);
  }
  return process.argv.includes('--json') ? results : {};
}

Outputs.runBench(measureContention);
