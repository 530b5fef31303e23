import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as FullAnswers from '../../answers/fullAnswer';
import * as Simulation from '../../streams/__tests__/simulateStream';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import { RELAY_HEADERS } from '../relayHeaders';

const ROUTERS = ['r1', 'r2', 'r3'].map((name) => ({
  address: `${name}:1`,
  relayAddress: `${name}:2`,
  zone: 'a',
}));
const TARGETS = ['o1', 'o2', 'o3'].map((id) => Fakes.createTarget(id, { service: 'orders' }));
const ENGINES = ['a1', 'b1'].map((id) => Fakes.createTarget(id));
const SILENCE: Script = [];

/** The last answer of a router that has sent the request to targets so often. */
function createEnd(
  status: number,
  sends: number,
  headers: Readonly<Record<string, string>> = {},
): Script {
  const { kind, head } = Fakes.createHead(status, {
    signature: '',
    [RELAY_HEADERS.version]: '1',
    [RELAY_HEADERS.sends]: String(sends),
    ...headers,
  });
  const named = Object.entries(head.headers).filter(([, value]) => value !== '');
  return [
    [20, { kind, head: { ...head, headers: Object.fromEntries(named) } }],
    [20, { kind: 'end' }],
  ];
}

/** Reaches its targets through other routers only, which follow the chosen scripts, and are silent without one. */
function createPartitioned(
  chooseScript: (hop: number, allowed: number) => Script | undefined,
  targets: readonly ReturnType<typeof Fakes.createTarget>[],
) {
  const allowances: number[] = [];
  const fakes: FakeDependencies = Fakes.createFakeDependencies((name, headers) => {
    if (!name.startsWith('r')) return SILENCE;
    const allowed = Number(headers[RELAY_HEADERS.targetsLeft]);
    const script = chooseScript(allowances.length, allowed) ?? SILENCE;
    allowances.push(allowed);
    if (script.length === 0) fakes.goneRouters.add(name);
    return script;
  });
  fakes.setTargets(targets);
  targets.forEach(({ id }) => fakes.unreachable.add(id));
  fakes.otherRouters.push(...ROUTERS);
  return { fakes, allowances };
}

async function runRead(
  { clock, dependencies }: FakeDependencies,
  maxTargets: number,
  isPathLost = true,
): Promise<number> {
  const route = Fakes.createRoute({
    retryPolicy: 'idempotent',
    isStream: false,
    hasPrompt: false,
    timeoutMs: 10_000,
    objectiveMs: 400,
    maxTargets,
    shares: [{ service: 'orders', weight: 1 }],
  });
  if (isPathLost) TARGETS.forEach(dependencies.paths.recordLoss);
  await clock.runFor(400);
  const arrivedAtMs = clock.getNowMs();
  const request = { ...Fakes.createRequest(route), arrivedAtMs, expiresAtMs: arrivedAtMs + 10_000 };
  let isRunning = true;
  const running = FullAnswers.runFullAnswer(dependencies, request).finally(() => {
    isRunning = false;
  });
  while (isRunning) await clock.runFor(10);
  await running;
  return dependencies.getBudget('orders').getTotals(clock.getNowMs()).retries;
}

function computeSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function countDirect({ sentCalls }: FakeDependencies): number {
  return sentCalls.filter(({ target }) => !target.startsWith('r')).length;
}

describe('a request that goes through several routers', () => {
  for (const maxTargets of [1, 2, 3, 5]) {
    it(`may reach ${maxTargets} targets in all where each of them is lost`, async () => {
      // Guards against sends of a lost router that count as one, however many targets it was allowed.
      const { fakes, allowances } = createPartitioned(() => undefined, TARGETS);
      await runRead(fakes, maxTargets);
      expect(computeSum(allowances) + countDirect(fakes)).toBeLessThanOrEqual(maxTargets);
      expect(allowances.length).toBeGreaterThanOrEqual(1);
    });
  }

  it('counts the targets that others have asked in vain after its own', async () => {
    // Guards against routers that are asked one after another, and each may use what the first one may.
    const { fakes, allowances } = createPartitioned(
      (_hop, allowed) => createEnd(503, allowed, { [RELAY_HEADERS.refused]: 'refused' }),
      TARGETS,
    );
    await runRead(fakes, 3, false);
    expect(countDirect(fakes)).toBeGreaterThanOrEqual(1);
    expect(computeSum(allowances) + countDirect(fakes)).toBeLessThanOrEqual(3);
  });

  it('goes on with what the sends of the first one leave', async () => {
    // Guards against a router that has failed at two targets and counts as one send, or as more than two.
    const { fakes, allowances } = createPartitioned((hop) => [createEnd(502, 2)][hop], TARGETS);
    await runRead(fakes, 3);
    expect(allowances.slice(1)).toEqual([1]);
    expect(countDirect(fakes)).toEqual(0);
  });

  it('is repeated where the first one got a server error from the only target that it asked', async () => {
    // Guards against errors of a target that reach the caller because its router may not ask another one.
    const answered = createEnd(200, 1, { signature: 's' });
    const scripts = [createEnd(500, 1, { signature: 's' }), answered];
    const { fakes, allowances } = createPartitioned((hop) => scripts[hop], TARGETS);
    expect(await runRead(fakes, 2)).toEqual(1);
    expect(allowances.length).toEqual(2);
  });

  it('takes a repeat for the next send where targets have rejected it at the first one', async () => {
    // Guards against arrivals beyond the first that no budget has counted.
    const refusal = createEnd(503, 1, { [RELAY_HEADERS.refused]: 'unreachable' });
    const answered = createEnd(200, 1, { signature: 's' });
    const { fakes, allowances } = createPartitioned((hop) => [refusal, answered][hop], TARGETS);
    expect(await runRead(fakes, 3)).toEqual(1);
    expect(allowances.length).toEqual(2);
  });

  it('takes none where the first one has reached no target', async () => {
    const refusal = createEnd(503, 0, { [RELAY_HEADERS.refused]: 'unreachable' });
    const answered = createEnd(200, 1, { signature: 's' });
    const { fakes } = createPartitioned((hop) => [refusal, answered][hop], TARGETS);
    expect(await runRead(fakes, 3)).toEqual(0);
  });
});

describe('a stream that goes through several routers', () => {
  for (const maxTargets of [1, 2, 3, 5]) {
    it(`may run at ${maxTargets} targets in all where each of them is lost`, async () => {
      // Guards against runs of a lost router that count as one, however many targets it was allowed.
      const { fakes, allowances } = createPartitioned(() => undefined, ENGINES);
      ENGINES.forEach(fakes.dependencies.paths.recordLoss);
      await fakes.clock.runFor(400);
      const route = { maxTargets, timeoutMs: 20_000 };
      await Simulation.simulateStream(fakes, 30_000, route);
      expect(computeSum(allowances) + countDirect(fakes)).toBeLessThanOrEqual(maxTargets);
      expect(allowances.length).toBeGreaterThanOrEqual(1);
    });
  }

  it('takes a repeat for the next send where targets have rejected it at the first one', async () => {
    const refusal = createEnd(503, 1, { [RELAY_HEADERS.refused]: 'unreachable' });
    const { fakes, allowances } = createPartitioned((hop) => [refusal][hop], ENGINES);
    ENGINES.forEach(fakes.dependencies.paths.recordLoss);
    await fakes.clock.runFor(400);
    const { clock, dependencies } = fakes;
    const before = dependencies.getBudget('engines').getTotals(clock.getNowMs()).retries;
    await Simulation.simulateStream(fakes, 500);
    expect(allowances.length).toEqual(2);
    const { retries } = dependencies.getBudget('engines').getTotals(clock.getNowMs());
    expect(retries - before).toEqual(1);
  });
});
