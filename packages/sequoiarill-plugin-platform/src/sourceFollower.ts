/** Follows one place of the document in the platform: read all, watch from there, confirm by reads. */
import type { Clock, ConfigurationSection, LogEvent, WatchEvent } from '@sequoiarill/types';

import * as DocumentRecords from './documentRecords';
import type { RecordSource } from './documentRecords';
import * as Events from './events';
import type { PlatformStore } from './keyValueStore';

export interface SourceFollowerOptions {
  readonly source: RecordSource;
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  readonly applyRecords: (records: readonly ConfigurationSection[]) => void;
}

export type FollowOutcome =
  { readonly kind: 'confirmed'; readonly revision: number } | { readonly kind: 'unavailable' };

export interface SourceFollower {
  /** Reads everything; what is missing there but known here is kept. */
  readonly readAll: () => Promise<FollowOutcome>;
  /** Applies changes until the signal is aborted, over as many watches as that takes. */
  readonly runWatch: (signal: AbortSignal) => Promise<void>;
  /** Asks which keys changed; mends a watch that missed one. */
  readonly checkRevision: () => Promise<FollowOutcome>;
}

/** First wait before a watch is opened again, in milliseconds; doubles up to the bound. */
const RETRY_MS = 100;
/**
 * A watch this late is taken for silent. Reading everything sooner would, in a burst of changes, answer
 * a platform that is a little late with many times the load.
 */
const GAP_MS = 1_500;
/** Below the 8 s in which a change must be in force, with room for the reading. */
const MAX_RETRY_MS = 3_000;

export function createSourceFollower(options: SourceFollowerOptions): SourceFollower {
  const { source, store, clock, logEvent } = options;
  /** Every change up to it was seen. */
  let seenRevision = 0;
  /** Highest revision of a record that was seen, also of a refused one. */
  let newestRecord = 0;
  /** A change that a confirming read knew and the watch had not brought, and since when. */
  let missedRevision = 0;
  let missedSinceMs = 0;
  let isOlder = false;

  function applyRecords(records: readonly ConfigurationSection[]): void {
    newestRecord = Math.max(newestRecord, ...records.map((record) => record.revision));
    options.applyRecords(records);
  }

  /**
   * Failure: the platform was restored from a backup. Its records carry lower revisions than ours and
   * would take accepted changes back. The state ignores them one by one; this tells operators once.
   */
  function markOlder(platformRevision: number): void {
    const isOlderNow = platformRevision < seenRevision;
    if (isOlderNow && !isOlder) {
      const held = { platformRevision, heldRevision: seenRevision };
      logEvent(Events.PLATFORM_OLDER, { source: source.prefix, ...held });
    }
    isOlder = isOlderNow;
  }

  async function readAll(): Promise<FollowOutcome> {
    const range = await store.readPrefix(source.prefix);
    if (range.kind === 'unavailable') return { kind: 'unavailable' };
    markOlder(range.revision);
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
   * Failure: a watch that looks open but delivers nothing any more, as after a lost connection that
   * no side closed. It shows as a key that confirming reads know and we do not, for longer than a
   * working watch is late; then everything is read again, so a silent watch delays a change by seconds
   * and never loses it.
   */
  async function checkRevision(): Promise<FollowOutcome> {
    const range = await store.readChangedKeys(source.prefix, newestRecord);
    if (range.kind === 'unavailable') return { kind: 'unavailable' };
    markOlder(range.revision);
    const newest = Math.max(0, ...range.entries.map((entry) => entry.revision));
    if (newest <= newestRecord) {
      seenRevision = Math.max(seenRevision, range.revision);
      return { kind: 'confirmed', revision: range.revision };
    }
    const isWaitingAlready = missedRevision > newestRecord;
    if (isWaitingAlready && clock.getNowMs() - missedSinceMs >= GAP_MS) return readAll();
    if (!isWaitingAlready) {
      missedRevision = newest;
      missedSinceMs = clock.getNowMs();
    }
    return { kind: 'confirmed', revision: seenRevision };
  }

  return { readAll, runWatch, checkRevision };
}
