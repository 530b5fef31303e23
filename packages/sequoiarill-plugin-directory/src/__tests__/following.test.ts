import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { KeyValueEntry, KeyValueStore, WatchEvent } from '@sequoiarill/types';
import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import * as PeerNews from '../peerNews';
import * as StoreFollowers from '../storeFollower';
import * as Fixtures from './fixtures';

type Answer = 'answers' | 'unavailable';

/** A store in the test's hands: its watches end when it becomes unavailable. */
function createStore(clock: Kernel.FakeClock) {
  let answer: Answer = 'answers';
  let entries: readonly KeyValueEntry[] = [];
  let events: readonly WatchEvent[] = [];
  let rangeCalls = 0;
  let watchCalls = 0;
  const store: Pick<KeyValueStore, 'readPrefix' | 'watchPrefix'> = {
    async readPrefix() {
      rangeCalls += 1;
      if (answer === 'unavailable') return { kind: 'unavailable', message: 'turned away' };
      return { kind: 'range', revision: 10, entries };
    },
    async *watchPrefix(_prefix, _from, signal) {
      while (!signal.aborted) {
        watchCalls += 1;
        if (answer === 'unavailable') return;
        const [event, ...later] = events;
        events = later;
        if (event === undefined) await clock.waitMs(2_000, signal);
        yield event ?? { kind: 'changes', revision: 10, changes: [] };
      }
    },
  };
  return {
    store: store as KeyValueStore,
    setAnswer(next: Answer) {
      answer = next;
    },
    setEntries(next: readonly KeyValueEntry[]) {
      entries = next;
    },
    addEvent(event: WatchEvent) {
      events = [...events, event];
    },
    countCalls: () => rangeCalls + watchCalls,
  };
}

function createConfiguration(version: number, revision: number): KeyValueEntry {
  const value = Fixtures.createConfigurationText(version);
  return { key: 'configuration', value, revision, createRevision: 1 };
}

function createFollowed() {
  const clock = Kernel.createFakeClock();
  const log = Fixtures.createEventLog();
  const fake = createStore(clock);
  const state = DirectoryStates.createDirectoryState({
    wire: Fixtures.WIRE,
    logEvent: log.logEvent,
    getNowMs: clock.getNowMs,
  });
  const { logEvent } = log;
  const nextRandom = () => 0.5;
  const parts = { store: fake.store, state, clock, logEvent, nextRandom };
  return { clock, log, fake, state, follower: StoreFollowers.createStoreFollower(parts) };
}

describe('following the store', () => {
  it('reads everything again when the history is gone', async () => {
    // The store drops its history while a configuration changes, and the watch is told so. Watching on
    // from the newest revision would miss the change for good.
    const { clock, fake, state, follower } = createFollowed();
    const stop = new AbortController();
    fake.setEntries([createConfiguration(1, 5)]);
    const running = follower.run(stop.signal);
    await clock.runFor(100);
    expect(state.getConfiguration()?.version).toEqual(1);
    fake.setEntries([createConfiguration(2, 9)]);
    fake.addEvent({ kind: 'compacted', oldestRevision: 9 });
    await clock.runFor(4_000);
    expect(state.getConfiguration()?.version).toEqual(2);
    stop.abort();
    await clock.runFor(5_000);
    await running;
  });

  it('asks a store that turns it away about once a second, and tells once', async () => {
    // The store turns a router away for half a minute. Asked without a pause, hundreds of calls would
    // be paid for, and the others' share of its rate would shrink.
    const { clock, fake, log, follower } = createFollowed();
    const stop = new AbortController();
    fake.setEntries([createConfiguration(1, 5)]);
    const running = follower.run(stop.signal);
    await clock.runFor(3_000);
    fake.setAnswer('unavailable');
    await clock.runFor(3_000);
    const before = fake.countCalls();
    await clock.runFor(30_000);
    expect(fake.countCalls() - before).toBeLessThan(45);
    expect(log.listNames().filter((name) => name === 'directory.storeLost').length).toEqual(1);
    fake.setAnswer('answers');
    await clock.runFor(3_000);
    expect(follower.isConnected()).toEqual(true);
    stop.abort();
    await clock.runFor(5_000);
    await running;
  });

  it('learns from a peer what the store does not tell it', async () => {
    // The store serves the others and turns this router away, while an operator takes a key away.
    const { clock, fake, log, state, follower } = createFollowed();
    const stop = new AbortController();
    fake.setEntries([createConfiguration(1, 5)]);
    const news = PeerNews.createPeerNews({
      state,
      client: {
        readRecords: async (_address, after) => ({
          kind: 'records',
          records: [createConfiguration(2, 9)].filter(({ revision }) => revision > after),
        }),
        close: async () => undefined,
      },
      clock,
      logEvent: log.logEvent,
      nextRandom: () => 0.5,
      listPeers: () => ['10.0.0.2:1'],
      getLostSinceMs: follower.getLostSinceMs,
    });
    const running = Promise.all([follower.run(stop.signal), news.run(stop.signal)]);
    await clock.runFor(1_900);
    expect(state.getConfiguration()?.version).toEqual(1);
    fake.setAnswer('unavailable');
    await clock.runFor(3_500);
    expect(state.getConfiguration()?.version).toEqual(2);
    stop.abort();
    await clock.runFor(5_000);
    await running;
  });
});
