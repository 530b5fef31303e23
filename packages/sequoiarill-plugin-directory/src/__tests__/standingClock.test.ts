import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { KeyValueStore } from '@sequoiarill/types';
import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import * as StoreFollowers from '../storeFollower';
import type { StoreFollowerOptions } from '../storeFollower';
import * as Fixtures from './fixtures';

const TURNS = 100;
/** Rounds without a wait, over all waits. */
const MAX_ROUNDS = 20;
/** Bounds a test of a loop that never lets the event loop turn. */
const MAX_CALLS = 20_000;

/** A follower whose clock stands still, and whose calls are answered at once. */
function startFollower(change: Partial<StoreFollowerOptions>) {
  let calls = 0;
  const stopping = new AbortController();
  const { clock, countWaits, runTurns } = Kernel.createStandingClock();
  function countCall(): void {
    calls += 1;
    if (calls >= MAX_CALLS) stopping.abort();
  }
  const store: Pick<KeyValueStore, 'readPage' | 'watchPrefix' | 'renewConnections'> = {
    renewConnections: () => undefined,
    async readPage() {
      countCall();
      return { kind: 'page', revision: 10, entries: [], hasMore: false };
    },
    async *watchPrefix() {
      countCall();
      yield { kind: 'changes', revision: 10, changes: [] };
    },
  };
  const { logEvent } = Fixtures.createEventLog();
  const state = DirectoryStates.createDirectoryState({
    wire: Fixtures.WIRE,
    logEvent,
    getNowMs: clock.getNowMs,
  });
  const follower = StoreFollowers.createStoreFollower({
    store: store as KeyValueStore,
    state,
    clock,
    logEvent,
    nextRandom: () => 0.5,
    chooseReader: () => undefined,
    recordReaderFailure: () => undefined,
    hasDependents: () => false,
    recordAge: () => undefined,
    readPeer: async () => {
      countCall();
      return { kind: 'failed', reason: 'refused' };
    },
    ...change,
  });
  follower.run(stopping.signal).catch(() => stopping.abort());
  return { stopping, countCall, countCalls: () => calls, countWaits, runTurns };
}

async function checkPaced(change: (countCall: () => void) => Partial<StoreFollowerOptions>) {
  let countCall: () => void = () => undefined;
  const started = startFollower(change(() => countCall()));
  countCall = started.countCall;
  await started.runTurns(TURNS);
  expect(started.countCalls()).toBeLessThanOrEqual(MAX_ROUNDS + 4 * started.countWaits());
}

// Failure: a loop trusts that something in it waits, and takes the whole processor time where nothing does.
describe('the follower of the store, where the clock stands still', () => {
  it('makes few calls for each wait where all answers come at once', () => checkPaced(() => ({})));

  it('makes few calls for each wait where readers refuse at once', () =>
    checkPaced(() => ({ chooseReader: () => '10.0.0.9:1' })));

  it('makes few rounds for each wait where the choice of a reader alternates', () => {
    let isChosen = false;
    return checkPaced((countCall) => ({
      chooseReader() {
        countCall();
        isChosen = !isChosen;
        return isChosen ? '10.0.0.9:1' : undefined;
      },
    }));
  });
});
