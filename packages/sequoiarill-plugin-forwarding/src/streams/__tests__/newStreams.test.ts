import { describe, it } from 'node:test';

import type { EngineReport, ForwardingTarget } from '@sequoiarill/types';
import { expect } from 'earl';

import type { ForwardingDependencies } from '../../dependencies';
import { CONFIGURATION } from '../../__tests__/fakeConfiguration';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import * as StreamAnswers from '../streamAnswer';
import type { StreamOutcome } from '../streamPlan';
import * as Simulation from './simulateStream';

const ENGINES = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((id) =>
  Fakes.createTarget(id, { zone: id.slice(0, 1) }),
);
/** As of the probes of engines. */
const PROBE_TIMEOUT_MS = 250;
const PAUSE = { startMs: 1_000, endMs: 2_300 } as const;
const EVERY_MS = 25;
const ROUTE = Fakes.createRoute();

const BROKEN_RUN: Script = [
  [50, Fakes.createHead(200)],
  ...Fakes.createEvents(1, 50, 30, 60),
  [1_600, { kind: 'broken', reason: 'ECONNRESET' }],
];

const createRest = (last: number): Script => Simulation.createRun(last + 1, 60);

/** Without copies of runs, so that a stream which loses its engine asks for another one. */
const SERVICES = new Map(
  [...CONFIGURATION.services].map(([name, { engine, ...service }]) => [
    name,
    engine === undefined ? service : { ...service, engine: { ...engine, hasBackups: false } },
  ]),
);

/** Time for which an engine that is paused keeps what arrives now. */
function getDelayMs(fake: FakeDependencies): number {
  const nowMs = fake.clock.getNowMs();
  return nowMs < PAUSE.startMs || nowMs >= PAUSE.endMs ? 0 : PAUSE.endMs - nowMs;
}

/** Probes that record losses and signs of life; engines that are gone answer none. */
function createProbes(
  fake: FakeDependencies,
  gone: ReadonlySet<string>,
): ForwardingDependencies['readReport'] {
  const { clock, dependencies } = fake;
  const pending = new Map<string, Promise<EngineReport | undefined>>();

  async function runProbe(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const delayMs = gone.has(target.id) ? Number.POSITIVE_INFINITY : getDelayMs(fake);
    await clock.waitMs(Math.min(delayMs, PROBE_TIMEOUT_MS));
    pending.delete(target.id);
    if (delayMs > PROBE_TIMEOUT_MS) {
      dependencies.registry.recordLoss(target);
      return undefined;
    }
    dependencies.registry.recordAlive(target);
    return Fakes.IDLE_REPORT;
  }

  return async (target, limitMs) => {
    const probe = pending.get(target.id) ?? runProbe(target);
    pending.set(target.id, probe);
    return Promise.race([probe, clock.waitMs(limitMs).then(() => undefined)]);
  };
}

interface Arrival {
  readonly atMs: number;
  outcome: StreamOutcome | undefined;
  endedAtMs: number;
}

/** New streams arrive all the time at engines that run others and are paused together. */
async function simulateArrivals(gone: readonly string[] = []) {
  const fake: FakeDependencies = Fakes.createFakeDependencies((target, { last }) => {
    // The first stream loses its engine in the pause.
    if (fake.sentCalls.length === 1) return BROKEN_RUN;
    if (gone.includes(target)) return [];
    const delayMs = getDelayMs(fake);
    const run = last === undefined ? Simulation.createRun(1, 5) : createRest(Number(last));
    return run.map(([ms, event]) => [ms + delayMs, event] as const);
  });
  const dependencies = { ...fake.dependencies, readReport: createProbes(fake, new Set(gone)) };
  fake.setConfiguration({ ...CONFIGURATION, services: SERVICES });
  fake.setTargets(ENGINES);
  const runs = ENGINES.map((engine) => fake.dependencies.registry.recordStart(engine));
  ENGINES.forEach(({ id }) => {
    fake.pausedUntilMs.set(id, PAUSE.endMs);
    fake.contacts.set(id, gone.includes(id) ? 'unreachable' : 'accepts');
  });
  gone.forEach((id) => fake.unreachable.add(id));
  const arrivals: Arrival[] = [];

  async function runStream(arrival: Arrival): Promise<void> {
    const times = { arrivedAtMs: arrival.atMs, expiresAtMs: arrival.atMs + ROUTE.timeoutMs };
    const promptTokens = 100;
    const request = { ...Fakes.createRequest(ROUTE), ...times, promptTokens };
    const answer = StreamAnswers.runStreamAnswer(dependencies, request);
    let step = await answer.next();
    while (step.done !== true) step = await answer.next();
    arrival.outcome = step.value;
    arrival.endedAtMs = fake.clock.getNowMs();
  }

  for (let atMs = 0; atMs < PAUSE.endMs + 500; atMs += EVERY_MS) {
    const arrival: Arrival = { atMs, outcome: undefined, endedAtMs: Number.POSITIVE_INFINITY };
    arrivals.push(arrival);
    runStream(arrival).catch(() => undefined);
    await fake.clock.runFor(EVERY_MS);
  }
  await fake.clock.runFor(30_000);
  runs.forEach((recordEnd) => recordEnd());
  return { arrivals, fake };
}

const WAIT_MS = ROUTE.objectiveMs / 8;
/** Three rounds of reads of the engines' load, of 40 ms each, before the wait and at its end. */
const READS_MS = 120;

function selectRefused(arrivals: readonly Arrival[]): readonly Arrival[] {
  return arrivals.filter(({ outcome }) => outcome?.kind === 'refused');
}

describe('new streams at engines that are paused together', () => {
  it('are refused only where no engine answers for a while, and never at the end of the pause', async () => {
    // Guards against refusals of streams a few milliseconds before all engines go on.
    const { arrivals } = await simulateArrivals();
    const refused = selectRefused(arrivals);
    expect(refused.filter(({ atMs }) => atMs > PAUSE.endMs - WAIT_MS)).toEqual([]);
    expect(refused.filter(({ endedAtMs }) => endedAtMs > PAUSE.endMs)).toEqual([]);
    expect(
      refused.filter(({ atMs, endedAtMs }) => endedAtMs - atMs > WAIT_MS + 2 * READS_MS),
    ).toEqual([]);
    const late = arrivals.filter(({ atMs }) => atMs > PAUSE.endMs - WAIT_MS);
    expect(late.filter(({ outcome }) => outcome?.kind !== 'complete')).toEqual([]);
  });

  it('leave room for one that has begun, lost its engine meanwhile, and goes on after the pause', async () => {
    // Guards against the end of a stream for which no engine answers at the moment.
    const { arrivals } = await simulateArrivals();
    const [begun] = arrivals;
    expect(begun?.outcome?.kind).toEqual('complete');
    const afterMs = (begun?.endedAtMs ?? 0) - PAUSE.endMs;
    expect(afterMs).toBeGreaterThan(0);
    expect(afterMs).toBeLessThanOrEqual(500);
  });

  it('do not all go to the engine that answers first', async () => {
    const { fake } = await simulateArrivals();
    const sent = fake.sentCalls.filter(({ atMs }) => atMs >= PAUSE.endMs);
    const counts = ENGINES.map(({ id }) => sent.filter(({ target }) => target === id).length);
    expect(Math.max(...counts)).toBeLessThanOrEqual(sent.length / 2);
  });

  it('are refused at once where the engines are cut off', async () => {
    // Guards against callers that wait for engines which have ended.
    const { arrivals } = await simulateArrivals(ENGINES.map(({ id }) => id));
    const refused = selectRefused(arrivals);
    expect(refused.length).toBeGreaterThan(20);
    expect(refused.filter(({ atMs, endedAtMs }) => endedAtMs - atMs > 130)).toEqual([]);
  });
});
