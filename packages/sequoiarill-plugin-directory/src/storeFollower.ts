/** Follows the store: reads everything once, then watches from there. */
import type { Clock, KeyValueStore, LogEvent, WatchEvent } from '@sequoiarill/types';

import type { DirectoryState } from './directoryState';
import * as Events from './events';
import type { DirectoryRecord } from './recordLog';

export interface StoreFollowerOptions {
  readonly store: KeyValueStore;
  readonly state: DirectoryState;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
}

export interface StoreFollower {
  /** Follows until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
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
/** First and longest wait after a failed call, milliseconds; doubles in between, half of it random. */
const RETRY_MS = 150;
const MAX_RETRY_MS = 1_200;
/** Targets that live are back in the store about this long after the store is, milliseconds. */
const REAPPEAR_MS = 2_300;
/** A call that fails within this time of the last good one is no outage yet, milliseconds. */
const OUTAGE_MS = 1_000;

export function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
  const { store, state, clock, logEvent } = options;
  let lostSinceMs: number | undefined = clock.getNowMs();
  let lastReason = 'starting';
  /** Everything up to it was seen. */
  let seenRevision = 0;
  let hasReadAll = false;

  function markLost(reason: string): void {
    lastReason = reason;
    if (lostSinceMs !== undefined) return;
    lostSinceMs = clock.getNowMs();
    logEvent(Events.STORE_LOST, { revision: seenRevision, reason });
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

  async function readAll(): Promise<boolean> {
    const range = await store.readPrefix(WATCHED_PREFIX);
    if (range.kind === 'unavailable') {
      markLost(range.message);
      return false;
    }
    markAnswered();
    const records = range.entries.map(({ key, revision, value }) => ({ key, revision, value }));
    state.applyAll(records, range.revision);
    seenRevision = Math.max(seenRevision, range.revision);
    hasReadAll = true;
    return true;
  }

  function applyChanges(event: Extract<WatchEvent, { kind: 'changes' }>): void {
    const records = event.changes.map(({ key, revision, entry }): DirectoryRecord =>
      entry === undefined ? { key, revision } : { key, revision, value: entry.value },
    );
    state.applyRecords(records);
    seenRevision = Math.max(seenRevision, event.revision);
  }

  /** After `ended` another watch goes on from there; after `historyGone` everything must be read. */
  async function runWatch(signal: AbortSignal): Promise<'ended' | 'historyGone'> {
    for await (const event of store.watchPrefix(WATCHED_PREFIX, seenRevision + 1, signal)) {
      markAnswered();
      if (event.kind === 'compacted') {
        logEvent(Events.HISTORY_GONE, { revision: seenRevision });
        return 'historyGone';
      }
      applyChanges(event);
      state.removeDue();
      if (event.changes.length > 0) await clock.waitMs(BATCH_PAUSE_MS, signal);
    }
    return 'ended';
  }

  async function waitToRetry(failures: number, signal: AbortSignal): Promise<void> {
    const waitMs = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** failures);
    await clock.waitMs(waitMs * (0.5 + options.nextRandom() / 2), signal);
    state.removeDue();
  }

  async function run(signal: AbortSignal): Promise<void> {
    let failures = 0;
    let mustRead = true;
    while (!signal.aborted) {
      const seenBefore = seenRevision;
      const startedMs = clock.getNowMs();
      if (mustRead) mustRead = !(await readAll());
      if (!mustRead && !signal.aborted) {
        const end = await runWatch(signal);
        mustRead = end === 'historyGone';
        if (end === 'ended' && !signal.aborted) markLost('a watch was not answered');
      }
      const isProgress = seenRevision > seenBefore || clock.getNowMs() - startedMs > MAX_RETRY_MS;
      failures = isProgress ? 0 : failures + 1;
      if (!signal.aborted && !(mustRead && isProgress)) await waitToRetry(failures, signal);
    }
  }

  return {
    run,
    isConnected: () => lostSinceMs === undefined,
    getLostSinceMs: () => lostSinceMs,
  };
}
