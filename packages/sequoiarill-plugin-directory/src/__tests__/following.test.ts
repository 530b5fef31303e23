import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { KeyValueEntry, KeyValueStore, WatchEvent } from '@sequoiarill/types';
import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import type { PeerClient } from '../peerClient';
import type { PeerAnswer } from '../peerMessages';
import * as PeerNews from '../peerNews';
import * as StoreFollowers from '../storeFollower';
import * as Fixtures from './fixtures';

/** Of a watch that names no wait of its own, milliseconds. */
const LONGEST_WAIT_MS = 2_000;

type Answer = 'answers' | 'unavailable';

/** A store in the test's hands: its watches end when it becomes unavailable. */
function createStore(clock: Kernel.FakeClock) {
  let answer: Answer = 'answers';
  let entries: readonly KeyValueEntry[] = [];
  let events: readonly WatchEvent[] = [];
  let rangeCalls = 0;
  let watchCalls = 0;
  const store: Pick<KeyValueStore, 'readPage' | 'watchPrefix'> = {
    async readPage() {
      rangeCalls += 1;
      if (answer === 'unavailable') return { kind: 'unavailable', message: 'turned away' };
      return { kind: 'page', revision: 10, entries, hasMore: false };
    },
    async *watchPrefix(_prefix, _from, signal, waitMs = LONGEST_WAIT_MS) {
      while (!signal.aborted) {
        watchCalls += 1;
        if (answer === 'unavailable') return;
        const [event, ...later] = events;
        events = later;
        if (event === undefined) await clock.waitMs(waitMs, signal);
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

/** News from one peer that answers as the test says. */
function createNews(
  { state, clock, log, follower }: ReturnType<typeof createFollowed>,
  readRecords: PeerClient['readRecords'],
) {
  return PeerNews.createPeerNews({
    state,
    client: { readRecords },
    clock,
    logEvent: log.logEvent,
    nextRandom: () => 0.5,
    listPeers: () => ['10.0.0.2:1'],
    getSeenRevision: follower.getSeenRevision,
    getLostSinceMs: follower.getLostSinceMs,
  });
}

interface ReaderState {
  isUsed: boolean;
  answers: boolean;
  ageMs: number;
  records: readonly KeyValueEntry[];
  /** Of this router's own watches, while others hang on it. */
  watchWaitMs: number | undefined;
}

/** Another router of the zone, in the test's hands. */
function createReader(clock: Kernel.FakeClock) {
  const state: ReaderState = {
    isUsed: false,
    answers: true,
    ageMs: 0,
    records: [],
    watchWaitMs: undefined,
  };
  let calls = 0;
  return {
    state,
    countCalls: () => calls,
    parts: {
      chooseReader: () => (state.isUsed ? '10.0.0.9:1' : undefined),
      recordUnfit: () => {
        state.isUsed = false;
      },
      getWatchWaitMs: () => state.watchWaitMs,
      readPeer: async (_address: string, after: number, waitMs: number): Promise<PeerAnswer> => {
        calls += 1;
        const listNews = () => state.records.filter(({ revision }) => revision > after);
        if (!state.answers) {
          await clock.waitMs(waitMs + 600);
          return { kind: 'failed', reason: 'no answer' };
        }
        if (listNews().length === 0) await clock.waitMs(waitMs);
        const seenRevision = Math.max(10, ...state.records.map(({ revision }) => revision));
        return { kind: 'records', records: listNews(), seenRevision, ageMs: state.ageMs };
      },
    },
  };
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
  const reader = createReader(clock);
  const parts = { store: fake.store, state, clock, logEvent, nextRandom, ...reader.parts };
  const follower = StoreFollowers.createStoreFollower(parts);
  return { clock, log, fake, state, follower, reader };
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

  it('keeps the targets of its zone when peers say that their entries lapsed in a cut', async () => {
    // A zone is cut off; the entries of its targets lapse. When the cut ends its routers hear so from
    // peers, before the store answers them and before the targets have written again. Dropped at once,
    // the targets beside them cannot be used, and callers are refused with "no target is known".
    const followed = createFollowed();
    const { clock, fake, log, state, follower } = followed;
    const stop = new AbortController();
    const value = Fixtures.createTargetText('10.0.0.1:1');
    fake.setEntries([{ key: 'targets/one', value, revision: 5, createRevision: 1 }]);
    const news = createNews(followed, async (_address, after) => ({
      kind: 'records',
      seenRevision: 9,
      ageMs: 0,
      records: after < 9 ? [{ key: 'targets/one', revision: 9 }] : [],
    }));
    const running = Promise.all([follower.run(stop.signal), news.run(stop.signal)]);
    await clock.runFor(1_900);
    fake.setAnswer('unavailable');
    await clock.runFor(2_000);
    expect(log.listNames().includes('directory.learnedFromPeer')).toEqual(true);
    expect(state.listTargets('engines').length).toEqual(1);
    await clock.runFor(5_000);
    expect(state.listTargets('engines').length).toEqual(0);
    stop.abort();
    await clock.runFor(5_000);
    await running;
  });

  it('tells often enough that nothing changed, also when others came to hang on it later', async () => {
    // All routers start at once. The one that is to read for its zone knows of nobody yet, and its first
    // watch waits as long as it may. The others hang on it, find what it knows old in the first calm
    // second, and each watches the store itself for seconds, again and again.
    const { clock, fake, follower, reader } = createFollowed();
    const stop = new AbortController();
    fake.setEntries([createConfiguration(1, 5)]);
    const running = follower.run(stop.signal);
    await clock.runFor(100);
    reader.state.watchWaitMs = StoreFollowers.READER_WAIT_MS;
    fake.addEvent({ kind: 'changes', revision: 11, changes: [] });
    await clock.runFor(LONGEST_WAIT_MS);
    const ages: number[] = [];
    for (let passedMs = 0; passedMs < 10_000; passedMs += 50) {
      await clock.runFor(50);
      ages.push(follower.getAgeMs());
    }
    expect(Math.max(...ages)).toBeLessThan(StoreFollowers.MAX_AGE_MS);
    stop.abort();
    await clock.runFor(5_000);
    await running;
  });

  it('learns from the reader of its zone, and makes no call of the store meanwhile', async () => {
    const { clock, fake, state, follower, reader } = createFollowed();
    const stop = new AbortController();
    fake.setEntries([createConfiguration(1, 5)]);
    reader.state.isUsed = true;
    const running = follower.run(stop.signal);
    await clock.runFor(1_000);
    const before = fake.countCalls();
    reader.state.records = [createConfiguration(2, 12)];
    await clock.runFor(10_000);
    expect(state.getConfiguration()?.version).toEqual(2);
    expect(follower.getSeenRevision()).toEqual(12);
    expect(fake.countCalls()).toEqual(before);
    expect(follower.isConnected()).toEqual(true);
    stop.abort();
    await clock.runFor(5_000);
    await running;
  });

  it('asks the store itself within two seconds when its reader freezes or is cut off', async () => {
    // The reader of the zone falls silent, or is alone cut off from the store, just as an operator
    // takes a key away. The routers that ask it are well, and must have the change in force in time.
    for (const fault of ['silent', 'cutOff'] as const) {
      const { clock, fake, state, follower, reader, log } = createFollowed();
      const stop = new AbortController();
      fake.setEntries([createConfiguration(1, 5)]);
      reader.state.isUsed = true;
      const running = follower.run(stop.signal);
      await clock.runFor(2_900);
      if (fault === 'silent') reader.state.answers = false;
      else reader.state.ageMs = StoreFollowers.MAX_AGE_MS;
      const change = { ...createConfiguration(2, 12), entry: createConfiguration(2, 12) };
      fake.addEvent({ kind: 'changes', revision: 12, changes: [change] });
      await clock.runFor(1_900);
      expect(state.getConfiguration()?.version).toEqual(2);
      expect(log.listNames().includes('directory.readerLeft')).toEqual(true);
      stop.abort();
      await clock.runFor(5_000);
      await running;
    }
  });

  it('learns from a peer what the store does not tell it', async () => {
    // The store serves the others and turns this router away, while an operator takes a key away.
    const followed = createFollowed();
    const { clock, fake, state, follower } = followed;
    const stop = new AbortController();
    fake.setEntries([createConfiguration(1, 5)]);
    const news = createNews(followed, async (_address, after) => ({
      kind: 'records',
      seenRevision: 9,
      ageMs: 0,
      records: [createConfiguration(2, 9)].filter(({ revision }) => revision > after),
    }));
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
