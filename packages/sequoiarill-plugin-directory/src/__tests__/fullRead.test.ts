import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { KeyValueEntry } from '@sequoiarill/types';
import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import * as FullReads from '../fullRead';
import * as Fixtures from './fixtures';

const TARGETS = 1_000;

function createEntries(): readonly KeyValueEntry[] {
  return Array.from({ length: TARGETS }, (_item, index) => ({
    key: `targets/t${index}`,
    value: Fixtures.createTargetText(`10.0.0.1:${index + 1}`),
    revision: index + 1,
    createRevision: index + 1,
  }));
}

/** Reads one page with all entries; `applied` lists how many targets became known at each time. */
async function readAll() {
  const clock = Kernel.createFakeClock();
  const applied = new Map<number, number>();
  const { logEvent } = Fixtures.createEventLog();
  const state = DirectoryStates.createDirectoryState({
    wire: Fixtures.WIRE,
    logEvent,
    getNowMs: clock.getNowMs,
  });
  function countAdded(apply: () => void): void {
    const before = state.listTargets('engines').length;
    apply();
    const added = state.listTargets('engines').length - before;
    const nowMs = clock.getNowMs();
    applied.set(nowMs, (applied.get(nowMs) ?? 0) + added);
  }
  const entries = createEntries();
  const fullRead = FullReads.createFullRead({
    clock,
    prefix: '',
    store: {
      readPage: async () => ({ kind: 'page', revision: TARGETS, entries, hasMore: false }),
    },
    state: {
      ...state,
      applyRecords: (records) => countAdded(() => state.applyRecords(records)),
      applySnapshot: (records, revision) =>
        countAdded(() => state.applySnapshot(records, revision)),
    },
  });
  const reading = fullRead.readNextPage();
  await clock.runFor(1_000);
  return { state, result: await reading, applied: [...applied.values()] };
}

describe('the first read of a large directory', () => {
  // Failure: a router that starts in a large fleet answers nobody while it applies all entries in one turn.
  it('is applied in slices, with other work between them', async () => {
    const { state, result, applied } = await readAll();
    expect(result.kind).toEqual('complete');
    expect(state.listTargets('engines').length).toEqual(TARGETS);
    expect(applied.reduce((sum, records) => sum + records, 0)).toEqual(TARGETS);
    expect(Math.max(...applied)).toBeLessThanOrEqual(100);
  });
});
