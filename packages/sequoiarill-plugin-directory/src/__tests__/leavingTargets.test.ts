import { describe, it } from 'node:test';

import type { ForwardingTarget } from '@sequoiarill/types';
import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import * as Fixtures from './fixtures';

const ADDRESS = '10.0.0.1:1';
const KEY = 'targets/one';
const BORN = 100;
const READY = Fixtures.createTargetText(ADDRESS, BORN);
const DRAINING = Fixtures.createTargetText(ADDRESS, BORN, 'draining');

function createState() {
  const state = DirectoryStates.createDirectoryState({
    wire: Fixtures.WIRE,
    logEvent: Fixtures.createEventLog().logEvent,
    getNowMs: () => 0,
  });
  state.applyRecords([{ key: KEY, revision: 2, value: READY }]);
  return state;
}

function getTarget(state: DirectoryStates.DirectoryState): ForwardingTarget | undefined {
  return state.listTargets('engines')[0];
}

function recordLeaving(state: DirectoryStates.DirectoryState): void {
  const target = getTarget(state);
  if (target !== undefined) state.recordLeaving(target);
}

describe('a target that has said that it leaves', () => {
  it('stays draining when its entry is written again and still says ready', () => {
    // Guards against new work for it after a full read of entries that are older than its word.
    const state = createState();
    recordLeaving(state);
    expect(getTarget(state)?.state).toEqual('draining');
    state.applySnapshot([{ key: KEY, revision: 9, value: READY }], 9);
    expect(getTarget(state)?.state).toEqual('draining');
  });

  it('stays draining when its entry lapses and returns', () => {
    // Guards against new work for it because its entry expired in an outage and was restored.
    const state = createState();
    recordLeaving(state);
    state.delayRemovalsUntil(1_000);
    state.applyRecords([{ key: KEY, revision: 3 }]);
    expect(getTarget(state)?.state).toEqual('draining');
    state.removeDueTargets();
    state.applyRecords([{ key: KEY, revision: 4, value: READY }]);
    expect(getTarget(state)?.state).toEqual('draining');
  });

  it('stays draining after its entry said so and an older copy says ready', () => {
    const state = createState();
    state.applyRecords([{ key: KEY, revision: 3, value: DRAINING }]);
    state.applyRecords([{ key: KEY, revision: 4, value: READY }]);
    expect(getTarget(state)?.state).toEqual('draining');
  });

  it('is ready again in its next incarnation, under the same id', () => {
    // Guards against a target that gets no work for ever because an earlier incarnation has left.
    const state = createState();
    recordLeaving(state);
    const value = Fixtures.createTargetText(ADDRESS, BORN + 1);
    state.applyRecords([{ key: KEY, revision: 3, value }]);
    expect(getTarget(state)?.state).toEqual('ready');
  });

  it('stays draining when the store reports an incarnation that was found without it', () => {
    // Guards against losing its word when its entry gives the start time, unknown until then.
    const state = createState();
    const found = getTarget(state);
    if (found === undefined) throw new Error('no target');
    state.recordReplacement(found, 'two');
    recordLeaving(state);
    const value = Fixtures.createTargetText(ADDRESS, BORN + 5_000);
    state.applyRecords([{ key: 'targets/two', revision: 3, value }]);
    expect(getTarget(state)?.id).toEqual('two');
    expect(getTarget(state)?.state).toEqual('draining');
  });
});
