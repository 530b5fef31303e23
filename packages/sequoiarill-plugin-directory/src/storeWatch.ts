/** Watches the store itself: applies changes, and has the known state confirmed before it is too old. */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock, KeyValueStore, LogEvent, WatchEvent } from '@sequoiarill/types';

import type { Confirmation } from './confirmation';
import type { DirectoryState } from './directoryState';
import * as Events from './events';
import type { StoreOutage } from './storeOutage';
import * as WatchAttempts from './watchAttempts';
import type { WatchAnswer } from './watchAttempts';
import * as WatchChanges from './watchChanges';

export interface StoreWatchOptions {
  readonly store: Pick<KeyValueStore, 'watchPrefix' | 'renewConnections'>;
  readonly state: Pick<DirectoryState, 'applyRecords'>;
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly logEvent: LogEvent;
  readonly confirmation: Confirmation;
  readonly outage: Pick<StoreOutage, 'getLostSinceMs'>;
  readonly prefix: string;
  /** Whether routers of the zone may query this one instead of the store. */
  readonly hasDependents: () => boolean;
}

export type WatchResult =
  | { readonly kind: 'changes'; readonly changeCount: number }
  /** Everything must be read before the next watch. */
  | { readonly kind: 'compacted' }
  | { readonly kind: 'failed' };

export interface StoreWatch {
  /** Returns when the store has answered or does not respond. */
  readonly run: (signal: AbortSignal) => Promise<WatchResult>;
}

/**
 * Age at which the store is to confirm the known state again. It leaves time for three more attempts, each
 * over a new connection, until two seconds are over.
 */
const CONFIRM_AGE_MS = 1_000;
/** The same for a reader: the age of its state is part of the age at the routers that query it. */
const READER_CONFIRM_AGE_MS = 700;
const MIN_WATCH_WAIT_MS = 1;
const MAX_ATTEMPTS = 4;

const { splitRevision } = Kernel.Revisions;

export function createStoreWatch(options: StoreWatchOptions): StoreWatch {
  const { store, state, clock, logEvent, confirmation, outage, prefix } = options;
  const watchAttempts = WatchAttempts.createWatchAttempts({
    store,
    clock,
    prefix,
    reportOverdue: (attempts) => logEvent(Events.WATCH_OVERDUE, { ...buildFields(), attempts }),
  });

  function buildFields() {
    const confirmedAgeMs = confirmation.getAgeMs();
    return { ...splitRevision(confirmation.getSeenRevision()), confirmedAgeMs };
  }

  function computeWaitMs(): number {
    const confirmAgeMs = options.hasDependents() ? READER_CONFIRM_AGE_MS : CONFIRM_AGE_MS;
    return Math.max(MIN_WATCH_WAIT_MS, confirmAgeMs - confirmation.getAgeMs());
  }

  function applyChanges(
    { attempt, confirmedAtMs }: WatchAnswer,
    event: Extract<WatchEvent, { kind: 'changes' }>,
  ): void {
    const { changes } = event;
    if (attempt > 1 && changes.length > 0) {
      logEvent(Events.WATCH_SILENT, { ...buildFields(), attempt, changes: changes.length });
    }
    WatchChanges.applyChanges({ state, confirmation }, event, confirmedAtMs);
  }

  return {
    async run(signal) {
      const answer = await watchAttempts.watchOnce({
        fromRevision: confirmation.getSeenRevision() + 1,
        waitMs: computeWaitMs(),
        // While the store is known not to respond, one call at a time finds out when it does again.
        maxAttempts: outage.getLostSinceMs() === undefined ? MAX_ATTEMPTS : 1,
        signal,
      });
      if (answer === undefined) return { kind: 'failed' };
      const { event } = answer;
      if (event.kind === 'compacted') return { kind: 'compacted' };
      applyChanges(answer, event);
      return { kind: 'changes', changeCount: event.changes.length };
    },
  };
}
