/**
 * Watches one key range in the platform: a full read, then a watch, confirmed by periodic reads.
 */
import type { Clock, ConfigurationSection, LogEvent, WatchEvent } from '@sequoiarill/types';

import * as DocumentRecords from './documentRecords';
import type { RecordSource } from './documentRecords';
import * as Events from './events';
import type { PlatformStore } from './keyValueStore';

export interface SourceWatcherOptions {
  readonly source: RecordSource;
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  readonly applyRecords: (records: readonly ConfigurationSection[]) => void;
}

export type ReadOutcome =
  { readonly kind: 'confirmed'; readonly revision: number } | { readonly kind: 'unavailable' };

export interface SourceWatcher {
  /** Reads all records. Records that are missing there but known here are retained. */
  readonly readAll: () => Promise<ReadOutcome>;
  /** Applies watched changes until the signal is aborted, and reopens the watch when it ends. */
  readonly runWatch: (signal: AbortSignal) => Promise<void>;
  /** Reads which keys changed, and reads all records if the watch has missed a change. */
  readonly checkRevision: () => Promise<ReadOutcome>;
}

/** Initial delay before a watch is reopened. It doubles up to `MAX_RETRY_MS`. */
const RETRY_MS = 100;
/**
 * A watch that is this late is considered silent. A full read any sooner would multiply the load on
 * a platform that is only slightly late during a burst of changes.
 */
const SILENT_WATCH_MS = 1_500;
/** Below the 8 s within which a change must take effect, with time left for the read. */
const MAX_RETRY_MS = 3_000;

export function createSourceWatcher(options: SourceWatcherOptions): SourceWatcher {
  const { source, store, clock, logEvent } = options;
  /** Every change up to this revision was received. */
  let seenRevision = 0;
  /** Highest revision of a received record, including rejected ones. */
  let newestRecordRevision = 0;
  /**
   * Revision of a change that a confirming read found before the watch, and the time of that read.
   */
  let missedRevision = 0;
  let missedSinceMs = 0;
  let isRolledBack = false;

  function applyRecords(records: readonly ConfigurationSection[]): void {
    newestRecordRevision = Math.max(
      newestRecordRevision,
      ...records.map((record) => record.revision),
    );
    options.applyRecords(records);
  }

  /**
   * Failure: the platform was restored from a backup. Its records have lower revisions than those
   * applied here and would revert accepted changes. The state ignores them individually; this check
   * notifies operators once.
   */
  function checkRollback(platformRevision: number): void {
    const isBehind = platformRevision < seenRevision;
    if (isBehind && !isRolledBack) {
      const revisions = { platformRevision, heldRevision: seenRevision };
      logEvent(Events.PLATFORM_OLDER, { source: source.prefix, ...revisions });
    }
    isRolledBack = isBehind;
  }

  async function readAll(): Promise<ReadOutcome> {
    const range = await store.readPrefix(source.prefix);
    if (range.kind === 'unavailable') return { kind: 'unavailable' };
    checkRollback(range.revision);
    applyRecords(range.entries.map((entry) => DocumentRecords.decodeEntry(source, entry)));
    seenRevision = Math.max(seenRevision, range.revision);
    return { kind: 'confirmed', revision: range.revision };
  }

  async function handleEvent(event: WatchEvent): Promise<void> {
    if (event.kind === 'compacted') {
      logEvent(Events.WATCH_COMPACTED, { source: source.prefix, oldest: event.oldestRevision });
      await readAll();
      return;
    }
    applyRecords(event.changes.map((change) => DocumentRecords.decodeChange(source, change)));
    seenRevision = Math.max(seenRevision, event.revision);
  }

  async function runOneWatch(signal: AbortSignal): Promise<boolean> {
    let hasEvents = false;
    for await (const event of store.watchPrefix(source.prefix, seenRevision + 1, signal)) {
      hasEvents = true;
      await handleEvent(event);
    }
    return hasEvents;
  }

  async function runWatch(signal: AbortSignal): Promise<void> {
    let retryMs = RETRY_MS;
    while (!signal.aborted) {
      const hasEvents = await runOneWatch(signal);
      retryMs = hasEvents ? RETRY_MS : Math.min(MAX_RETRY_MS, retryMs * 2);
      if (!signal.aborted) await clock.waitMs(retryMs * options.nextRandom(), signal);
    }
  }

  /**
   * Failure: a watch appears open but delivers nothing, for example because its connection was lost
   * and neither side closed it. This is detected when confirming reads find a change that the watch
   * has not delivered for longer than a working watch is late. A full read then follows, so a
   * silent watch delays a change by seconds and never loses it.
   */
  async function checkRevision(): Promise<ReadOutcome> {
    const range = await store.readChangedKeys(source.prefix, newestRecordRevision);
    if (range.kind === 'unavailable') return { kind: 'unavailable' };
    checkRollback(range.revision);
    const newest = Math.max(0, ...range.entries.map((entry) => entry.revision));
    if (newest <= newestRecordRevision) {
      seenRevision = Math.max(seenRevision, range.revision);
      return { kind: 'confirmed', revision: range.revision };
    }
    const isAlreadyMissing = missedRevision > newestRecordRevision;
    if (isAlreadyMissing && clock.getNowMs() - missedSinceMs >= SILENT_WATCH_MS) return readAll();
    if (!isAlreadyMissing) {
      missedRevision = newest;
      missedSinceMs = clock.getNowMs();
    }
    return { kind: 'confirmed', revision: seenRevision };
  }

  return { readAll, runWatch, checkRevision };
}
