import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { KeyValueStore, WatchEvent } from '@sequoiarill/types';
import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import * as FullReads from '../fullRead';
import type { RecordsOutcome } from '../peerMessages';
import * as StoreFollowers from '../storeFollower';
import * as Fixtures from './fixtures';

const READER = '10.0.0.9:1';
const CONFIGURATION = {
  key: 'configuration',
  value: Fixtures.createConfigurationText(1),
  revision: 5,
  createRevision: 1,
};
const UNCHANGED: RecordsOutcome = {
  kind: 'records',
  isTruncated: false,
  records: [],
  seenRevision: 10,
  ageMs: 0,
};

type ReadPage = KeyValueStore['readPage'];

const readOnePage: ReadPage = async () => ({
  kind: 'page',
  revision: 10,
  entries: [CONFIGURATION],
  hasMore: false,
});

/** Follows a store that answers each watch at once with the event, and counts all calls. */
function startFollower(event: WatchEvent, readPage = readOnePage, hasReader = false) {
  const clock = Kernel.createFakeClock();
  const log = Fixtures.createEventLog();
  const state = DirectoryStates.createDirectoryState({
    wire: Fixtures.WIRE,
    logEvent: log.logEvent,
    getNowMs: clock.getNowMs,
  });
  let calls = 0;
  const store: Pick<KeyValueStore, 'readPage' | 'watchPrefix' | 'renewConnections'> = {
    renewConnections: () => undefined,
    readPage(...request) {
      calls += 1;
      return readPage(...request);
    },
    async *watchPrefix() {
      calls += 1;
      yield event;
    },
  };
  const follower = StoreFollowers.createStoreFollower({
    store: store as KeyValueStore,
    state,
    clock,
    logEvent: log.logEvent,
    nextRandom: () => 0.5,
    chooseReader: () => (hasReader ? READER : undefined),
    recordReaderFailure: () => undefined,
    hasDependents: () => false,
    recordAge: () => undefined,
    async readPeer() {
      calls += 1;
      return UNCHANGED;
    },
  });
  const stop = new AbortController();
  const running = follower.run(stop.signal);
  return {
    clock,
    state,
    log,
    countCalls: () => calls,
    async stop() {
      stop.abort();
      await clock.runFor(5_000);
      await running;
    },
  };
}

const NO_CHANGES: WatchEvent = { kind: 'changes', revision: 10, changes: [] };
const COMPACTED: WatchEvent = { kind: 'compacted', oldestRevision: 11 };

describe('a store that answers without end', () => {
  // Guards against a loop of calls that takes the whole processor time, and the calls of all routers.
  const cases: readonly (readonly [string, WatchEvent, boolean])[] = [
    ['a watch that is answered at once without changes', NO_CHANGES, false],
    ['a watch that never finds its history', COMPACTED, false],
    ['a reader of the zone that answers at once without changes', NO_CHANGES, true],
  ];
  for (const [name, event, hasReader] of cases) {
    it(`is called ten times a second at most: ${name}`, async () => {
      const { clock, state, countCalls, stop } = startFollower(event, readOnePage, hasReader);
      await clock.runFor(10_000);
      await stop();
      expect(countCalls()).toBeLessThan(110);
      expect(state.getConfiguration()?.version).toEqual(1);
    });
  }

  it('has no more pages read than memory allows, and the configuration stays in force', async () => {
    // Guards against pages without end that take the memory of the process.
    const value = 'v'.repeat(FullReads.MAX_READ_CHARACTERS / 10);
    let reads = 0;
    const { clock, state, log, stop } = startFollower(COMPACTED, async () => {
      reads += 1;
      if (reads === 1) return readOnePage('', '');
      const entry = { key: `other/${reads}`, value, revision: 6, createRevision: 6 };
      return { kind: 'page', revision: 10, entries: [entry], hasMore: true };
    });
    await clock.runFor(3_000);
    expect(log.listNames().includes('directory.storeLost')).toEqual(true);
    expect(state.getConfiguration()?.version).toEqual(1);
    await stop();
  });
});
