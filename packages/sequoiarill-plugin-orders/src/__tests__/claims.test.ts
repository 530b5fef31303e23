import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';

import type { OrderOutcome } from '@sequoiarill/types';
import { expect } from 'earl';

import type { RunAttempts } from '../attempts';
import * as FakeRouters from './fakeRouter';
import type { FakeRouter } from './fakeRouter';
import * as FakeStores from './fakeStore';
import type { Fault, FakeStore } from './fakeStore';

const ONE_HOUR_SECONDS = 3_600;

/** Counts the orders it runs and answers each with its number. */
function createCountingTarget(): {
  readonly runAttempts: RunAttempts;
  readonly getRunCount: () => number;
} {
  let runCount = 0;
  return {
    async runAttempts() {
      runCount += 1;
      return FakeRouters.createDone(`run ${runCount}`);
    },
    getRunCount: () => runCount,
  };
}

function createRouter(
  name: string,
  fakeStore: FakeStore,
  runAttempts: RunAttempts,
  faults: readonly Fault[] = [],
): FakeRouter {
  const queue = [...faults];
  const store = fakeStore.createClient(
    async () => undefined,
    () => queue.shift() ?? 'none',
  );
  return FakeRouters.createFakeRouter({
    name,
    store,
    clock: FakeStores.createInstantClock(),
    runAttempts,
  });
}

function formatOutcome(outcome: OrderOutcome): string {
  if (outcome.kind === 'done') return `done: ${Buffer.from(outcome.body).toString()}`;
  return outcome.kind === 'notRun' ? `notRun: ${outcome.reason}` : outcome.kind;
}

async function runTestOrder(router: FakeRouter, body = 'one pair'): Promise<string> {
  const order = FakeRouters.createOrder({ body: Buffer.from(body) });
  return formatOutcome(await router.runOrder(order));
}

/** The first two calls of a router get the leases of the claim and of its open marker. */
const NO_LEASE_FAULTS: readonly Fault[] = ['none', 'none'];

describe('claims', () => {
  it('return the first answer to a repeated order, at the same router and at another', async () => {
    const store = FakeStores.createFakeStore();
    const target = createCountingTarget();
    const first = createRouter('a', store, target.runAttempts);
    expect(await runTestOrder(first)).toEqual('done: run 1');
    expect(await runTestOrder(first)).toEqual('done: run 1');
    await first.writer.drain();
    expect(await runTestOrder(createRouter('b', store, target.runAttempts))).toEqual('done: run 1');
    expect(target.getRunCount()).toEqual(1);
  });

  it('refuse a key that is reused with another body', async () => {
    // Guards against answering a second, different order with the answer of the first one.
    const store = FakeStores.createFakeStore();
    const target = createCountingTarget();
    const router = createRouter('a', store, target.runAttempts);
    await runTestOrder(router);
    expect(await runTestOrder(router, 'two pairs')).toEqual('notRun: keyReused');
    await router.writer.drain();
    expect(await runTestOrder(router, 'two pairs')).toEqual('notRun: keyReused');
    expect(target.getRunCount()).toEqual(1);
  });

  it('run one of two simultaneous orders with the same key', async () => {
    // A double click sends the same order to two routers at the same time. If the routers read the
    // claim before writing it, instead of using compare-and-swap, both would run the order.
    const store = FakeStores.createFakeStore();
    const target = createCountingTarget();
    const outcomes = await Promise.all([
      runTestOrder(createRouter('a', store, target.runAttempts)),
      runTestOrder(createRouter('b', store, target.runAttempts)),
    ]);
    expect(target.getRunCount()).toEqual(1);
    expect(outcomes.filter((outcome) => outcome === 'done: run 1').length).toEqual(1);
  });

  it('refuse a repeated order with "in progress", then "unknown", after a router crashed', async () => {
    // A router crashes after it sent an order, and the caller repeats the order at another router.
    // That router cannot know whether the order has run, and must not run it a second time.
    const store = FakeStores.createFakeStore();
    let runCount = 0;
    const runThenWaitForever: RunAttempts = async () => {
      runCount += 1;
      return FakeStores.waitForever();
    };
    runTestOrder(createRouter('a', store, runThenWaitForever)).catch(() => undefined);
    while (runCount === 0) await setImmediate();
    const survivor = createRouter('b', store, runThenWaitForever);
    expect(await runTestOrder(survivor)).toEqual('notRun: inProgress');
    store.expireLeases(ONE_HOUR_SECONDS);
    expect(await runTestOrder(survivor)).toEqual('unknown');
    expect(runCount).toEqual(1);
  });

  it('send nothing while the platform is unavailable', async () => {
    // The platform is unavailable when an order arrives. If the order were sent without a claim, a
    // repeated order at another router would run it a second time. The router refuses the order
    // instead, and the caller receives "not run".
    const store = FakeStores.createFakeStore();
    const target = createCountingTarget();
    const router = createRouter('a', store, target.runAttempts, [...NO_LEASE_FAULTS, 'away']);
    expect(await runTestOrder(router)).toEqual('notRun: platformAway');
    expect(target.getRunCount()).toEqual(0);
    expect(await runTestOrder(router)).toEqual('done: run 1');
  });

  for (const fault of ['lostBefore', 'lostAfter'] as const) {
    it(`run once when the response to the claim is lost (${fault})`, async () => {
      // The write of the claim may have taken effect although its response is lost. If the router
      // treated this as a failure, it would refuse an order whose key then stays claimed for a day,
      // or claim it a second time.
      const store = FakeStores.createFakeStore();
      const target = createCountingTarget();
      const router = createRouter('a', store, target.runAttempts, [...NO_LEASE_FAULTS, fault]);
      expect(await runTestOrder(router)).toEqual('done: run 1');
      expect(target.getRunCount()).toEqual(1);
    });
  }

  it('release the key when every response to the claim is lost', async () => {
    // The claim took effect, but three responses in a row are lost, so nothing is sent. The key
    // must not stay claimed: the caller receives "not run" and repeats the order with it.
    const store = FakeStores.createFakeStore();
    const target = createCountingTarget();
    const faults: readonly Fault[] = [...NO_LEASE_FAULTS, 'lostAfter', 'lostAfter', 'lostAfter'];
    const router = createRouter('a', store, target.runAttempts, faults);
    expect(await runTestOrder(router)).toEqual('notRun: platformAway');
    await router.writer.drain();
    expect(store.listEntries()).toEqual([]);
    expect(await runTestOrder(createRouter('b', store, target.runAttempts))).toEqual('done: run 1');
  });

  it('release the key of an order that no target accepted', async () => {
    // Every target refuses the connection, so the caller receives "not run" and repeats the order
    // with the same key, which must not be claimed any more.
    const store = FakeStores.createFakeStore();
    const refuseOrder: RunAttempts = async () => ({
      kind: 'notRun',
      reason: 'noTarget',
      message: 'refused',
      retryAfterSeconds: 1,
    });
    expect(await runTestOrder(createRouter('a', store, refuseOrder))).toEqual('notRun: noTarget');
    const target = createCountingTarget();
    expect(await runTestOrder(createRouter('b', store, target.runAttempts))).toEqual('done: run 1');
  });

  it('hold a result during an outage and answer repeated orders with it', async () => {
    // The platform becomes unavailable between the claim and the result. The result stays pending
    // in the router, answers a repeated order there, and is written when the platform is available.
    const store = FakeStores.createFakeStore();
    const target = createCountingTarget();
    const outage: readonly Fault[] = ['away', 'away', 'lostBefore', 'lostAfter'];
    const router = createRouter('a', store, target.runAttempts, [
      ...NO_LEASE_FAULTS,
      'none',
      ...outage,
    ]);
    expect(await runTestOrder(router)).toEqual('done: run 1');
    expect(await runTestOrder(router)).toEqual('done: run 1');
    await router.writer.drain();
    expect(await runTestOrder(createRouter('b', store, target.runAttempts))).toEqual('done: run 1');
    expect(target.getRunCount()).toEqual(1);
  });

  it('do not send when the router was paused until the claim expired', async () => {
    // A router is paused between claiming and sending, until the claim's lease has expired and
    // another router may have run the order. After the pause it must not rely on its claim.
    const store = FakeStores.createFakeStore();
    const target = createCountingTarget();
    const clock = FakeStores.createInstantClock();
    const pauseAfterWrite = async (): Promise<void> => {
      if (store.listEntries().length > 0) clock.advance(FakeRouters.CLAIM_SECONDS * 1_000);
    };
    const pausingClient = store.createClient(pauseAfterWrite, () => 'none');
    const router = FakeRouters.createFakeRouter({
      name: 'a',
      store: pausingClient,
      clock,
      runAttempts: target.runAttempts,
    });
    expect(await runTestOrder(router)).toEqual('notRun: overloaded');
    expect(target.getRunCount()).toEqual(0);
  });

  it('use two calls for one order, two for thirty at once and one for a repeated order', async () => {
    const store = FakeStores.createFakeStore();
    const target = createCountingTarget();
    const router = createRouter('a', store, target.runAttempts);
    const leaseCalls = NO_LEASE_FAULTS.length;
    await runTestOrder(router);
    await router.writer.drain();
    expect(store.getCallCount() - leaseCalls).toEqual(2);
    const keys = Array.from({ length: 30 }, (_, index) => `batch-${index}`);
    const orders = keys.map((idempotencyKey) => FakeRouters.createOrder({ idempotencyKey }));
    await Promise.all(orders.map(async (order) => router.runOrder(order)));
    await router.writer.drain();
    expect(store.getCallCount() - leaseCalls).toEqual(4);
    await runTestOrder(router);
    expect(store.getCallCount() - leaseCalls).toEqual(5);
    await router.runOrder(FakeRouters.createOrder({ method: 'PUT' }));
    expect(store.getCallCount() - leaseCalls).toEqual(5);
  });
});
