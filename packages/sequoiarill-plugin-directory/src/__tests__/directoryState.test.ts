import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import * as Fixtures from './fixtures';

function createState() {
  let nowMs = 0;
  const log = Fixtures.createEventLog();
  const state = DirectoryStates.createDirectoryState({
    wire: Fixtures.WIRE,
    logEvent: log.logEvent,
    getNowMs: () => nowMs,
  });
  const listIds = () => state.listTargets('engines').map(({ id }) => id);
  const listStates = () => state.listTargets('engines').map(({ state: known }) => known);
  return {
    state,
    log,
    listIds,
    listStates,
    delay(ms: number) {
      nowMs += ms;
    },
  };
}

describe('the state of the directory', () => {
  it('never goes back to an older configuration, whoever brings it', () => {
    // A peer that was cut off for a while answers with what it knew before. Taken in, callers would be
    // served by routes and keys that operators had taken away.
    const { state } = createState();
    const value = Fixtures.createConfigurationText;
    state.applyRecords([{ key: 'configuration', revision: 9, value: value(7) }]);
    state.applyRecords([{ key: 'configuration', revision: 5, value: value(4) }]);
    expect(state.getConfiguration()?.version).toEqual(7);
    state.applyRecords([{ key: 'configuration', revision: 10, value: '{}' }]);
    expect(state.getConfiguration()?.version).toEqual(7);
  });

  it('keeps targets whose entries lapsed in an outage until they had time to come back', () => {
    // The store was away for seconds and says at its return that all engines are gone. They live, and
    // write their entries again within two seconds. Dropped at once, a whole service would be refused.
    const { state, listIds, listStates, delay } = createState();
    const value = Fixtures.createTargetText('10.0.0.1:1');
    const other = Fixtures.createTargetText('10.0.0.2:1');
    state.applyRecords([
      { key: 'targets/one', revision: 2, value },
      { key: 'targets/two', revision: 3, value: other },
    ]);
    state.holdRemovalsUntil(2_300);
    state.applyAll([], 8);
    expect(listIds()).toEqual(['one', 'two']);
    expect(listStates()).toEqual(['unconfirmed', 'unconfirmed']);
    state.applyRecords([{ key: 'targets/one', revision: 9, value }]);
    expect(new Set(listStates())).toEqual(new Set(['ready', 'unconfirmed']));
    delay(2_400);
    state.removeDue();
    expect(listIds()).toEqual(['one']);
  });

  it('uses a life that was met while the store was away, until the store does not confirm it', () => {
    // Two engines crash and start again under other ids while nobody can read their entries. At its
    // return the store confirms one of them; the other one has left meanwhile, and must be forgotten.
    const { state, listIds, delay } = createState();
    const first = Fixtures.createTargetText('10.0.0.1:1', 100);
    const second = Fixtures.createTargetText('10.0.0.2:1', 100);
    state.applyRecords([
      { key: 'targets/one', revision: 2, value: first },
      { key: 'targets/two', revision: 3, value: second },
    ]);
    const [one, two] = state.listTargets('engines');
    if (one === undefined || two === undefined) throw new Error('no targets');
    state.recordReplacement(one, 'one-again');
    state.recordReplacement(two, 'two-again');
    expect(listIds()).toEqual(['one-again', 'two-again']);
    state.removeDue();
    expect(listIds()).toEqual(['one-again', 'two-again']);
    state.holdRemovalsUntil(2_300);
    const value = Fixtures.createTargetText('10.0.0.1:1', 5_000);
    state.applyAll([{ key: 'targets/one-again', revision: 9, value }], 9);
    expect(listIds().includes('two-again')).toEqual(true);
    delay(2_400);
    state.removeDue();
    expect(listIds()).toEqual(['one-again']);
    // What a peer still knows of the life before does not bring it back.
    state.applyRecords([{ key: 'targets/one', revision: 2, value: first }]);
    expect(listIds()).toEqual(['one-again']);
  });

  it('removes at once what leaves while the store is well', () => {
    const { state, listIds } = createState();
    const value = Fixtures.createTargetText('10.0.0.1:1');
    state.applyRecords([{ key: 'targets/one', revision: 2, value }]);
    state.applyRecords([{ key: 'targets/one', revision: 3 }]);
    expect(listIds()).toEqual([]);
    // A late copy of the entry from a peer does not bring it back.
    state.applyRecords([{ key: 'targets/one', revision: 2, value }]);
    expect(listIds()).toEqual([]);
  });

  it('takes the newer of two lives at one address', () => {
    // An engine crashes and starts again under a new id within a second, and its old entry has not
    // lapsed yet. Requests for the old one would be refused by the new one.
    const { state, listIds } = createState();
    const early = Fixtures.createTargetText('10.0.0.1:1', 100);
    const late = Fixtures.createTargetText('10.0.0.1:1', 200);
    state.applyRecords([{ key: 'targets/old', revision: 2, value: early }]);
    state.applyRecords([{ key: 'targets/new', revision: 3, value: late }]);
    expect(listIds()).toEqual(['new']);
    state.applyRecords([{ key: 'targets/old', revision: 4 }]);
    expect(listIds()).toEqual(['new']);
  });

  it('tells peers all that is newer than they know, removals too', () => {
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

  it('names no target after a damaged entry', () => {
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
