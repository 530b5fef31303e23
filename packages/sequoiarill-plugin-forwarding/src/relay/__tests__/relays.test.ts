import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as FullAnswers from '../../answers/fullAnswer';
import type { ForwardOutcome, ForwardRequest } from '../../forwardRequest';
import type { CallEvent } from '../../targets/targetCall';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import { RELAY_HEADERS, decodeTerms } from '../relayHeaders';

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
const BROKEN: Script = [[5, { kind: 'broken', reason: 'reset' }]];
const REFUSED: Script = [[0, { kind: 'broken', reason: 'ECONNREFUSED' }]];

function createHead(status: number, headers: Readonly<Record<string, string>> = {}): CallEvent {
  return Fakes.createHead(status, { [RELAY_HEADERS.version]: '1', ...headers });
}

const ANSWERED: Script = [
  [20, createHead(200)],
  [20, BODY],
  [20, { kind: 'end' }],
];

/** Of the router itself, and not of a target. */
function createUnsigned(status: number): Script {
  const { head } = Fakes.createHead(status, { [RELAY_HEADERS.version]: '1' });
  const headers = { ...head.headers, signature: undefined };
  return [
    [5, { kind: 'head', head: { ...head, headers } }],
    [5, { kind: 'end' }],
  ];
}

function createRefusal(cause: string, seconds = '1.5'): Script {
  return [
    [1, createHead(503, { [RELAY_HEADERS.refused]: cause, 'retry-after': seconds, signature: '' })],
    [1, { kind: 'end' }],
  ];
}

function createOrder(retryPolicy: 'once' | 'idempotent', change: Partial<ForwardRequest> = {}) {
  const route = Fakes.createRoute({
    retryPolicy,
    isStream: false,
    hasPrompt: false,
    timeoutMs: 4_000,
    objectiveMs: 400,
    maxTargets: 3,
    shares: [{ service: 'orders', weight: 1 }],
  });
  return { ...Fakes.createRequest(route), apiKey: 'key-1', ...change };
}

/** A router that reaches none of its targets; `scripts` are those of other routers, by address. */
function createPartitioned(
  scripts: Readonly<Record<string, Script>>,
  atTargets: Script = SILENCE,
): FakeDependencies {
  const fakes = Fakes.createFakeDependencies((name) => scripts[name] ?? atTargets);
  fakes.setTargets(TARGETS);
  TARGETS.forEach(({ id }) => fakes.unreachable.add(id));
  fakes.otherRouters.push(...ROUTERS.filter(({ relayAddress }) => relayAddress in scripts));
  return fakes;
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

/** Lets the router find out that it reaches no target. */
async function waitForLostPath(fakes: FakeDependencies): Promise<void> {
  await runOrder(fakes, createOrder('idempotent'));
}

function listHops(fakes: FakeDependencies): readonly string[] {
  return fakes.sentCalls.map(({ target }) => target).filter((target) => target.startsWith('r'));
}

function listDirectSends(fakes: FakeDependencies): readonly string[] {
  return fakes.sentCalls.map(({ target }) => target).filter((target) => target.startsWith('o'));
}

describe('a router that reaches no target', () => {
  it('sends a request through another router at once, and not to a target', async () => {
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    await waitForLostPath(fakes);
    const sends = listDirectSends(fakes).length;
    for (const policy of ['once', 'idempotent'] as const) {
      const { outcome, tookMs } = await runOrder(fakes, createOrder(policy));
      expect(outcome?.kind).toEqual('answer');
      expect(tookMs).toBeLessThanOrEqual(50);
    }
    expect(listDirectSends(fakes)).toHaveLength(sends);
  });

  it('serves the first request that may be repeated within its objective doubled', async () => {
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    const { outcome, tookMs } = await runOrder(fakes, createOrder('idempotent'));
    expect(outcome?.kind).toEqual('answer');
    expect(tookMs).toBeLessThanOrEqual(800);
  });

  it('leaves a request that must not run twice at its target until its time limit', async () => {
    // Guards against a second run, and against a failure of a request whose answer still comes.
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    const { outcome, tookMs } = await runOrder(fakes, createOrder('once'));
    expect(outcome?.kind).toEqual('failed');
    expect(tookMs).toEqual(4_000);
    expect([listHops(fakes).length, listDirectSends(fakes).length]).toEqual([0, 1]);
    const late: Script = ANSWERED.map(([afterMs, event]) => [afterMs + 3_000, event] as const);
    const regained = createPartitioned({ 'r1:2': ANSWERED }, late);
    const answered = await runOrder(regained, createOrder('once'));
    expect([answered.outcome?.kind, answered.tookMs >= 3_000]).toEqual(['answer', true]);
    expect([listHops(regained).length, listDirectSends(regained).length]).toEqual([0, 1]);
  });

  it('refuses at once what no other router takes', async () => {
    const fakes = createPartitioned({
      'r1:2': createRefusal('unreachable'),
      'r2:2': createRefusal('draining'),
    });
    await waitForLostPath(fakes);
    await fakes.clock.runFor(600);
    const { outcome, tookMs } = await runOrder(fakes, createOrder('once'));
    expect(outcome?.kind).toEqual('refused');
    expect(tookMs).toBeLessThanOrEqual(50);
  });

  it('asks the next router where one does not reach the targets, stops or is behind', async () => {
    for (const cause of ['unreachable', 'draining', 'outdated']) {
      const fakes = createPartitioned({ 'r1:2': createRefusal(cause), 'r2:2': ANSWERED });
      await waitForLostPath(fakes);
      const { outcome } = await runOrder(fakes, createOrder('once'));
      expect(outcome?.kind).toEqual('answer');
      expect(listHops(fakes).filter((router) => router === 'r1:2').length).toBeLessThanOrEqual(1);
    }
  });

  it('passes on the refusal of a router that reaches the targets', async () => {
    const fakes = createPartitioned({ 'r1:2': createRefusal('refused', '1.5') });
    await waitForLostPath(fakes);
    const { outcome } = await runOrder(fakes, createOrder('once'));
    expect(outcome).toEqual({
      kind: 'refused',
      reason: 'another router refuses it',
      retryAfterSeconds: 1.5,
    });
  });

  it('goes on sending through a router that answers for a target that broke off', async () => {
    // Guards against all other routers being avoided for seconds since a target fails behind them.
    const failed = createUnsigned(502);
    for (const script of [failed, [[5, createHead(200)], ...BROKEN] as const]) {
      const scripts: Record<string, Script> = { 'r1:2': ANSWERED };
      const fakes = createPartitioned(scripts);
      await waitForLostPath(fakes);
      scripts['r1:2'] = script;
      expect((await runOrder(fakes, createOrder('once'))).outcome?.kind).toEqual('failed');
      scripts['r1:2'] = ANSWERED;
      expect((await runOrder(fakes, createOrder('once'))).outcome?.kind).toEqual('answer');
    }
  });

  it('sends a request that must not run twice through one router at most', async () => {
    // Guards against a second run after the hop broke off.
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    await waitForLostPath(fakes);
    const before = listHops(fakes).length;
    const scripts: Record<string, Script> = { 'r1:2': BROKEN, 'r2:2': BROKEN };
    const cut = createPartitioned(scripts);
    await waitForLostPath(cut);
    await cut.clock.runFor(3_000);
    const hops = listHops(cut).length;
    const { outcome } = await runOrder(cut, createOrder('once'));
    expect(outcome?.kind).toEqual('failed');
    expect(listHops(cut).length - hops).toEqual(1);
    expect(before).toEqual(1);
  });

  it('gives up a hop that is not connected in time, and never sends it later', async () => {
    // Guards against a run of a request that was refused: its connection came up after the refusal.
    const unconnected: Script = [
      [Number.POSITIVE_INFINITY, { kind: 'broken', reason: 'ECONNREFUSED' }],
    ];
    const routers = { 'r1:2': unconnected, 'r2:2': unconnected, 'r3:2': unconnected };
    const fakes = createPartitioned(routers);
    await waitForLostPath(fakes);
    await fakes.clock.runFor(4_000);
    const { outcome, tookMs } = await runOrder(fakes, createOrder('once'));
    expect(outcome?.kind).toEqual('refused');
    expect(tookMs).toBeLessThanOrEqual(400);
    const hops = fakes.sentCalls.filter(({ target }) => target in routers);
    expect(hops.length).toBeGreaterThan(0);
    expect(hops.filter(({ isCancelled }) => !isCancelled)).toEqual([]);
  });

  it('closes the hop when the caller leaves, also for a request that must not run twice', async () => {
    // Guards against work of another router for a caller that has left this one.
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    await waitForLostPath(fakes);
    const caller = new AbortController();
    const silent = createPartitioned({ 'r1:2': SILENCE });
    await waitForLostPath(silent);
    await silent.clock.runFor(4_000);
    const running = runOrder(silent, createOrder('once', { closed: caller.signal }));
    caller.abort();
    expect((await running).outcome?.kind).toEqual('callerLeft');
  });

  it('notices that the other router is gone before the time limit', async () => {
    // Guards against requests that wait for a router that was cut off in the middle of them.
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    await waitForLostPath(fakes);
    const silent = createPartitioned({ 'r1:2': SILENCE, 'r2:2': SILENCE });
    silent.goneRouters.add('r1:2');
    silent.goneRouters.add('r2:2');
    const { tookMs } = await runOrder(silent, createOrder('idempotent'));
    expect(tookMs).toBeLessThanOrEqual(2_500);
  });

  it('sends a request to no more targets than its route allows, hops included', async () => {
    // Guards against a further target after hops have used all attempts of the request.
    const fakes = createPartitioned({ 'r1:2': BROKEN, 'r2:2': BROKEN });
    const { outcome } = await runOrder(fakes, createOrder('idempotent'));
    expect(outcome?.kind).toEqual('refused');
    expect(fakes.sentCalls.map(({ target }) => target.slice(0, 1))).toEqual(['o', 'r', 'r']);
  });

  it('spends no repeats on hops that no router takes', async () => {
    // Guards against a budget that is used up by refusals of other routers, and against refusals for want of it.
    const refusing = createRefusal('unreachable');
    const fakes = createPartitioned({ 'r1:2': refusing, 'r2:2': refusing, 'r3:2': refusing });
    await runOrder(fakes, createOrder('idempotent'));
    expect(listHops(fakes).length).toEqual(3);
    const { retries } = fakes.dependencies.getBudget('orders').getTotals(fakes.clock.getNowMs());
    expect(retries).toEqual(listDirectSends(fakes).length - 1);
  });

  it('tells the other router the time and the targets left, its key and its configuration', async () => {
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    await waitForLostPath(fakes);
    await runOrder(fakes, createOrder('once'));
    const headers = fakes.sentCalls.at(-1)?.headers ?? {};
    expect(Number(headers.remaining)).toBeLessThanOrEqual(4_000);
    expect(Number(headers.remaining)).toBeGreaterThan(3_900);
    expect(headers[RELAY_HEADERS.targetsLeft]).toEqual('3');
    expect(headers[RELAY_HEADERS.version]).toEqual('1');
    expect([headers.key, headers.target]).toEqual(['key-1', 'r1:2']);
  });

  it('tells the other router which targets leave', async () => {
    // Guards against a router that has just started and sends the request to a target that said so before.
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    await waitForLostPath(fakes);
    const [first, ...others] = TARGETS;
    fakes.setTargets([{ ...first!, id: 'o,1@', startedAtUnixMs: 7, state: 'draining' }, ...others]);
    await runOrder(fakes, createOrder('once'));
    const headers = Object.entries(fakes.sentCalls.at(-1)?.headers ?? {});
    const { leaving } = decodeTerms(headers.map(([name, value]) => [name, String(value)])) ?? {};
    expect(leaving).toEqual([{ id: 'o,1@', startedAtUnixMs: 7 }]);
  });

  it('goes back to no older configuration than one that has decided through a router', async () => {
    // Guards against callers that see a change and, through the next router, the state before it.
    const newer: Script = [
      [20, createHead(200, { [RELAY_HEADERS.version]: '7' })],
      [20, BODY],
      [20, { kind: 'end' }],
    ];
    const fakes = createPartitioned({ 'r1:2': newer });
    await waitForLostPath(fakes);
    await runOrder(fakes, createOrder('once'));
    expect(fakes.sentCalls.at(-1)?.headers[RELAY_HEADERS.version]).toEqual('7');
  });

  it('does not send on what another router has sent to it', async () => {
    // Guards against requests that go over two hops.
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    await waitForLostPath(fakes);
    const hops = listHops(fakes).length;
    const relayTerms = { version: 1, targetsLeft: 3 };
    const { outcome } = await runOrder(fakes, createOrder('once', { relayTerms }));
    expect(outcome?.kind).not.toEqual('answer');
    expect(listHops(fakes)).toHaveLength(hops);
  });

  it('takes an answer without a signature for none', async () => {
    const fakes = createPartitioned({ 'r1:2': createUnsigned(200) });
    await waitForLostPath(fakes);
    const { outcome } = await runOrder(fakes, createOrder('once'));
    expect(outcome?.kind).not.toEqual('answer');
  });

  it('sends to targets again once they answer, and holds no loss against them', async () => {
    // Guards against suspicion that outlives the lost path.
    const scripts: Record<string, Script> = { 'r1:2': ANSWERED };
    const fakes = createPartitioned(scripts, REFUSED);
    await waitForLostPath(fakes);
    await fakes.clock.runFor(400);
    await waitForLostPath(fakes);
    expect(fakes.dependencies.paths.getState('orders')).toEqual('lost');
    fakes.unreachable.clear();
    await fakes.clock.runFor(1_500);
    expect(fakes.dependencies.paths.getState('orders')).toEqual('open');
    expect(TARGETS.filter(fakes.dependencies.registry.isSuspect)).toEqual([]);
    const states = TARGETS.map((target) => fakes.dependencies.registry.buildView(target).state);
    expect(states).toEqual(['healthy', 'healthy', 'healthy']);
  });
});

describe('a router that reaches other targets', () => {
  it('sends nothing through another router when one target is silent', async () => {
    const fakes = createPartitioned({ 'r1:2': ANSWERED });
    fakes.unreachable.delete('o2');
    fakes.unreachable.delete('o3');
    await runOrder(fakes, createOrder('idempotent'));
    expect(fakes.dependencies.paths.getState('orders')).toEqual('open');
  });
});
