/**
 * Follows the store: reads everything once, then watches from there, or asks a router of the zone that
 * does so.
 */
import type { Clock, KeyValueStore, LogEvent, WatchEvent } from '@sequoiarill/types';

import type { DirectoryState } from './directoryState';
import * as Events from './events';
import type { PeerAnswer } from './peerMessages';
import type { DirectoryRecord } from './recordLog';
import * as WholeReadings from './wholeReading';

export interface StoreFollowerOptions {
  readonly store: KeyValueStore;
  readonly state: DirectoryState;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  /** The router that is asked in place of the store; undefined while the store itself is watched. */
  readonly chooseReader: () => string | undefined;
  /** The router asked did not answer, or what it knows is old: it is not chosen for a while. */
  readonly recordUnfit: (reader: string) => void;
  readonly readPeer: (reader: string, afterRevision: number, waitMs: number) => Promise<PeerAnswer>;
  /** Longest wait of a watch that others hang on, milliseconds; undefined where nobody does. */
  readonly getWatchWaitMs: () => number | undefined;
}

export interface StoreFollower {
  /** Follows until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
  /** Everything up to it was seen. */
  readonly getSeenRevision: () => number;
  /** Time since the store last told so, to this router or to the one that it asks, milliseconds. */
  readonly getAgeMs: () => number;
  /** The last call was answered. */
  readonly isConnected: () => boolean;
  /** Since when the store has not answered; undefined while it does. Monotonic milliseconds. */
  readonly getLostSinceMs: () => number | undefined;
}

/** One watch sees operators' and targets' keys alike: each watch that waits is a call that is paid. */
const WATCHED_PREFIX = '';
/**
 * Pause after changes before the next ones are asked for, milliseconds. Targets that restart together
 * write one after the other, and each change alone would cost a call; it stays well below the two
 * seconds in which a change must be in force.
 */
const BATCH_PAUSE_MS = 350;
/** Wait of a watch that other routers hang on, milliseconds: they see by its age whether it lives. */
export const READER_WAIT_MS = 700;
/**
 * What is older than this is not waited on, milliseconds: more than a reader's wait, its pause after
 * changes and the answer take together, and so little that a router which then asks the store itself
 * has a change in force within two seconds.
 */
export const MAX_AGE_MS = 1_300;
/** Time that a reader may wait for news before it answers, milliseconds. */
const PEER_WAIT_MS = 600;
/** First and longest wait after a failed call, milliseconds; doubles in between, half of it random. */
const RETRY_MS = 150;
const MAX_RETRY_MS = 1_200;
/** Targets that live are back in the store about this long after the store is, milliseconds. */
export const REAPPEAR_MS = 2_300;
/** A call that fails within this time of the last good one is no outage yet, milliseconds. */
const OUTAGE_MS = 1_000;

export function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
  const { store, state, clock, logEvent } = options;
  const reading = WholeReadings.createWholeReading(store, state, WATCHED_PREFIX);
  let lostSinceMs: number | undefined = clock.getNowMs();
  let lastReason = 'starting';
  /** Everything up to it was seen. */
  let seenRevision = 0;
  let hasReadAll = false;
  /** Everything must be read before a watch can go on. */
  let mustRead = true;
  /** As of when `seenRevision` was the newest. */
  let freshAtMs = Number.NEGATIVE_INFINITY;

  function markLost(reason: string): void {
    lastReason = reason;
    if (lostSinceMs !== undefined) return;
    lostSinceMs = clock.getNowMs();
    logEvent(Events.STORE_LOST, { revision: seenRevision, reason });
  }

  function markFresh(ageMs = 0): void {
    freshAtMs = Math.max(freshAtMs, clock.getNowMs() - ageMs);
  }

  function markAnswered(): void {
    if (lostSinceMs === undefined) return;
    const nowMs = clock.getNowMs();
    const lastedMs = nowMs - lostSinceMs;
    lostSinceMs = undefined;
    // A router that started in an outage knows its targets from peers.
    const hasTargets = hasReadAll || state.getRevision() > 0;
    if (hasTargets && lastedMs > OUTAGE_MS) state.holdRemovalsUntil(nowMs + REAPPEAR_MS);
    logEvent(Events.STORE_REGAINED, { lastedMs: Math.round(lastedMs), reason: lastReason });
  }

  async function readNextPage(): Promise<'whole' | 'more' | 'failed'> {
    const end = await reading.readNextPage();
    if (end.kind === 'failed') {
      markLost(end.reason);
      return 'failed';
    }
    markAnswered();
    if (end.kind === 'more') return 'more';
    seenRevision = Math.max(seenRevision, end.revision);
    hasReadAll = true;
    markFresh();
    return 'whole';
  }

  function applyChanges(event: Extract<WatchEvent, { kind: 'changes' }>): void {
    const records = event.changes.map(({ key, revision, entry }): DirectoryRecord =>
      entry === undefined ? { key, revision } : { key, revision, value: entry.value },
    );
    state.applyRecords(records);
    seenRevision = Math.max(seenRevision, event.revision);
  }

  /**
   * After `ended` and `changed` another watch goes on from there, after `historyGone` everything must be
   * read.
   *
   * Failure: a router starts before it knows any other, and its watch waits as long as it may. Others
   * come to hang on it, find what it knows old whenever nothing changes for a second, and all watch the
   * store themselves. So a watch ends when its wait is not the one that is due any more.
   */
  async function runWatch(signal: AbortSignal): Promise<'ended' | 'historyGone' | 'changed'> {
    const waitMs = options.getWatchWaitMs();
    for await (const event of store.watchPrefix(WATCHED_PREFIX, seenRevision + 1, signal, waitMs)) {
      markAnswered();
      markFresh();
      if (event.kind === 'compacted') {
        logEvent(Events.HISTORY_GONE, { revision: seenRevision });
        return 'historyGone';
      }
      applyChanges(event);
      state.removeDue();
      if (event.changes.length > 0) await clock.waitMs(BATCH_PAUSE_MS, signal);
      if (options.chooseReader() !== undefined || options.getWatchWaitMs() !== waitMs) {
        return 'changed';
      }
    }
    return 'ended';
  }

  /** Ends when the reader is unfit, or another one is to be asked. */
  async function runPeerWatch(reader: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && options.chooseReader() === reader) {
      const answer = await options.readPeer(reader, seenRevision, PEER_WAIT_MS);
      if (answer.kind === 'failed' || answer.ageMs >= MAX_AGE_MS) {
        const reason = answer.kind === 'failed' ? answer.reason : 'what it knows is old';
        logEvent(Events.READER_LEFT, { reader, revision: seenRevision, reason });
        options.recordUnfit(reader);
        return;
      }
      markAnswered();
      markFresh(answer.ageMs);
      state.applyRecords(answer.records);
      seenRevision = Math.max(seenRevision, answer.seenRevision);
      state.removeDue();
      if (answer.records.length > 0) await clock.waitMs(BATCH_PAUSE_MS, signal);
    }
  }

  async function waitToRetry(failures: number, signal: AbortSignal): Promise<void> {
    const waitMs = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** failures);
    await clock.waitMs(waitMs * (0.5 + options.nextRandom() / 2), signal);
    state.removeDue();
  }

  /** One reading or watch; `next` says whether another one is due at once. */
  async function runOnce(signal: AbortSignal): Promise<'next' | 'retry'> {
    if (mustRead) {
      const end = await readNextPage();
      mustRead = end !== 'whole';
      return end === 'failed' ? 'retry' : 'next';
    }
    const reader = options.chooseReader();
    if (reader !== undefined) {
      await runPeerWatch(reader, signal);
      return 'next';
    }
    const end = await runWatch(signal);
    mustRead = end === 'historyGone';
    if (end === 'ended' && !signal.aborted) markLost('a watch was not answered');
    return end === 'ended' ? 'retry' : 'next';
  }

  async function run(signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      const seenBefore = seenRevision;
      const pagesBefore = reading.countPages();
      const startedMs = clock.getNowMs();
      const next = await runOnce(signal);
      const isProgress =
        seenRevision > seenBefore ||
        reading.countPages() > pagesBefore ||
        clock.getNowMs() - startedMs > MAX_RETRY_MS;
      failures = isProgress ? 0 : failures + 1;
      if (next === 'retry' && !signal.aborted) await waitToRetry(failures, signal);
    }
  }

  return {
    run,
    getSeenRevision: () => seenRevision,
    getAgeMs: () => clock.getNowMs() - freshAtMs,
    isConnected: () => lostSinceMs === undefined,
    getLostSinceMs: () => lostSinceMs,
  };
}
