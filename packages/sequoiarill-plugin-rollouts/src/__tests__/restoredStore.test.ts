import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { StoredEntry } from '@sequoiarill/types';
import { expect } from 'earl';

import * as RolloutRecords from '../rolloutRecord';
import * as RolloutViews from '../rolloutViews';

const { buildRevision } = Kernel.Revisions;
const ORDER_KEY = 'rollouts/orders';
const RECORD_KEY = 'states/orders';
const ORDER_NUMBER = 20;

function createViews() {
  let entries: readonly StoredEntry[] = [];
  const views = RolloutViews.createRolloutViews({
    directory: {
      listEntries: (prefix) => entries.filter(({ key }) => key.startsWith(prefix)),
      listTargets: () => [],
    },
    wire: Kernel.createFakeWire({
      decodeRolloutOrder: (toVersion) => ({
        kind: 'order',
        order: { service: 'orders', toVersion, durationMs: 1_000 },
      }),
    }),
    recordPrefix: 'states/',
    getNowMs: () => 0,
    logEvent: () => undefined,
  });
  return {
    views,
    setEntries(next: readonly StoredEntry[]) {
      entries = next;
      views.update();
    },
  };
}

function createOrder(era: number): StoredEntry {
  return { key: ORDER_KEY, revision: buildRevision(era, ORDER_NUMBER), value: 'v2' };
}

function createRecord(era: number): StoredEntry {
  const value = RolloutRecords.encodeRecord({
    orderRevision: buildRevision(1, ORDER_NUMBER),
    fromVersion: 'v1',
    toVersion: 'v2',
    phase: 'completed',
    share: 1,
    elapsedMs: 9_000,
    reason: 'sound',
  });
  return { key: RECORD_KEY, revision: buildRevision(era, ORDER_NUMBER + 5), value };
}

describe('a roll-out in a store that was restored', () => {
  it('is not started again because its order has the same number in a later era', () => {
    // Guards against completed roll-outs that all begin again at their first phase.
    const { views, setEntries } = createViews();
    setEntries([createOrder(1), createRecord(1)]);
    setEntries([createOrder(2), createRecord(2)]);
    expect(views.get('orders')?.split.phase).toEqual('completed');
  });

  it('goes on from its state when the copy lacks it, as one that is to be written anew', () => {
    // Guards against steps that are never written, each compared with a revision that is gone.
    const { views, setEntries } = createViews();
    setEntries([createOrder(1), createRecord(1)]);
    setEntries([createOrder(2)]);
    expect(views.get('orders')?.split.phase).toEqual('completed');
    expect(views.get('orders')?.record?.revision).toEqual(0);
  });
});
