/**
 * Reads what has changed in the store, for questions that need news as young as themselves.
 *
 * Failure: a router is cut off, and concludes from the store's last confirmation that nothing else exists. What other
 * routers have learned and used since is not in that confirmation.
 */
import type { Clock, KeyValueStore } from '@sequoiarill/types';

import type { Confirmation } from './confirmation';
import * as WatchChanges from './watchChanges';
import type { WatchTargets } from './watchChanges';

export interface FreshReads {
  /**
   * Whether everything that the store held at a time, in monotonic milliseconds, is known here; reads it unless a
   * confirmation is as young. Resolves within `timeoutMs`.
   */
  readonly verifySince: (atMs: number, timeoutMs: number) => Promise<boolean>;
}

export interface FreshReadsOptions {
  readonly store: Pick<KeyValueStore, 'watchPrefix' | 'renewConnections'>;
  readonly state: WatchTargets['state'];
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly confirmation: Pick<
    Confirmation,
    'isConfirmedSince' | 'getAgeMs' | 'getSeenRevision' | 'recordSeen' | 'recordConfirmed'
  >;
  readonly prefix: string;
  /** Routers that read the store, including this one. */
  readonly countRouters: () => number;
  /** Receives whether a read was answered. */
  readonly recordRead: (isAnswered: boolean) => void;
}

/** Bounds what all routers together ask of the store; the platform answers 2,000 reads a second. */
const FLEET_READS_PER_SECOND = 1_000;
const MIN_INTERVAL_MS = 10;
/** A store that refuses is not asked again at once. */
const FAILED_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;
/** The store answers at once with the changes that it has. */
const WATCH_WAIT_MS = 1;
/** A read that is not answered by then may be on a connection that carries nothing. */
const READ_TIMEOUT_MS = 300;

export function createFreshReads(options: FreshReadsOptions): FreshReads {
  const { store, state, clock, confirmation, prefix, countRouters, recordRead } = options;
  let sentAtMs = Number.NEGATIVE_INFINITY;
  let minIntervalMs = MIN_INTERVAL_MS;
  /** One read for all questions that wait for it. */
  let reading: Promise<void> | undefined;

  async function waitForTurn(): Promise<void> {
    const intervalMs = (countRouters() * MS_PER_SECOND) / FLEET_READS_PER_SECOND;
    const leftMs = sentAtMs + Math.max(minIntervalMs, intervalMs) - clock.getNowMs();
    if (leftMs > 0) await clock.waitMs(leftMs);
  }

  async function readChanges(): Promise<void> {
    await waitForTurn();
    sentAtMs = clock.getNowMs();
    const startedAtMs = sentAtMs;
    const ended = new AbortController();
    const fromRevision = confirmation.getSeenRevision() + 1;
    const watch = store.watchPrefix(prefix, fromRevision, ended.signal, { waitMs: WATCH_WAIT_MS });
    const timedOut = clock.waitMs(READ_TIMEOUT_MS, ended.signal).then(() => undefined);
    const answer = await Promise.race([watch.next(), timedOut]);
    ended.abort();
    watch.return().catch(() => undefined);
    const event = answer?.value;
    const isAnswered = typeof event === 'object' && event.kind === 'changes';
    recordRead(isAnswered);
    minIntervalMs = isAnswered ? MIN_INTERVAL_MS : FAILED_INTERVAL_MS;
    if (isAnswered) WatchChanges.applyChanges({ state, confirmation }, event, startedAtMs);
    else store.renewConnections();
  }

  function startReading(): Promise<void> {
    reading ??= readChanges().finally(() => {
      reading = undefined;
    });
    return reading;
  }

  return {
    async verifySince(atMs, timeoutMs) {
      // Without a complete read there is nothing that changes could be added to.
      if (!Number.isFinite(confirmation.getAgeMs())) return false;
      const deadline = new AbortController();
      let isTimedOut = false;
      const timedOut = clock.waitMs(timeoutMs, deadline.signal).then(() => {
        isTimedOut = true;
      });
      while (!confirmation.isConfirmedSince(atMs) && !isTimedOut) {
        await Promise.race([startReading(), timedOut]);
      }
      deadline.abort();
      return confirmation.isConfirmedSince(atMs);
    },
  };
}
