import { describe, it } from 'node:test';

import type { ForwardingRoute } from '@sequoiarill/types';
import { expect } from 'earl';

import type { ForwardOutcome } from '../../forwardRequest';
import * as FullAnswers from '../fullAnswer';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';

const OK: Script = [
  [20, Fakes.createHead(200, { 'content-length': '0' })],
  [20, { kind: 'end' }],
];
const FAILING: Script = [
  [20, Fakes.createHead(500, { 'content-length': '0' })],
  [20, { kind: 'end' }],
];

function createRoute(change: Partial<ForwardingRoute>): ForwardingRoute {
  return Fakes.createRoute({
    isStream: false,
    hasPrompt: false,
    retryPolicy: 'idempotent',
    timeoutMs: 600,
    objectiveMs: 100,
    maxTargets: 3,
    shares: [{ service: 'orders', weight: 1 }],
    ...change,
  });
}

function createServices(count: number) {
  return Array.from({ length: count }, (_item, index) =>
    Fakes.createTarget(`s${index}`, { service: 'orders' }),
  );
}

async function runRequest(
  fake: FakeDependencies,
  change: Partial<ForwardingRoute> = {},
): Promise<{ readonly outcome: ForwardOutcome; readonly tookMs: number }> {
  const startedMs = fake.clock.getNowMs();
  const request = Fakes.createRequest(createRoute(change));
  const shifted = {
    ...request,
    arrivedAtMs: startedMs,
    expiresAtMs: startedMs + request.route.timeoutMs,
  };
  let endedMs = startedMs;
  const running = FullAnswers.runFullAnswer(fake.dependencies, shifted).then((outcome) => {
    endedMs = fake.clock.getNowMs();
    return outcome;
  });
  await fake.clock.runFor(2_000);
  return { outcome: await running, tookMs: endedMs - startedMs };
}

describe('a non-streaming request', () => {
  it('is not retried on a second target because the router process was paused', async () => {
    // Guards against a retry of all requests in progress when the router resumes after a process pause.
    const slow: Script = [
      [220, Fakes.createHead(200, { 'content-length': '0' })],
      [220, { kind: 'end' }],
    ];
    const fake = Fakes.createFakeDependencies(() => slow);
    fake.setTargets(createServices(2));
    const paused = fake.clock.waitMs(10).then(() => fake.clock.simulatePause(200));
    const [{ outcome }] = await Promise.all([runRequest(fake, { timeoutMs: 400 }), paused]);
    expect(outcome.kind).toEqual('answer');
    expect(fake.sentCalls.length).toEqual(1);
  });

  it('is answered by another target in time when one hangs and retries are allowed', async () => {
    const fake = Fakes.createFakeDependencies((target) => (target === 's0' ? [] : OK));
    fake.setTargets(createServices(2));
    const first = await runRequest(fake);
    const second = await runRequest(fake);
    expect([first.outcome.kind, second.outcome.kind]).toEqual(['answer', 'answer']);
    expect(Math.max(first.tookMs, second.tookMs)).toBeLessThan(400);
  });

  it('is sent once and waits until its time limit when retries are not allowed', async () => {
    const fake = Fakes.createFakeDependencies(() => []);
    fake.setTargets(createServices(3));
    const { outcome } = await runRequest(fake, { retryPolicy: 'once' });
    expect(outcome.kind).toEqual('failed');
    expect(fake.sentCalls.length).toEqual(1);
  });

  it('is refused at once when all targets were lost recently and one request tries them', async () => {
    // Guards against refusals that come too late: two of three targets are down and the third is
    // unreachable, and each order waits for connections until its time limit before its caller may retry.
    const fake = Fakes.createFakeDependencies(() => []);
    fake.setTargets(createServices(2));
    fake.setTargets(createServices(2));
    createServices(2).forEach((target) => {
      fake.dependencies.registry.recordLoss(target);
      fake.dependencies.registry.recordStart(target);
    });
    const { outcome, tookMs } = await runRequest(fake, { retryPolicy: 'once' });
    expect(outcome.kind).toEqual('refused');
    expect(tookMs).toEqual(0);
    expect(fake.sentCalls.length).toEqual(0);
  });

  it('is still sent to targets that occasionally lose an answer', async () => {
    // Guards against excluding targets after a single lost answer: each of three targets loses one at
    // about the same time, and orders that any of them would run are refused.
    let calls = 0;
    const fake = Fakes.createFakeDependencies(() => {
      calls += 1;
      return calls <= 3 ? [[10, { kind: 'broken', reason: 'ECONNRESET' }]] : OK;
    });
    fake.setTargets(createServices(3));
    const startRequests = (count: number) =>
      Array.from({ length: count }, () =>
        FullAnswers.runFullAnswer(
          fake.dependencies,
          Fakes.createRequest(createRoute({ retryPolicy: 'once' })),
        ),
      );
    const lost = startRequests(3);
    await fake.clock.runFor(12);
    const later = startRequests(9);
    await fake.clock.runFor(100);
    const outcomes = await Promise.all([...lost, ...later]);
    expect(outcomes.map(({ kind }) => kind)).toEqual([
      ...lost.map(() => 'failed' as const),
      ...later.map(() => 'answer' as const),
    ]);
  });

  it('does not make a target unhealthy when it fails on every target', async () => {
    // Guards against excluding a working target for failures caused by the requests: a target received a
    // few of them in a row while the other two of three were down, and all orders were sent to those.
    const fake = Fakes.createFakeDependencies(() => FAILING);
    const [only] = createServices(1);
    if (only === undefined) throw new Error('no target');
    fake.setTargets([only]);
    for (let round = 0; round < 6; round += 1) {
      const { outcome } = await runRequest(fake);
      expect(outcome.kind).toEqual('answer');
    }
    expect(fake.dependencies.registry.buildView(only).state).toEqual('healthy');
  });

  it('makes a target unhealthy when it fails there and succeeds on another one', async () => {
    const fake = Fakes.createFakeDependencies((target) => (target === 's0' ? FAILING : OK));
    const targets = createServices(2);
    fake.setTargets(targets);
    for (let round = 0; round < 20; round += 1) await runRequest(fake);
    const sentToFailing = fake.sentCalls.filter(({ target }) => target === 's0').length;
    expect(sentToFailing).toBeLessThan(10);
  });

  it('is not retried on a third target after the same failure on two', async () => {
    const fake = Fakes.createFakeDependencies(() => FAILING);
    fake.setTargets(createServices(3));
    const { outcome } = await runRequest(fake);
    expect(outcome.kind).toEqual('answer');
    expect(fake.sentCalls.length).toEqual(2);
  });

  it('is refused at once while the service has more requests than it can answer in time', async () => {
    // Guards against a permanently full queue: one of three order servers is left, and every answer
    // comes after half a second, too late for its caller. Refusing a request lets a later one be in time.
    const fake = Fakes.createFakeDependencies(() => OK);
    fake.setTargets(createServices(1));
    const admission = fake.dependencies.getAdmission('orders');
    for (let index = 0; index < 200; index += 1) {
      admission.recordStart();
      admission.decide({ slots: 1, routers: 1, isClientRetry: false });
      admission.recordEnd(index * 50, { latencyMs: 500, objectiveMs: 100 });
      admission.recordStart();
    }
    const outcomes = [];
    for (let index = 0; index < 20; index += 1) outcomes.push((await runRequest(fake)).outcome);
    const refused = outcomes.filter(({ kind }) => kind === 'refused');
    expect(refused.length).toBeGreaterThan(10);
    expect(fake.sentCalls.length).toEqual(outcomes.length - refused.length);
  });

  it('is refused at once while the rate limit of its only target is used up, and sent afterwards', async () => {
    // Guards against a request that waits for a permit until its caller has disconnected.
    const fake = Fakes.createFakeDependencies(() => OK);
    fake.setTargets(createServices(1));
    fake.rateLimited.add('s0');
    const { outcome, tookMs } = await runRequest(fake);
    expect(outcome).toEqual({
      kind: 'refused',
      reason: 'its targets take no more requests for now',
      retryAfterSeconds: 1,
    });
    expect([fake.sentCalls.length, tookMs]).toEqual([0, 0]);
    fake.rateLimited.clear();
    expect((await runRequest(fake)).outcome.kind).toEqual('answer');
  });

  it('goes to another target while one rests', async () => {
    const fake = Fakes.createFakeDependencies(() => OK);
    fake.setTargets(createServices(2));
    fake.restsUntilMs.set('s0', 60_000);
    for (let index = 0; index < 4; index += 1) {
      expect((await runRequest(fake)).outcome.kind).toEqual('answer');
    }
    expect(new Set(fake.sentCalls.map(({ target }) => target))).toEqual(new Set(['s1']));
  });

  it('is refused at once when all targets rest for longer than it may wait', async () => {
    // Guards against requests that wait in vain while their callers could go elsewhere.
    const fake = Fakes.createFakeDependencies(() => OK);
    fake.setTargets(createServices(2));
    ['s0', 's1'].forEach((id) => fake.restsUntilMs.set(id, 60_000));
    const { outcome, tookMs } = await runRequest(fake);
    expect(outcome.kind).toEqual('refused');
    expect(tookMs).toEqual(0);
    expect(fake.sentCalls.length).toEqual(0);
  });

  it('waits out a rest that ends early enough for an answer on time', async () => {
    const fake = Fakes.createFakeDependencies(() => OK);
    fake.setTargets(createServices(2));
    ['s0', 's1'].forEach((id) => fake.restsUntilMs.set(id, 300));
    const { outcome } = await runRequest(fake, { objectiveMs: 1_000, timeoutMs: 1_500 });
    expect(outcome.kind).toEqual('answer');
    expect(fake.sentCalls.map(({ atMs }) => atMs >= 300)).toEqual([true]);
  });

  it('is not sent after its caller has left while the targets rest', async () => {
    // Guards against a run that nobody waits for, and that a retry of the caller would double.
    const fake = Fakes.createFakeDependencies(() => OK);
    fake.setTargets(createServices(1));
    fake.restsUntilMs.set('s0', 300);
    const disconnect = new AbortController();
    const route = createRoute({ objectiveMs: 1_000, timeoutMs: 1_500, retryPolicy: 'once' });
    const request = { ...Fakes.createRequest(route), closed: disconnect.signal };
    const running = FullAnswers.runFullAnswer(fake.dependencies, request);
    const leaving = fake.clock.waitMs(100).then(() => disconnect.abort());
    await fake.clock.runFor(2_000);
    await leaving;
    expect((await running).kind).toEqual('callerLeft');
    expect(fake.sentCalls.length).toEqual(0);
  });

  it('does not make an outlier of a target that has said for how long it is full', async () => {
    // Guards against a target that stays excluded for a minute because it asked for seconds of rest.
    const fake = Fakes.createFakeDependencies((target) => {
      if (target !== 's0') return OK;
      fake.restsUntilMs.set('s0', fake.clock.getNowMs() + 1_000);
      return [[5, Fakes.createHead(503, { 'not-run': '1' })]];
    });
    const [first] = createServices(1);
    if (first === undefined) throw new Error('no target');
    fake.setTargets([first]);
    for (let index = 0; index < 4; index += 1) await runRequest(fake);
    expect(fake.dependencies.registry.buildView(first).state).toEqual('healthy');
  });
});
