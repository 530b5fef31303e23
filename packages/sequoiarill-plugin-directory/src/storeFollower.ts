/**
 * Follows the store: reads everything once, then watches from there, or queries a reader of the
 * zone that does so.
 */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock, KeyValueStore, LogEvent } from '@sequoiarill/types';

import * as Confirmations from './confirmation';
import type { Confirmation } from './confirmation';
import type { DirectoryState } from './directoryState';
import * as EraSweeps from './eraSweep';
import * as Events from './events';
import * as FullReads from './fullRead';
import * as Pacing from './pacing';
import * as ReaderPollings from './readerPolling';
import type { ReaderPollingOptions, ReaderRecords } from './readerPolling';
import * as StoreOutages from './storeOutage';
import * as StoreWatches from './storeWatch';
import type { WatchResult } from './storeWatch';

const { splitRevision } = Kernel.Revisions;

export interface StoreFollowerOptions {
  readonly store: KeyValueStore;
  readonly state: DirectoryState;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  /** The router to query instead of the store; undefined while the store itself is watched. */
  readonly chooseReader: () => string | undefined;
  /** Excludes a reader for a while, because it did not respond or is out of date. */
  readonly recordReaderFailure: (reader: string) => void;
  readonly readPeer: ReaderPollingOptions['readPeer'];
  /** Whether routers of the zone may query this one instead of the store. */
  readonly hasDependents: () => boolean;
  /** Receives the age that a confirmation had reached when a newer one arrived, in milliseconds. */
  readonly recordAge: (ageMs: number) => void;
}

export interface StoreFollower extends Confirmation {
  /** Follows the store until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
  /** Whether the last call was answered. */
  readonly isConnected: () => boolean;
  /**
   * Time since which the store has not responded; undefined while it does. Monotonic milliseconds.
   */
  readonly getLostSinceMs: () => number | undefined;
}

/**
 * One watch covers the keys of operators and of targets: each waiting watch is a call that costs.
 */
export const WATCHED_PREFIX = '';
/**
 * Pause after changes before the next ones are requested. Targets that restart together write one
 * after the other, and each single change would cost a call. The pause is well below the two
 * seconds within which a change must be in force.
 */
const BATCH_PAUSE_MS = 350;
/** First and longest wait after a failed call. It doubles in between, and half of it is random. */
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 1_000;
/**
 * A watch that finds no history sooner after a full read is followed by a wait: full reads in a loop would use
 * up the links and the calls of all routers.
 */
const MIN_FULL_READ_INTERVAL_MS = 500;

function computeRetryWaitMs(failures: number, random: number): number {
  return Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** failures) * (0.5 + random / 2);
}

function buildFields({ getSeenRevision, getAgeMs }: Confirmation) {
  return { ...splitRevision(getSeenRevision()), confirmedAgeMs: getAgeMs() };
}

async function waitToRetry(
  { clock, state, nextRandom }: Pick<StoreFollowerOptions, 'clock' | 'state' | 'nextRandom'>,
  failures: number,
  signal: AbortSignal,
): Promise<void> {
  await clock.waitMs(computeRetryWaitMs(failures, nextRandom()), signal);
  state.removeDueTargets();
}

export function createStoreFollower(options: StoreFollowerOptions): StoreFollower {
  const { store, state, clock, logEvent } = options;
  const fullRead = FullReads.createFullRead({ store, state, clock, prefix: WATCHED_PREFIX });
  const confirmation = Confirmations.createConfirmation({
    getNowMs: clock.getNowMs,
    recordAge: options.recordAge,
  });
  const outage = StoreOutages.createStoreOutage({ state, clock, logEvent, confirmation });
  let fullReadAtMs = Number.NEGATIVE_INFINITY;
  /** Watches in a row that found no history; waits between the full reads that follow get longer. */
  let compactions = 0;
  const eraSweep = EraSweeps.createEraSweep(state);
  /** Whether everything must be read before a watch can continue. */
  let isFullReadDue = true;
  const watch = StoreWatches.createStoreWatch({
    store,
    state,
    clock,
    logEvent,
    confirmation,
    outage,
    prefix: WATCHED_PREFIX,
    hasDependents: options.hasDependents,
  });
  const readerPolling = ReaderPollings.createReaderPolling({
    clock,
    confirmation,
    readPeer: options.readPeer,
    applyRecords: applyReaderRecords,
  });

  const markLost = (reason: string) => outage.markLost(reason, confirmation.getSeenRevision());

  function markConnected(): void {
    // A router that started during an outage knows its targets from peers.
    outage.markConnected(Number.isFinite(fullReadAtMs) || state.getRevision() > 0);
  }

  function applyReaderRecords(records: ReaderRecords): void {
    markConnected();
    eraSweep.applyOutcome(records);
    confirmation.recordSeen(records.seenRevision);
    state.removeDueTargets();
  }

  async function readNextPage(): Promise<'complete' | 'more' | 'failed'> {
    const result = await fullRead.readNextPage();
    if (result.kind === 'failed') {
      markLost(result.reason);
      store.renewConnections();
      return 'failed';
    }
    markConnected();
    if (result.kind === 'more') return 'more';
    confirmation.recordSeen(result.revision);
    fullReadAtMs = clock.getNowMs();
    eraSweep.markRead(confirmation.getSeenRevision());
    confirmation.recordConfirmed(result.startedAtMs);
    return 'complete';
  }

  const waitAfterChanges = (signal: AbortSignal) => clock.waitMs(BATCH_PAUSE_MS, signal);

  async function runWatch(signal: AbortSignal): Promise<WatchResult['kind']> {
    const startedMs = clock.getNowMs();
    const result = await watch.run(signal);
    if (result.kind === 'failed') {
      if (!signal.aborted) markLost('a watch got no response');
      store.renewConnections();
      return 'failed';
    }
    markConnected();
    if (result.kind === 'compacted') {
      compactions += 1;
      logEvent(Events.HISTORY_GONE, splitRevision(confirmation.getSeenRevision()));
      store.renewConnections();
      return 'compacted';
    }
    compactions = 0;
    state.removeDueTargets();
    if (result.changeCount > 0) await waitAfterChanges(signal);
    else await Pacing.waitForNextCall(clock, startedMs, signal);
    return 'changes';
  }

  /** Returns when the reader has failed, or when another one is to be queried. */
  async function runReaderPolling(reader: string, signal: AbortSignal): Promise<void> {
    const isChosen = () => options.chooseReader() === reader;
    const reason = await readerPolling.run(signal, reader, isChosen, () =>
      waitAfterChanges(signal),
    );
    if (reason === undefined) return;
    logEvent(Events.READER_LEFT, { reader, reason, ...buildFields(confirmation) });
    options.recordReaderFailure(reader);
    // The open connections were idle and may be silent.
    store.renewConnections();
  }

  /** Runs one read or watch; returns `next` if another one may follow immediately. */
  async function runOnce(signal: AbortSignal): Promise<'next' | 'retry'> {
    if (isFullReadDue) {
      const result = await readNextPage();
      isFullReadDue = result !== 'complete';
      return result === 'failed' ? 'retry' : 'next';
    }
    const reader = options.chooseReader();
    if (reader !== undefined) {
      await runReaderPolling(reader, signal);
      return 'next';
    }
    const result = await runWatch(signal);
    isFullReadDue = result === 'compacted';
    const isTooSoon = clock.getNowMs() - fullReadAtMs < MIN_FULL_READ_INTERVAL_MS;
    return result === 'failed' || (isFullReadDue && isTooSoon) ? 'retry' : 'next';
  }

  async function run(signal: AbortSignal): Promise<void> {
    let failures = 0;
    const pacer = Kernel.createRoundPacer(clock);
    while (!signal.aborted) {
      await pacer.waitForRound();
      const seenBefore = confirmation.getSeenRevision();
      const pagesBefore = fullRead.countPages();
      const startedMs = clock.getNowMs();
      const next = await runOnce(signal);
      const hasProgressed =
        confirmation.getSeenRevision() > seenBefore ||
        fullRead.countPages() > pagesBefore ||
        clock.getNowMs() - startedMs > MAX_RETRY_MS;
      failures = hasProgressed ? 0 : failures + 1;
      if (next === 'retry' && !signal.aborted) {
        await waitToRetry(options, Math.max(failures, compactions), signal);
      }
    }
  }

  return {
    ...confirmation,
    run,
    isConnected: () => outage.getLostSinceMs() === undefined,
    getLostSinceMs: outage.getLostSinceMs,
  };
}
