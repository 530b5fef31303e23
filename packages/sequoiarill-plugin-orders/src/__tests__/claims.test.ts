import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';

import type { OrderOutcome } from '@sequoiarill/types';
import { expect } from 'earl';

import type { RunAttempts } from '../attempts';
import * as FakeRouters from './fakeRouter';
import type { FakeRouter } from './fakeRouter';
import * as FakeStores from './fakeStore';
import type { Fault, FakeStore } from './fakeStore';

const AN_HOUR = 3_600;

/** Counts runs; answers with the number of the run. */
function createTarget(): { readonly runAttempts: RunAttempts; readonly getRuns: () => number } {
  let runs = 0;
  return {
    async runAttempts() {
      runs += 1;
      return FakeRouters.createDone(`run ${runs}`);
    },
    getRuns: () => runs,
  };
}

function createRouter(
  name: string,
  fakeStore: FakeStore,
  runAttempts: RunAttempts,
  faults: readonly Fault[] = [],
): FakeRouter {
  const queue = [...faults];
  const store = fakeStore.openStore(
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

async function playOrder(router: FakeRouter, body = 'one pair'): Promise<string> {
  const order = FakeRouters.createOrder({ body: Buffer.from(body) });
  return formatOutcome(await router.runOrder(order));
}

/** Leases before the claim itself: the first two calls of a router. */
const LEASES_FINE: readonly Fault[] = ['none', 'none'];

describe('claims', () => {
  it('give a repeat the first answer, at the same router and at another', async () => {
    const store = FakeStores.createFakeStore();
    const target = createTarget();
    const first = createRouter('a', store, target.runAttempts);
    expect(await playOrder(first)).toEqual('done: run 1');
    expect(await playOrder(first)).toEqual('done: run 1');
    await first.writer.drain();
    expect(await playOrder(createRouter('b', store, target.runAttempts))).toEqual('done: run 1');
    expect(target.getRuns()).toEqual(1);
  });

  it('refuse the same key with another body', async () => {
    // A caller reuses a key for a second booking and must not get the answer of the first one.
    const store = FakeStores.createFakeStore();
    const target = createTarget();
    const router = createRouter('a', store, target.runAttempts);
    await playOrder(router);
    expect(await playOrder(router, 'two pairs')).toEqual('notRun: keyReused');
    await router.writer.drain();
    expect(await playOrder(router, 'two pairs')).toEqual('notRun: keyReused');
    expect(target.getRuns()).toEqual(1);
  });

  it('run one of two that come at once', async () => {
    // A shopper's double click reaches two routers at the same time, and both look for the claim
    // before either has written it. Without a compare-and-swap the stock would be reserved twice.
    const store = FakeStores.createFakeStore();
    const target = createTarget();
    const outcomes = await Promise.all([
      playOrder(createRouter('a', store, target.runAttempts)),
      playOrder(createRouter('b', store, target.runAttempts)),
    ]);
    expect(target.getRuns()).toEqual(1);
    expect(outcomes.filter((outcome) => outcome === 'done: run 1').length).toEqual(1);
  });

  it('tell a repeat "in progress", then "unknown", after the router died', async () => {
    // A router dies after it sent a booking. The technician's van repeats it at another router,
    // which cannot know whether a crew is booked, and must not book a second one.
    const store = FakeStores.createFakeStore();
    let runs = 0;
    const dying: RunAttempts = async () => {
      runs += 1;
      return FakeStores.waitForever();
    };
    playOrder(createRouter('a', store, dying)).catch(() => undefined);
    while (runs === 0) await setImmediate();
    const survivor = createRouter('b', store, dying);
    expect(await playOrder(survivor)).toEqual('notRun: inProgress');
    store.expireLeases(AN_HOUR);
    expect(await playOrder(survivor)).toEqual('unknown');
    expect(runs).toEqual(1);
  });

  it('send nothing while the platform is away', async () => {
    // The platform is down when an order arrives. Sent without a claim, a repeat at another router
    // would run it again; so the caller is told that it was not run.
    const store = FakeStores.createFakeStore();
    const target = createTarget();
    const router = createRouter('a', store, target.runAttempts, [...LEASES_FINE, 'away']);
    expect(await playOrder(router)).toEqual('notRun: platformAway');
    expect(target.getRuns()).toEqual(0);
    expect(await playOrder(router)).toEqual('done: run 1');
  });

  for (const fault of ['lostBefore', 'lostAfter'] as const) {
    it(`run once when the answer to the claim is lost (${fault})`, async () => {
      // The platform takes the claim and its answer is lost on the way. Seeing only an error, the
      // router would refuse an order whose key is now taken for a day, or claim it a second time.
      const store = FakeStores.createFakeStore();
      const target = createTarget();
      const router = createRouter('a', store, target.runAttempts, [...LEASES_FINE, fault]);
      expect(await playOrder(router)).toEqual('done: run 1');
      expect(target.getRuns()).toEqual(1);
    });
  }

  it('free the key when every answer to the claim was lost', async () => {
    // The claim took effect, but three answers in a row were lost, so nothing was sent. The key
    // must not stay taken: the caller was told "not run" and comes back with it.
    const store = FakeStores.createFakeStore();
    const target = createTarget();
    const faults: readonly Fault[] = [...LEASES_FINE, 'lostAfter', 'lostAfter', 'lostAfter'];
    const router = createRouter('a', store, target.runAttempts, faults);
    expect(await playOrder(router)).toEqual('notRun: platformAway');
    await router.writer.drain();
    expect(store.listEntries()).toEqual([]);
    expect(await playOrder(createRouter('b', store, target.runAttempts))).toEqual('done: run 1');
  });

  it('free the key of an order that no target took', async () => {
    // Every target refuses the connection. The caller is told "not run" and repeats with the same
    // key, which must find it free.
    const store = FakeStores.createFakeStore();
    const refusing: RunAttempts = async () => ({
      kind: 'notRun',
      reason: 'noTarget',
      message: 'refused',
      retryAfterSeconds: 1,
    });
    expect(await playOrder(createRouter('a', store, refusing))).toEqual('notRun: noTarget');
    const target = createTarget();
    expect(await playOrder(createRouter('b', store, target.runAttempts))).toEqual('done: run 1');
  });

  it('keep a result through an outage and answer repeats meanwhile', async () => {
    // The platform goes down between the claim and the result. The result waits in the router,
    // answers a repeat there, and is kept once the platform is back.
    const store = FakeStores.createFakeStore();
    const target = createTarget();
    const outage: readonly Fault[] = ['away', 'away', 'lostBefore', 'lostAfter'];
    const router = createRouter('a', store, target.runAttempts, [
      ...LEASES_FINE,
      'none',
      ...outage,
    ]);
    expect(await playOrder(router)).toEqual('done: run 1');
    expect(await playOrder(router)).toEqual('done: run 1');
    await router.writer.drain();
    expect(await playOrder(createRouter('b', store, target.runAttempts))).toEqual('done: run 1');
    expect(target.getRuns()).toEqual(1);
  });

  it('do not send when the router was paused past the claim', async () => {
    // A router is paused between claim and sending until the claim's lease has ended and another
    // router has run the order. Waking up, it still believes that the claim is its own.
    const store = FakeStores.createFakeStore();
    const target = createTarget();
    const clock = FakeStores.createInstantClock();
    const pauseAfterWrite = async (): Promise<void> => {
      if (store.listEntries().length > 0) clock.advance(FakeRouters.CLAIM_SECONDS * 1_000);
    };
    const slow = store.openStore(pauseAfterWrite, () => 'none');
    const router = FakeRouters.createFakeRouter({
      name: 'a',
      store: slow,
      clock,
      runAttempts: target.runAttempts,
    });
    expect(await playOrder(router)).toEqual('notRun: overloaded');
    expect(target.getRuns()).toEqual(0);
  });

  it('cost two calls for one order, two for thirty at once and one for a repeat', async () => {
    const store = FakeStores.createFakeStore();
    const target = createTarget();
    const router = createRouter('a', store, target.runAttempts);
    const leaseCalls = LEASES_FINE.length;
    await playOrder(router);
    await router.writer.drain();
    expect(store.getCallCount() - leaseCalls).toEqual(2);
    const keys = Array.from({ length: 30 }, (_, index) => `batch-${index}`);
    const orders = keys.map((idempotencyKey) => FakeRouters.createOrder({ idempotencyKey }));
    await Promise.all(orders.map(async (order) => router.runOrder(order)));
    await router.writer.drain();
    expect(store.getCallCount() - leaseCalls).toEqual(4);
    await playOrder(router);
    expect(store.getCallCount() - leaseCalls).toEqual(5);
    await router.runOrder(FakeRouters.createOrder({ method: 'PUT' }));
    expect(store.getCallCount() - leaseCalls).toEqual(5);
  });
});
