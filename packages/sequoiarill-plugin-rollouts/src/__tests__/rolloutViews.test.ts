import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { ForwardingTarget, StoredEntry } from '@sequoiarill/types';
import { expect } from 'earl';

import * as RolloutRecords from '../rolloutRecord';
import type { RolloutRecord } from '../rolloutRecord';
import * as RolloutViews from '../rolloutViews';

const SERVICE = 'orders';
const RECORD_PREFIX = 'own/rollouts/';

const WIRE = Kernel.createFakeWire({
  decodeRolloutOrder: (text) =>
    text === ''
      ? { kind: 'malformed', reason: 'empty' }
      : { kind: 'order', order: { service: SERVICE, toVersion: text, durationMs: 10_000 } },
});

function createTarget(id: string, version: string): ForwardingTarget {
  return {
    id,
    version,
    startedAtUnixMs: 1,
    service: SERVICE,
    models: '',
    address: `10.0.0.1:${id}`,
    zone: 'a',
    slots: 1,
    state: 'ready',
    warmupLeftMs: 0,
  };
}

const TARGETS = [createTarget('1', 'v1'), createTarget('2', 'v1'), createTarget('3', 'v2')];

function createOrder(toVersion: string, revision: number): StoredEntry {
  return { key: `rollouts/${SERVICE}`, value: toVersion, revision };
}

function createRecord(phase: RolloutRecord['phase'], orderRevision: number): StoredEntry {
  const value = RolloutRecords.encodeRecord({
    orderRevision,
    fromVersion: 'v1',
    toVersion: 'v2',
    phase,
    share: 0.06,
    elapsedMs: 4_000,
    reason: 'a test',
  });
  return { key: `${RECORD_PREFIX}${SERVICE}`, value, revision: orderRevision + 1 };
}

/** Finds the split that a router derives from the store when it starts. */
function findSplit(entries: readonly StoredEntry[]) {
  const views = RolloutViews.createRolloutViews({
    directory: {
      listEntries: (prefix) => entries.filter(({ key }) => key.startsWith(prefix)),
      listTargets: () => TARGETS,
    },
    wire: WIRE,
    recordPrefix: RECORD_PREFIX,
    getNowMs: () => 0,
    logEvent: () => undefined,
  });
  views.update();
  const split = views.get(SERVICE)?.split;
  return split === undefined ? undefined : [split.phase, split.fromVersion, split.toVersion];
}

describe('a router that joins a roll-out', () => {
  it('starts in the phase that is stored, and leaves a final phase unchanged', () => {
    const phases: readonly RolloutRecord['phase'][] = [
      'canary',
      'trial',
      'moving',
      'completed',
      'rolledBack',
    ];
    for (const phase of phases) {
      const entries = [createOrder('v2', 5), createRecord(phase, 5)];
      expect(findSplit(entries)).toEqual([phase, 'v1', 'v2']);
    }
  });

  it('treats an order without a stored state as ordered, starting from the version in service', () => {
    expect(findSplit([createOrder('v2', 5)])).toEqual(['ordered', 'v1', 'v2']);
  });

  it('starts a new order from the result of the previous one', () => {
    const afterRollback = [createOrder('v2', 9), createRecord('rolledBack', 5)];
    expect(findSplit(afterRollback)).toEqual(['ordered', 'v1', 'v2']);
    const afterCompletion = [createOrder('v3', 9), createRecord('completed', 5)];
    expect(findSplit(afterCompletion)).toEqual(['ordered', 'v2', 'v3']);
  });

  it('rolls back when an unfinished order was withdrawn, and keeps a completed roll-out', () => {
    expect(findSplit([createRecord('canary', 5)])).toEqual(['rolledBack', 'v1', 'v2']);
    expect(findSplit([createRecord('completed', 5)])).toEqual(['completed', 'v1', 'v2']);
  });

  it('ignores an order that cannot be read', () => {
    expect(findSplit([createOrder('', 5)])).toEqual(undefined);
  });
});
