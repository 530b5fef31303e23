/** Keeps since when the store has not responded to this router. */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock, LogEvent } from '@sequoiarill/types';

import type { Confirmation } from './confirmation';
import * as DelayedRemovals from './delayedRemovals';
import type { DirectoryState } from './directoryState';
import * as Events from './events';

export interface StoreOutage {
  readonly markLost: (reason: string, seenRevision: number) => void;
  /** `hasTargets`: targets are known whose entries may have lapsed meanwhile. */
  readonly markConnected: (hasTargets: boolean) => void;
  /** Undefined while the store responds. Monotonic milliseconds. */
  readonly getLostSinceMs: () => number | undefined;
}

export interface StoreOutageOptions {
  readonly state: Pick<DirectoryState, 'delayRemovalsUntil'>;
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly logEvent: LogEvent;
  readonly confirmation: Pick<Confirmation, 'getAgeMs'>;
}

/** Shorter interruptions do not count as an outage. */
const MIN_OUTAGE_MS = 1_000;

export function createStoreOutage(options: StoreOutageOptions): StoreOutage {
  const { state, clock, logEvent, confirmation } = options;
  let lostSinceMs: number | undefined = clock.getNowMs();
  let lastFailureReason = 'starting';

  return {
    markLost(reason, seenRevision) {
      lastFailureReason = reason;
      if (lostSinceMs !== undefined) return;
      lostSinceMs = clock.getNowMs();
      logEvent(Events.STORE_LOST, {
        ...Kernel.Revisions.splitRevision(seenRevision),
        confirmedAgeMs: confirmation.getAgeMs(),
        reason,
      });
    },
    markConnected(hasTargets) {
      if (lostSinceMs === undefined) return;
      const nowMs = clock.getNowMs();
      const lastedMs = nowMs - lostSinceMs;
      lostSinceMs = undefined;
      if (hasTargets && lastedMs > MIN_OUTAGE_MS) {
        state.delayRemovalsUntil(nowMs + DelayedRemovals.REREGISTRATION_MS);
      }
      logEvent(Events.STORE_REGAINED, {
        lastedMs: Math.round(lastedMs),
        reason: lastFailureReason,
      });
    },
    getLostSinceMs: () => lostSinceMs,
  };
}
