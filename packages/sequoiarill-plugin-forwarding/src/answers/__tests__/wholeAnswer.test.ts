import { describe, it } from 'node:test';

import type { ForwardingRoute } from '@sequoiarill/types';
import { expect } from 'earl';

import type { ForwardOutcome } from '../../forwardRequest';
import * as WholeAnswers from '../wholeAnswer';
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
  return Array.from({ length: count }, (_one, index) =>
    Fakes.createTarget(`s${index}`, { service: 'orders' }),
  );
}

async function playRequest(
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
  const running = WholeAnswers.runWholeAnswer(fake.dependencies, shifted).then((outcome) => {
    endedMs = fake.clock.getNowMs();
    return outcome;
  });
  await fake.clock.runFor(2_000);
  return { outcome: await running, tookMs: endedMs - startedMs };
}

describe('a whole answer', () => {
  it('is not asked of a second target because the router was paused', async () => {
    // Guards against reads that are all sent once more when a router wakes.
    const slow: Script = [
      [220, Fakes.createHead(200, { 'content-length': '0' })],
      [220, { kind: 'end' }],
    ];
    const fake = Fakes.createFakeDependencies(() => slow);
    fake.setTargets(createServices(2));
    const paused = fake.clock.waitMs(10).then(() => fake.clock.delay(200));
    const [{ outcome }] = await Promise.all([playRequest(fake, { timeoutMs: 400 }), paused]);
    expect(outcome.kind).toEqual('answer');
    expect(fake.sent.length).toEqual(1);
  });

  it('comes from another target in time when one hangs, where the request may be repeated', async () => {
    const fake = Fakes.createFakeDependencies((target) => (target === 's0' ? [] : OK));
    fake.setTargets(createServices(2));
    const first = await playRequest(fake);
    const second = await playRequest(fake);
    expect([first.outcome.kind, second.outcome.kind]).toEqual(['answer', 'answer']);
    expect(Math.max(first.tookMs, second.tookMs)).toBeLessThan(400);
  });

  it('is waited for to the end, and sent once, where the request may not be repeated', async () => {
    const fake = Fakes.createFakeDependencies(() => []);
    fake.setTargets(createServices(3));
    const { outcome } = await playRequest(fake, { retryPolicy: 'once' });
    expect(outcome.kind).toEqual('failed');
    expect(fake.sent.length).toEqual(1);
  });

  it('is refused at once when all targets were lost lately and one request tries them', async () => {
    // Two of three services are gone and the third is cut off. Every order waits for connections until
    // its time is up, and its caller learns too late that it can come back.
    const fake = Fakes.createFakeDependencies(() => []);
    fake.setTargets(createServices(2));
    fake.setTargets(createServices(2));
    createServices(2).forEach((target) => {
      fake.dependencies.registry.recordLoss(target);
      fake.dependencies.registry.recordStart(target);
    });
    const { outcome, tookMs } = await playRequest(fake, { retryPolicy: 'once' });
    expect(outcome.kind).toEqual('refused');
    expect(tookMs).toEqual(0);
    expect(fake.sent.length).toEqual(0);
  });

  it('goes on asking targets that lose an answer now and then', async () => {
    // Each of three services loses one answer at about the same time. Taken for down after it, all are
    // left out, and orders are refused that any of them would run.
    let calls = 0;
    const fake = Fakes.createFakeDependencies(() => {
      calls += 1;
      return calls <= 3 ? [[10, { kind: 'broken', reason: 'ECONNRESET' }]] : OK;
    });
    fake.setTargets(createServices(3));
    const startRequests = (count: number) =>
      Array.from({ length: count }, () =>
        WholeAnswers.runWholeAnswer(
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

  it('does not take a target for ill because of requests that fail everywhere', async () => {
    // Some requests fail on every target. A target that got a few of them in a row was left out, with
    // two of three down it was the only one, and all orders went to the dead.
    const fake = Fakes.createFakeDependencies(() => FAILING);
    const [only] = createServices(1);
    if (only === undefined) throw new Error('no target');
    fake.setTargets([only]);
    for (let round = 0; round < 6; round += 1) {
      const { outcome } = await playRequest(fake);
      expect(outcome.kind).toEqual('answer');
    }
    expect(fake.dependencies.registry.buildView(only).state).toEqual('healthy');
  });

  it('leaves out a target whose failures another one shows to be its own', async () => {
    const fake = Fakes.createFakeDependencies((target) => (target === 's0' ? FAILING : OK));
    const targets = createServices(2);
    fake.setTargets(targets);
    for (let round = 0; round < 20; round += 1) await playRequest(fake);
    const toIll = fake.sent.filter(({ target }) => target === 's0').length;
    expect(toIll).toBeLessThan(10);
  });

  it('asks no third target after two that failed alike', async () => {
    const fake = Fakes.createFakeDependencies(() => FAILING);
    fake.setTargets(createServices(3));
    const { outcome } = await playRequest(fake);
    expect(outcome.kind).toEqual('answer');
    expect(fake.sent.length).toEqual(2);
  });

  it('is refused at once while the service has more than it can answer on time', async () => {
    // Of three order servers one is left, and its queue stands full: every answer comes after half a
    // second, on time for nobody. A request that is not sent now leaves the next one on time.
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
    for (let index = 0; index < 20; index += 1) outcomes.push((await playRequest(fake)).outcome);
    const refused = outcomes.filter(({ kind }) => kind === 'refused');
    expect(refused.length).toBeGreaterThan(10);
    expect(fake.sent.length).toEqual(outcomes.length - refused.length);
  });

  it('is refused at once where its only target takes no more, and sent when it does', async () => {
    // Guards against a request that waits for a permit until its caller has gone.
    const fake = Fakes.createFakeDependencies(() => OK);
    fake.setTargets(createServices(1));
    fake.limited.add('s0');
    const { outcome, tookMs } = await playRequest(fake);
    expect(outcome).toEqual({
      kind: 'refused',
      reason: 'its targets take no more requests for now',
      retryAfterSeconds: 1,
    });
    expect([fake.sent.length, tookMs]).toEqual([0, 0]);
    fake.limited.clear();
    expect((await playRequest(fake)).outcome.kind).toEqual('answer');
  });
});
