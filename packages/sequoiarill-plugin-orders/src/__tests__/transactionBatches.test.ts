import { describe, it } from 'node:test';

import type { Clock, KeyTransaction } from '@sequoiarill/types';
import { expect } from 'earl';

import * as TransactionBatches from '../transactionBatches';
import type { TransactionBatcher } from '../transactionBatches';
import * as FakeStores from './fakeStore';
import type { FakeStore } from './fakeStore';

const SPACING_MS = 40;

/** Time passes only where the batcher waits. */
function createSteppingClock(): Clock {
  let nowMs = 0;
  return {
    getNowMs: () => nowMs,
    getRunningMs: () => nowMs,
    getWallTime: () => '',
    async waitMs(ms) {
      nowMs += ms;
    },
  };
}

function createBatcher(store: FakeStore, clock: Clock): TransactionBatcher {
  return TransactionBatches.createTransactionBatcher({
    store: store.openStore(
      async () => undefined,
      () => 'none',
    ),
    clock,
    windowMs: 3,
    lazyMs: 50,
    spacingMs: SPACING_MS,
    recordCall: () => undefined,
  });
}

function createClaim(key: string): KeyTransaction {
  return { comparisons: [{ key, revision: 0 }], writes: [{ key, value: key }] };
}

async function writeAll(batcher: TransactionBatcher, keys: readonly string[]) {
  const results = await Promise.all(keys.map((key) => batcher.writeItem(createClaim(key), true)));
  return results.map(({ kind }) => kind);
}

describe('batches of transactions', () => {
  it('keep the rate of calls bounded in a burst', async () => {
    // A thousand orders come at once after a sale opens. Claimed one by one, this router alone
    // would use up the platform's writes of several seconds, and configuration changes would wait.
    const store = FakeStores.createFakeStore();
    const clock = createSteppingClock();
    const keys = Array.from({ length: 1_000 }, (_, index) => `key-${index}`);
    const kinds = await writeAll(createBatcher(store, clock), keys);
    expect(new Set(kinds)).toEqual(new Set(['written']));
    expect(store.getCallCount()).toEqual(32);
    expect(clock.getNowMs() >= 31 * SPACING_MS).toEqual(true);
  });

  it('settle conflicts without a call for each', async () => {
    // One caller repeats old orders among new ones of others. The repeats must not fail the new
    // ones, and not multiply the calls.
    const store = FakeStores.createFakeStore();
    const batcher = createBatcher(store, createSteppingClock());
    await writeAll(batcher, ['old-1', 'old-2']);
    const kinds = await writeAll(batcher, ['old-1', 'new-1', 'old-2', 'new-2']);
    expect(kinds).toEqual(['conflict', 'written', 'conflict', 'written']);
    expect(store.getCallCount()).toEqual(3);
  });

  it('put one key into a batch only once', async () => {
    // A double click brings one key twice to one router. The service refuses a transaction that
    // writes a key twice, and everybody's claims in it would fail.
    const store = FakeStores.createFakeStore();
    const batcher = createBatcher(store, createSteppingClock());
    const kinds = await writeAll(batcher, ['same', 'same', 'other']);
    expect(kinds).toEqual(['written', 'conflict', 'written']);
  });
});
