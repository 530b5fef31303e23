import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { KeyTransaction, KeyValueStore } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Registrations from '../registration';
import type { Predecessor } from '../registration';

const KEY = 'sequoiarill/routers/r1';
const STOP_KEY = 'sequoiarill/stopped/r1';
const RECORD = 'what the process leaves';

interface FakeStore {
  readonly values: Map<string, string>;
  readonly revoked: string[];
  isAway: boolean;
}

function createStore(fake: FakeStore) {
  const unavailable = { kind: 'unavailable', message: 'away' } as const;
  const store: Pick<
    KeyValueStore,
    'grantLease' | 'refreshLease' | 'revokeLease' | 'writeTransaction' | 'renewConnections'
  > = {
    grantLease: async (ttlSeconds) =>
      fake.isAway ? unavailable : { kind: 'granted', leaseId: 'l1', ttlSeconds },
    refreshLease: async () => ({ kind: 'granted', leaseId: 'l1', ttlSeconds: 20 }),
    async revokeLease(leaseId) {
      fake.revoked.push(leaseId);
    },
    async writeTransaction({ comparisons, writes }: KeyTransaction) {
      if (fake.isAway) return unavailable;
      const current = comparisons.flatMap(({ key }) => {
        const value = fake.values.get(key);
        return value === undefined ? [] : [{ key, value, revision: 1, createRevision: 1 }];
      });
      if (current.length > 0) return { kind: 'conflict', revision: 0, current };
      for (const { key, value } of writes) {
        if (value === undefined) fake.values.delete(key);
        else fake.values.set(key, value);
      }
      return { kind: 'written', revision: 2 };
    },
    renewConnections: () => undefined,
  };
  return store as KeyValueStore;
}

function startProcess(fake: FakeStore) {
  const clock = Kernel.createFakeClock();
  const stopping = new AbortController();
  const found: Predecessor[] = [];
  const running = Registrations.runRegistration(
    {
      store: createStore(fake),
      clock,
      key: KEY,
      stopKey: STOP_KEY,
      buildStopRecord: () => RECORD,
      entry: { address: '10.0.0.1:1', zone: 'a' },
      getEra: () => 1,
      reportPredecessor: (predecessor) => found.push(predecessor),
    },
    stopping.signal,
  );
  return {
    clock,
    found,
    async stop() {
      stopping.abort();
      await clock.runFor(10_000);
      await running;
    },
  };
}

function createFake(): FakeStore {
  return { values: new Map(), revoked: [], isAway: false };
}

describe('what a router leaves to the next process of its name', () => {
  it('is a record in place of its entry when it stops as planned', async () => {
    // Guards against a process that takes a planned stop for a router that has never run.
    const fake = createFake();
    const first = startProcess(fake);
    await first.clock.runFor(1_000);
    expect(first.found).toEqual([{ isFound: false, stopRecord: undefined }]);
    await first.stop();
    expect([...fake.values]).toEqual([[STOP_KEY, RECORD]]);
    const second = startProcess(fake);
    await second.clock.runFor(1_000);
    expect(second.found).toEqual([{ isFound: true, stopRecord: RECORD }]);
    expect([...fake.values.keys()]).toEqual([KEY]);
    await second.stop();
  });

  it('is its entry alone when it is killed, also after an earlier planned stop', async () => {
    // Guards against a killed process whose share is taken for that of one that has stopped before it.
    const fake = createFake();
    const first = startProcess(fake);
    await first.clock.runFor(1_000);
    const second = startProcess(fake);
    await second.clock.runFor(1_000);
    expect(second.found).toEqual([{ isFound: true, stopRecord: undefined }]);
    fake.values.set(STOP_KEY, RECORD);
    const third = startProcess(fake);
    await third.clock.runFor(1_000);
    expect(third.found).toEqual([{ isFound: true, stopRecord: undefined }]);
    await Promise.all([first, second, third].map((process) => process.stop()));
  });

  it('is nothing that lasts where the store is away when it stops', async () => {
    const fake = createFake();
    const process = startProcess(fake);
    await process.clock.runFor(1_000);
    fake.isAway = true;
    await process.stop();
    expect(fake.revoked).toEqual(['l1']);
  });
});
