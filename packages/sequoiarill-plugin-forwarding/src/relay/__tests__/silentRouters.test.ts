import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as FullAnswers from '../../answers/fullAnswer';
import type { ForwardOutcome, ForwardRequest } from '../../forwardRequest';
import * as Simulation from '../../streams/__tests__/simulateStream';
import type { CallEvent } from '../../targets/targetCall';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import { RELAY_HEADERS } from '../relayHeaders';

const TARGETS = ['o1', 'o2', 'o3'].map((id, index) =>
  Fakes.createTarget(id, { service: 'orders', zone: ['a', 'b', 'c'][index] ?? '' }),
);
const ROUTERS = ['r1', 'r2', 'r3'].map((name) => ({
  address: `${name}:1`,
  relayAddress: `${name}:2`,
  zone: 'a',
}));
const BODY: CallEvent = { kind: 'data', chunk: Buffer.from('done') };
const SILENCE: Script = [];

function createHead(status: number, headers: Readonly<Record<string, string>> = {}): CallEvent {
  return Fakes.createHead(status, { [RELAY_HEADERS.version]: '1', ...headers });
}

const ANSWERED: Script = [
  [20, createHead(200)],
  [20, BODY],
  [20, { kind: 'end' }],
];

function createOrder(retryPolicy: 'once' | 'idempotent') {
  const route = Fakes.createRoute({
    retryPolicy,
    isStream: false,
    hasPrompt: false,
    timeoutMs: 4_000,
    objectiveMs: 400,
    maxTargets: 3,
    shares: [{ service: 'orders', weight: 1 }],
  });
  return { ...Fakes.createRequest(route), apiKey: 'key-1' };
}

async function runOrder(
  fakes: FakeDependencies,
  request: ForwardRequest,
): Promise<{ readonly outcome: ForwardOutcome | undefined; readonly tookMs: number }> {
  const startedMs = fakes.clock.getNowMs();
  let outcome: ForwardOutcome | undefined;
  let tookMs = Number.POSITIVE_INFINITY;
  const running = FullAnswers.runFullAnswer(fakes.dependencies, {
    ...request,
    arrivedAtMs: startedMs,
    expiresAtMs: startedMs + request.route.timeoutMs,
  }).then((result) => {
    outcome = result;
    tookMs = fakes.clock.getNowMs() - startedMs;
  });
  for (let step = 0; step < 500 && outcome === undefined; step += 1) await fakes.clock.runFor(10);
  await running;
  return { outcome, tookMs };
}

/** The first hop goes to a router with the first script, and so on; each of them seems gone. */
function createHops(scripts: readonly Script[]): {
  readonly fakes: FakeDependencies;
  readonly hops: readonly string[];
} {
  const hops: string[] = [];
  const fakes: FakeDependencies = Fakes.createFakeDependencies((name) => {
    if (!name.startsWith('r')) return SILENCE;
    fakes.goneRouters.add(name);
    hops.push(name);
    return scripts[hops.length - 1] ?? SILENCE;
  });
  fakes.setTargets(TARGETS);
  TARGETS.forEach(({ id }) => fakes.unreachable.add(id));
  fakes.otherRouters.push(...ROUTERS);
  return { fakes, hops };
}

/** Without a request that goes through another router. */
async function injectLostPath(fakes: FakeDependencies): Promise<void> {
  TARGETS.forEach(fakes.dependencies.paths.recordLoss);
  await fakes.clock.runFor(400);
}

describe('a plain request at another router that is silent', () => {
  it('leaves a router that is gone for another one before the time limit', async () => {
    // Guards against requests that wait for a router that was cut off in the middle of them.
    const { fakes, hops } = createHops([SILENCE, ANSWERED]);
    const { outcome, tookMs } = await runOrder(fakes, createOrder('idempotent'));
    expect([outcome?.kind, hops.length]).toEqual(['answer', 2]);
    expect(tookMs).toBeLessThanOrEqual(1_500);
  });

  it('stays with the router that has it where it must not run twice, also where that one seems gone', async () => {
    // Guards against a failure of requests whose answer still comes.
    const answered: Script = ANSWERED.map(([afterMs, event]) => [afterMs + 2_000, event] as const);
    const { fakes, hops } = createHops([answered]);
    await injectLostPath(fakes);
    const { outcome } = await runOrder(fakes, createOrder('once'));
    expect([outcome?.kind, hops.length]).toEqual(['answer', 1]);
  });

  it('stays with a router that leaves a connection attempt without response for a moment', async () => {
    // Guards against hops that are given up because a machine is busy for a tenth of a second.
    const late: Script = ANSWERED.map(([afterMs, event]) => [afterMs + 1_500, event] as const);
    const { fakes, hops } = createHops([late, ANSWERED]);
    await injectLostPath(fakes);
    fakes.clock.waitMs(650).then(() => fakes.goneRouters.clear());
    const { outcome } = await runOrder(fakes, createOrder('idempotent'));
    expect([outcome?.kind, hops.length]).toEqual(['answer', 1]);
  });
});

const EVENTS = 40;
const STREAM_HEAD = Fakes.createHead(200, {
  [RELAY_HEADERS.version]: '1',
  [RELAY_HEADERS.models]: 'm%201',
  [RELAY_HEADERS.targetVersion]: 'v1',
});

/** The run of another router, which is silent after its tenth event for so long. */
function createSilentRun(headers: Readonly<Record<string, string>>, silenceMs: number): Script {
  const from = Number(headers.last ?? 0) + 1;
  const run: Script = [
    [10, STREAM_HEAD],
    ...Fakes.createEvents(from, EVENTS, 10, 20),
    [20 + 10 * (EVENTS + 1 - from), Simulation.END],
  ];
  return run.map(([afterMs, event]) => [afterMs > 120 ? afterMs + silenceMs : afterMs, event]);
}

/** A stream that goes on at another router, which seems gone for so long from the start of the hop. */
async function simulateHop(goneMs: number, hasRepeats: boolean) {
  const hops: string[] = [];
  const fake: FakeDependencies = Fakes.createFakeDependencies((name, headers) => {
    if (name.startsWith('r')) {
      hops.push(name);
      fake.goneRouters.add(name);
      fake.clock.waitMs(goneMs).then(
        () => fake.goneRouters.clear(),
        () => undefined,
      );
      const budget = fake.dependencies.getBudget('engines');
      if (!hasRepeats) budget.grantQuota(fake.clock.getNowMs(), Number.POSITIVE_INFINITY);
      return createSilentRun(headers, hops.length > 1 ? 0 : 2_000);
    }
    engines.forEach(({ id }) => {
      fake.reports.delete(id);
      fake.unreachable.add(id);
    });
    return [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 5, 30, 60)];
  });
  const engines = ['a1', 'b1'].map((id) => Fakes.createTarget(id, { zone: id.slice(0, 1) }));
  fake.setTargets(engines);
  engines.forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
  fake.otherRouters.push(...ROUTERS);
  const result = await Simulation.simulateStream(fake);
  const hopCalls = fake.sentCalls.filter(({ target }) => target.startsWith('r'));
  return { ...result, hops, hopTimes: hopCalls.map(({ atMs }) => atMs) };
}

/** A stream that must go on at other routers, which refuse it for so long. */
async function simulateRefusals(refusedMs: number) {
  let firstHopMs: number | undefined;
  const fake: FakeDependencies = Fakes.createFakeDependencies((name, headers) => {
    if (name.startsWith('r')) {
      firstHopMs ??= fake.clock.getNowMs();
      if (fake.clock.getNowMs() - firstHopMs >= refusedMs) return createSilentRun(headers, 0);
      const refusal = { [RELAY_HEADERS.version]: '1', [RELAY_HEADERS.refused]: 'refused' };
      return [
        [1, Fakes.createHead(503, { ...refusal, signature: '' })],
        [1, { kind: 'end' }],
      ];
    }
    engines.forEach(({ id }) => {
      fake.reports.delete(id);
      fake.unreachable.add(id);
    });
    return [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 5, 30, 60)];
  });
  const engines = ['a1', 'b1'].map((id) => Fakes.createTarget(id, { zone: id.slice(0, 1) }));
  fake.setTargets(engines);
  engines.forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
  fake.otherRouters.push(...ROUTERS);
  let retries = 0;
  const budget = fake.dependencies.getBudget('engines');
  const countedBudget: typeof budget = {
    ...budget,
    takeRetry(nowMs) {
      const isTaken = budget.takeRetry(nowMs);
      if (isTaken) retries += 1;
      return isTaken;
    },
    releaseRetry() {
      retries -= 1;
      budget.releaseRetry();
    },
  };
  const dependencies = { ...fake.dependencies, getBudget: () => countedBudget };
  const result = await Simulation.simulateStream({ ...fake, dependencies });
  const hops = fake.sentCalls.filter(({ target }) => target.startsWith('r'));
  const directSends = fake.sentCalls.length - hops.length;
  return { ...result, hops: hops.length, retries, directSends };
}

describe('a stream at another router that is silent', () => {
  it('stays there where one connection attempt gets no response', async () => {
    // Guards against a prompt that is read again because a machine is busy for a tenth of a second.
    const { text, hops } = await simulateHop(800, true);
    expect([text, hops.length]).toEqual([Simulation.formatAll(EVENTS), 1]);
  });

  it('stays there while no repeat is left', async () => {
    // Guards against the end of a stream whose next event still comes.
    const { text, hops } = await simulateHop(60_000, false);
    expect([text, hops.length]).toEqual([Simulation.formatAll(EVENTS), 1]);
  });

  it('goes on through a third router where the other one is gone', async () => {
    const { text, hops, hopTimes } = await simulateHop(60_000, true);
    expect([text, hops.length]).toEqual([Simulation.formatAll(EVENTS), 2]);
    const [first = 0, second = 0] = hopTimes;
    expect(second - first).toBeLessThanOrEqual(1_000);
  });

  it('goes on once another router takes it, and spends no repeat on refusals', async () => {
    // Guards against the end of a begun stream while the engines of all routers are silent for a moment.
    const { text, hops, retries, directSends } = await simulateRefusals(2_500);
    expect(text).toEqual(Simulation.formatAll(EVENTS));
    // One for each engine after the first, and one for the hop.
    expect(retries).toEqual(directSends);
    expect(hops).toBeLessThanOrEqual(20);
  });
});
