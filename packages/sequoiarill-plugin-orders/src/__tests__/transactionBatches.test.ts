import { describe, it } from 'node:test';

import type { Clock, KeyTransaction } from '@sequoiarill/types';
import { expect } from 'earl';

import * as TransactionBatches from '../transactionBatches';
import type { TransactionBatcher } from '../transactionBatches';
import * as FakeStores from './fakeStore';
import type { FakeStore } from './fakeStore';

const MIN_CALL_INTERVAL_MS = 40;

/** A clock that advances only by the waits of the batcher. */
function createSteppingClock(): Clock {
  let nowMs = 0;
  return {
    getNowMs: () => nowMs,
    getRunningMs: () => nowMs,
    getLastDelay: () => undefined,
    getReadDelayMs: () => 0,
    getWallTime: () => '',
    async waitMs(ms) {
      nowMs += ms;
    },
  };
}

function createBatcher(store: FakeStore, clock: Clock): TransactionBatcher {
  return TransactionBatches.createTransactionBatcher({
    store: store.createClient(
      async () => undefined,
      () => 'none',
    ),
    clock,
    batchWindowMs: 3,
    nonUrgentDelayMs: 50,
    minCallIntervalMs: MIN_CALL_INTERVAL_MS,
    recordCall: () => undefined,
  });
}

function createClaim(key: string): KeyTransaction {
  return { comparisons: [{ key, revision: 0 }], writes: [{ key, value: key }] };
}

async function writeAll(batcher: TransactionBatcher, keys: readonly string[]) {
  const results = await Promise.all(
    keys.map((key) => batcher.writeTransaction(createClaim(key), true)),
  );
  return results.map(({ kind }) => kind);
}

describe('batches of transactions', () => {
  it('limit the rate of calls in a burst', async () => {
    // 1,000 orders arrive at once. With one call per claim, this router alone would use up the
    // platform's writes of several seconds and delay configuration changes.
    const store = FakeStores.createFakeStore();
    const clock = createSteppingClock();
    const keys = Array.from({ length: 1_000 }, (_, index) => `key-${index}`);
    const kinds = await writeAll(createBatcher(store, clock), keys);
    expect(new Set(kinds)).toEqual(new Set(['written']));
    expect(store.getCallCount()).toEqual(32);
    expect(clock.getNowMs() >= 31 * MIN_CALL_INTERVAL_MS).toEqual(true);
  });

  it('resolve several conflicts with one additional call', async () => {
    // A caller repeats old orders while other callers send new ones. The conflicts of the repeated
    // orders must not fail the new ones or multiply the calls.
    const store = FakeStores.createFakeStore();
    const batcher = createBatcher(store, createSteppingClock());
    await writeAll(batcher, ['old-1', 'old-2']);
    const kinds = await writeAll(batcher, ['old-1', 'new-1', 'old-2', 'new-2']);
    expect(kinds).toEqual(['conflict', 'written', 'conflict', 'written']);
    expect(store.getCallCount()).toEqual(3);
  });

  it('contain each key only once', async () => {
    // A double click sends the same key twice to one router. The service rejects a transaction that
    // writes a key twice, which would fail all claims in the batch.
    const store = FakeStores.createFakeStore();
    const batcher = createBatcher(store, createSteppingClock());
    const kinds = await writeAll(batcher, ['same', 'same', 'other']);
    expect(kinds).toEqual(['written', 'conflict', 'written']);
  });
});
