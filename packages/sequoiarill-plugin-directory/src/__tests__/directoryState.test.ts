import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import * as Fixtures from './fixtures';

function createState() {
  let nowMs = 0;
  const eventLog = Fixtures.createEventLog();
  const state = DirectoryStates.createDirectoryState({
    wire: Fixtures.WIRE,
    logEvent: eventLog.logEvent,
    getNowMs: () => nowMs,
  });
  const listIds = () => state.listTargets('engines').map(({ id }) => id);
  const listStates = () =>
    state.listTargets('engines').map(({ state: targetState }) => targetState);
  return {
    state,
    log: eventLog,
    listIds,
    listStates,
    advanceClock(ms: number) {
      nowMs += ms;
    },
  };
}

describe('directory state', () => {
  it('never returns to an older configuration, whatever its source', () => {
    // A peer that was cut off for a while responds with an outdated configuration. If it were
    // applied, callers would be served by routes and keys that operators had removed.
    const { state } = createState();
    const value = Fixtures.createConfigurationText;
    state.applyRecords([{ key: 'configuration', revision: 9, value: value(7) }]);
    state.applyRecords([{ key: 'configuration', revision: 5, value: value(4) }]);
    expect(state.getConfiguration()?.version).toEqual(7);
    state.applyRecords([{ key: 'configuration', revision: 10, value: '{}' }]);
    expect(state.getConfiguration()?.version).toEqual(7);
  });

  it('keeps targets whose entries lapsed in an outage until they had time to register again', () => {
    // The store was unavailable for seconds, and then reports all engines as removed. They are
    // running and write their entries again within two seconds. If they were dropped at once, all
    // requests to the service would be refused.
    const { state, listIds, listStates, advanceClock: delay } = createState();
    const value = Fixtures.createTargetText('10.0.0.1:1');
    const otherValue = Fixtures.createTargetText('10.0.0.2:1');
    state.applyRecords([
      { key: 'targets/one', revision: 2, value },
      { key: 'targets/two', revision: 3, value: otherValue },
    ]);
    state.delayRemovalsUntil(2_300);
    state.applySnapshot([], 8);
    expect(listIds()).toEqual(['one', 'two']);
    expect(listStates()).toEqual(['unconfirmed', 'unconfirmed']);
    state.applyRecords([{ key: 'targets/one', revision: 9, value }]);
    expect(new Set(listStates())).toEqual(new Set(['ready', 'unconfirmed']));
    delay(2_400);
    state.removeDueTargets();
    expect(listIds()).toEqual(['one']);
  });

  it('uses an incarnation found during a store outage unless the store does not confirm it', () => {
    // Two engines crash and restart under other ids while their entries cannot be read. When the
    // store responds again, it confirms one of them. The other one has terminated and must be
    // removed.
    const { state, listIds, advanceClock: delay } = createState();
    const firstValue = Fixtures.createTargetText('10.0.0.1:1', 100);
    const secondValue = Fixtures.createTargetText('10.0.0.2:1', 100);
    state.applyRecords([
      { key: 'targets/one', revision: 2, value: firstValue },
      { key: 'targets/two', revision: 3, value: secondValue },
    ]);
    const [firstTarget, secondTarget] = state.listTargets('engines');
    if (firstTarget === undefined || secondTarget === undefined) throw new Error('no targets');
    state.recordReplacement(firstTarget, 'one-again');
    state.recordReplacement(secondTarget, 'two-again');
    expect(listIds()).toEqual(['one-again', 'two-again']);
    // Until the store names it, its version may be another than that of the incarnation before.
    const isPresumed = () =>
      state.listTargets('engines').map(({ isVersionPresumed }) => isVersionPresumed === true);
    expect(isPresumed()).toEqual([true, true]);
    state.removeDueTargets();
    expect(listIds()).toEqual(['one-again', 'two-again']);
    state.delayRemovalsUntil(2_300);
    const value = Fixtures.createTargetText('10.0.0.1:1', 5_000);
    state.applySnapshot([{ key: 'targets/one-again', revision: 9, value }], 9);
    expect(listIds().includes('two-again')).toEqual(true);
    delay(2_400);
    state.removeDueTargets();
    expect(listIds()).toEqual(['one-again']);
    expect(isPresumed()).toEqual([false]);
    // An outdated record of the previous incarnation from a peer does not restore it.
    state.applyRecords([{ key: 'targets/one', revision: 2, value: firstValue }]);
    expect(listIds()).toEqual(['one-again']);
  });

  it('removes a target immediately while the store is available', () => {
    const { state, listIds } = createState();
    const value = Fixtures.createTargetText('10.0.0.1:1');
    state.applyRecords([{ key: 'targets/one', revision: 2, value }]);
    state.applyRecords([{ key: 'targets/one', revision: 3 }]);
    expect(listIds()).toEqual([]);
    // A late copy of the entry from a peer does not restore it.
    state.applyRecords([{ key: 'targets/one', revision: 2, value }]);
    expect(listIds()).toEqual([]);
  });

  it('uses the newer of two incarnations at one address', () => {
    // An engine crashes and restarts under a new id within a second, before its old entry has
    // lapsed. It would refuse requests for the old id.
    const { state, listIds } = createState();
    const olderValue = Fixtures.createTargetText('10.0.0.1:1', 100);
    const newerValue = Fixtures.createTargetText('10.0.0.1:1', 200);
    state.applyRecords([{ key: 'targets/old', revision: 2, value: olderValue }]);
    state.applyRecords([{ key: 'targets/new', revision: 3, value: newerValue }]);
    expect(listIds()).toEqual(['new']);
    state.applyRecords([{ key: 'targets/old', revision: 4 }]);
    expect(listIds()).toEqual(['new']);
  });

  it('lists all records after a revision, including removals', () => {
    const { state } = createState();
    const value = Fixtures.createTargetText('10.0.0.1:1');
    state.applyRecords([
      { key: 'targets/one', revision: 2, value },
      { key: 'targets/two', revision: 3, value },
    ]);
    state.applyRecords([{ key: 'targets/one', revision: 4 }]);
    expect(state.listRecordsAfter(3)).toEqual([{ key: 'targets/one', revision: 4 }]);
    expect(state.getRevision()).toEqual(4);
  });

  it('ignores a target with a damaged entry', () => {
    const { state, log, listIds } = createState();
    const value = Fixtures.createTargetText('10.0.0.1:1');
    state.applyRecords([
      { key: 'targets/one', revision: 2, value },
      { key: 'targets/two', revision: 3, value: '{}' },
    ]);
    expect(listIds()).toEqual(['one']);
    expect(log.listNames()).toEqual(expect.includes('directory.targetRefused'));
  });
});
