import { describe, it } from 'node:test';

import { expect } from 'earl';
import type { EngineReport, ForwardingConfiguration, ForwardingRoute } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../../dependencies';
import type { ForwardRequest } from '../../forwardRequest';
import { CONFIGURATION } from '../../__tests__/fakeConfiguration';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies } from '../../__tests__/fakeDependencies';
import * as StreamAnswers from '../streamAnswer';
import type { StreamOutcome } from '../streamPlan';
import * as Simulation from './simulateStream';

const FULL: EngineReport = { ...Fakes.IDLE_REPORT, running: 8, queued: 4 };
const ROUTE = Fakes.createRoute();
const KEY = { apiKey: 'k1', organisation: 'o1' };

function createConfiguration(
  version: number,
  change: Partial<ForwardingConfiguration> = {},
): ForwardingConfiguration {
  const organisations = [{ name: 'o1', apiKeys: ['k1'] }];
  return { ...CONFIGURATION, routes: [ROUTE], organisations, version, ...change };
}

/** One engine whose slots are all taken; other engines are unknown. */
function createFullFake(): FakeDependencies {
  const fake = Fakes.createFakeDependencies(() => Simulation.createRun(1, 3));
  fake.room.isOn = true;
  fake.setConfiguration(createConfiguration(1));
  fake.setTargets([Fakes.createTarget('a1')]);
  fake.reports.set('a1', FULL);
  return fake;
}

interface StartedStream {
  outcome: StreamOutcome | undefined;
  endedAtMs: number | undefined;
}

function startStream(
  fake: FakeDependencies,
  change: Partial<ForwardRequest> = {},
  dependencies: ForwardingDependencies = fake.dependencies,
): StartedStream {
  const nowMs = fake.clock.getNowMs();
  const times = { arrivedAtMs: nowMs, expiresAtMs: nowMs + ROUTE.timeoutMs };
  const request = { ...Fakes.createRequest(ROUTE), ...KEY, ...times, ...change };
  const answer = StreamAnswers.runStreamAnswer(dependencies, request);
  const stream: StartedStream = { outcome: undefined, endedAtMs: undefined };
  const read = async () => {
    let step = await answer.next();
    while (step.done !== true) step = await answer.next();
    stream.outcome = step.value;
    stream.endedAtMs = fake.clock.getNowMs();
  };
  read().catch(() => undefined);
  return stream;
}

function findRetryAfter({ outcome }: StartedStream): number | undefined {
  return outcome?.kind === 'refused' ? outcome.retryAfterSeconds : undefined;
}

function createRouteChange(change: Partial<ForwardingRoute>): ForwardingConfiguration {
  return createConfiguration(2, { routes: [Fakes.createRoute(change)] });
}

describe('a stream that waits for room', () => {
  it('starts when a slot is free, with its rank', async () => {
    const fake = createFullFake();
    const stream = startStream(fake);
    await fake.clock.runFor(1_000);
    expect(fake.sentCalls.length).toEqual(0);
    fake.reports.set('a1', { ...Fakes.IDLE_REPORT, running: 7 });
    await fake.clock.runFor(2_000);
    expect(stream.outcome?.kind).toEqual('complete');
    expect(fake.sentCalls.map(({ headers }) => headers.priority)).toEqual(['1']);
    expect(fake.sentCalls[0]?.atMs ?? 0).toBeLessThanOrEqual(1_150);
    expect(fake.room.records.filter((name) => name === 'served')).toEqual(['served']);
  });

  it('sends nothing, spends no retry, and never runs after it was refused', async () => {
    // Guards against a refusal that is not true, and against a wait that uses up the retries of others.
    const fake = createFullFake();
    const budget = fake.dependencies.getBudget('engines');
    const stream = startStream(fake);
    await fake.clock.runFor(0);
    const before = budget.getBalance(fake.clock.getNowMs());
    await fake.clock.runFor(3_000);
    const { outcome, endedAtMs = 0 } = stream;
    expect(outcome?.kind).toEqual('refused');
    // 0.6 of the objective less the prefill of 8,000 tokens.
    expect(endedAtMs).toBeGreaterThan(1_200);
    expect(endedAtMs).toBeLessThanOrEqual(1_400);
    const seconds = findRetryAfter(stream) ?? 0;
    expect(seconds).toBeGreaterThanOrEqual(0.5);
    expect(seconds).toBeLessThanOrEqual(20 / 3);
    expect(budget.getBalance(endedAtMs)).toEqual(before);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    await fake.clock.runFor(30_000);
    expect(fake.sentCalls.length).toEqual(0);
    expect(fake.waits.dumpState().engines?.waiting).toEqual([]);
  });

  it('ends at once when its caller leaves', async () => {
    const fake = createFullFake();
    const caller = new AbortController();
    const stream = startStream(fake, { closed: caller.signal });
    await fake.clock.runFor(70);
    caller.abort();
    await fake.clock.runFor(0);
    expect(stream.outcome?.kind).toEqual('callerLeft');
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    await fake.clock.runFor(5_000);
    expect(fake.sentCalls.length).toEqual(0);
  });

  const refusals: readonly (readonly [
    string,
    number | undefined,
    (fake: FakeDependencies) => void,
  ])[] = [
    [
      'its key is revoked',
      undefined,
      (fake) =>
        fake.setConfiguration(
          createConfiguration(2, { organisations: [{ name: 'o1', apiKeys: ['k2'] }] }),
        ),
    ],
    [
      'its route is removed',
      undefined,
      (fake) => fake.setConfiguration(createConfiguration(2, { routes: [] })),
    ],
    [
      'its service leaves the route',
      0.5,
      (fake) => fake.setConfiguration(createRouteChange({ shares: [] })),
    ],
    [
      'the router stops',
      0.1,
      ({ room }) => {
        room.hasTime = false;
      },
    ],
  ];
  for (const [cause, retryAfterSeconds, change] of refusals) {
    it(`is refused at once when ${cause}`, async () => {
      // Guards against a run for which there is no permission, or no time, any more.
      const fake = createFullFake();
      const stream = startStream(fake);
      await fake.clock.runFor(70);
      change(fake);
      fake.reports.set('a1', Fakes.IDLE_REPORT);
      fake.waits.wakeAll();
      await fake.clock.runFor(0);
      expect(stream.outcome?.kind).toEqual('refused');
      expect(findRetryAfter(stream)).toEqual(retryAfterSeconds);
      await fake.clock.runFor(5_000);
      expect(fake.sentCalls.length).toEqual(0);
    });
  }

  it('is refused when its content is blocked', async () => {
    const fake = createFullFake();
    let isBlocked = false;
    const findBlock = () => (isBlocked ? { reason: 'blocked', retryAfterSeconds: 9 } : undefined);
    const crashes = { ...fake.dependencies.crashes, findBlock };
    const stream = startStream(fake, {}, { ...fake.dependencies, crashes });
    await fake.clock.runFor(70);
    isBlocked = true;
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    await fake.clock.runFor(300);
    expect(stream.outcome).toEqual({ kind: 'refused', reason: 'blocked', retryAfterSeconds: 9 });
    expect(fake.sentCalls.length).toEqual(0);
  });

  it('takes its place by its new priority', async () => {
    const fake = createFullFake();
    const route = Fakes.createRoute({ name: 'batch', priority: 2 });
    const routes = [ROUTE, route];
    fake.setConfiguration(createConfiguration(1, { routes }));
    startStream(fake, { id: 'urgent', route: { ...ROUTE, priority: 1 } });
    startStream(fake, { id: 'batch', route });
    await fake.clock.runFor(70);
    expect(fake.waits.dumpState().engines?.waiting.map(({ rank }) => rank)).toEqual([3, 5]);
    const changed = [
      { ...ROUTE, priority: 1 },
      { ...route, priority: 0 },
    ];
    fake.setConfiguration(createConfiguration(2, { routes: changed }));
    fake.waits.wakeAll();
    await fake.clock.runFor(0);
    expect(fake.waits.dumpState().engines?.waiting.map(({ rank }) => rank)).toEqual([1, 3]);
    fake.reports.set('a1', { ...Fakes.IDLE_REPORT, running: 7 });
    await fake.clock.runFor(300);
    expect(fake.sentCalls[0]?.headers.priority).toEqual('1');
  });

  it('goes to another engine when the one it waits for is gone', async () => {
    const fake = createFullFake();
    const stream = startStream(fake);
    await fake.clock.runFor(300);
    fake.reports.delete('a1');
    fake.reports.set('b1', Fakes.IDLE_REPORT);
    fake.setTargets([Fakes.createTarget('b1', { zone: 'b' })]);
    await fake.clock.runFor(2_000);
    expect(stream.outcome?.kind).toEqual('complete');
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['b1']);
  });

  it('goes before a caller that was refused before', async () => {
    const fake = createFullFake();
    startStream(fake, { id: 'returning', isClientRetry: true });
    await fake.clock.runFor(10);
    startStream(fake, { id: 'new' });
    await fake.clock.runFor(10);
    const { waiting, outlook } = fake.waits.dumpState().engines ?? {};
    expect(waiting?.map((rank) => rank.waiting)).toEqual([2]);
    expect(outlook?.map(({ result, ahead }) => `${result} behind ${ahead}`)).toEqual([
      'waits behind 2',
    ]);
    fake.reports.set('a1', { ...Fakes.IDLE_REPORT, running: 7 });
    await fake.clock.runFor(150);
    const left = { rank: 1, waiting: 1, returning: 1, longestWaitMs: 170 };
    expect(fake.waits.dumpState().engines?.waiting).toEqual([left]);
  });
});

describe('room at engines', () => {
  it('holds back no stream that has begun', async () => {
    const fake = createFullFake();
    startStream(fake, { lastEventId: '7' });
    await fake.clock.runFor(260);
    // Another router sends it on after one of its targets may have run it.
    startStream(fake, { relayTerms: { version: 1, targetsLeft: 4 } });
    await fake.clock.runFor(260);
    expect(fake.sentCalls.map(({ headers }) => headers.priority)).toEqual(['0', '0']);
    expect(fake.waits.dumpState()).toEqual({});
    // One that no target has run waits as if its caller had come here.
    const other = createFullFake();
    startStream(other, { relayTerms: { version: 1, targetsLeft: 5 } });
    await other.clock.runFor(260);
    expect(other.sentCalls.length).toEqual(0);
  });

  it('changes nothing where it is not decided who gets any', async () => {
    // Guards against requests to more engines, and against headers that engines do not expect.
    const counts = [];
    for (const isOn of [false, true]) {
      const fake = createFullFake();
      fake.room.isOn = isOn;
      const engines = Array.from({ length: 10 }, (_one, index) => Fakes.createTarget(`a${index}`));
      fake.setTargets(engines);
      engines.forEach(({ id }) => fake.reports.set(id, { ...FULL, queued: 9 }));
      let reads = 0;
      const readReport: ForwardingDependencies['readReport'] = async (target, limitMs) => {
        reads += 1;
        return fake.dependencies.readReport(target, limitMs);
      };
      const stream = startStream(fake, {}, { ...fake.dependencies, readReport });
      await fake.clock.runFor(10);
      counts.push([reads, stream.outcome?.kind, fake.room.records.length]);
    }
    expect(counts).toEqual([
      [2, 'refused', 0],
      [4, undefined, 1],
    ]);
    const off = createFullFake();
    off.room.isOn = false;
    off.reports.set('a1', { ...FULL, queued: 0 });
    startStream(off);
    await off.clock.runFor(1_000);
    expect(off.sentCalls.map(({ headers }) => headers.priority)).toEqual([undefined]);
    expect(off.room.records).toEqual([]);
  });

  it('is taken at the faster of two engines that are otherwise equal', async () => {
    const fake = createFullFake();
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('a2')]);
    const busy = { ...Fakes.IDLE_REPORT, running: 1, prefilling: 1 };
    fake.reports.set('a1', busy);
    fake.reports.set('a2', busy);
    for (const [slow, fast] of [
      ['a1', 'a2'],
      ['a2', 'a1'],
    ] as const) {
      fake.room.speeds.clear();
      fake.room.speeds.set(slow, 2);
      startStream(fake);
      await fake.clock.runFor(10_000);
      expect(fake.sentCalls.at(-1)?.target).toEqual(fast);
    }
  });

  it('counts the cache that prompts, outputs and copies of this router take', async () => {
    // Each of the streams needs 9,000 tokens, and copies of the same size. Reports lag behind.
    const fake = createFullFake();
    const engines = ['a1', 'b1'].map((id) => Fakes.createTarget(id, { zone: id.slice(0, 1) }));
    fake.setTargets(engines);
    engines.forEach(({ id }) =>
      fake.reports.set(id, { ...Fakes.IDLE_REPORT, totalTokens: 28_000 }),
    );
    const sizes = { promptTokens: 8_000, outputTokens: 1_000 };
    for (const id of ['r1', 'r2', 'r3', 'r4']) {
      startStream(fake, { ...sizes, id });
      await fake.clock.runFor(1);
    }
    expect(fake.sentCalls.length).toEqual(3);
  });
});
