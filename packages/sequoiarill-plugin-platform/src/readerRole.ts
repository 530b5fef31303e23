/**
 * Decides which router of a zone reads the platform. The holder of a lease does; the others receive
 * the configuration from peers and call the platform only if their last announcement is stale.
 */
import type { Clock, LogEvent } from '@sequoiarill/types';

import type { AnnouncementStore } from './announcementStore';
import * as Events from './events';
import type { LeaderElection } from './leaderElection';
import type { PlatformReader } from './platformReader';

/** With `always`, every process reads the platform. Suits installations with only a few routers. */
export type ReaderMode = 'auto' | 'always';

export interface ReaderRoleOptions {
  readonly mode: ReaderMode;
  readonly election: LeaderElection;
  readonly reader: PlatformReader;
  /** Reads and applies the full document once, without being the zone reader. */
  readonly readWithoutLease: () => Promise<void>;
  readonly announcements: AnnouncementStore;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  readonly markUnavailable: (isUnavailable: boolean) => void;
}

/** Three missed confirmations. Below it, one slow response would make a whole zone call. */
export const STALE_ANNOUNCEMENT_MS = 3_000;
/** Spreads the attempts of the other routers of a zone, so that 32 of them do not call at once. */
const ATTEMPT_SPREAD_MS = 1_500;
/** An announcement this old, while another router holds the role, indicates broken links. */
const BYPASS_AGE_MS = 2 * STALE_ANNOUNCEMENT_MS;
/** Peers announce their configuration within this time; a router without peers loses no more. */
const START_SPREAD_MS = 250;
const RETRY_MS = 500;
/** Spreads the reads of 570 routers after an outage over 10 s, far below 2,000 reads per second. */
const MAX_RETRY_MS = 10_000;

export interface ReaderRole {
  readonly run: (signal: AbortSignal) => Promise<void>;
  readonly isReader: () => boolean;
}

export function createReaderRole(options: ReaderRoleOptions): ReaderRole {
  const { election, reader, announcements, clock, logEvent, nextRandom, markUnavailable } = options;
  const startedMs = clock.getNowMs();
  let isReading = false;
  let retryMs = RETRY_MS;

  async function runAsReader(signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const session = AbortSignal.any([signal, stop.signal]);
    isReading = true;
    logEvent(Events.READER_STARTED, { fence: election.getFencingNumber() });
    const renewals = election.runRenewals(session);
    const reading = reader.runSession(session, election.isLeader);
    // The first of the two to end has detected the lost lease; the other is then stopped.
    await Promise.race([renewals, reading]);
    stop.abort();
    await Promise.all([renewals, reading]);
    await election.releaseLeadership();
    isReading = false;
    logEvent(Events.READER_STOPPED);
  }

  async function waitForRetry(signal: AbortSignal): Promise<void> {
    await clock.waitMs(retryMs * (1 + nextRandom()) * 0.5, signal);
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
  }

  /** Reads without the role, so that broken links between routers do not hold back changes. */
  async function readIfIsolated(): Promise<void> {
    if (announcements.getAgeMs() < BYPASS_AGE_MS) return;
    // Right after a start this is the normal way to load the first configuration, not a fault.
    if (clock.getNowMs() - startedMs >= BYPASS_AGE_MS) logEvent(Events.READER_BYPASSED);
    await options.readWithoutLease();
  }

  async function runAttempt(signal: AbortSignal): Promise<void> {
    const outcome = await election.acquireLeadership();
    markUnavailable(outcome.kind === 'unavailable');
    if (outcome.kind === 'unavailable') {
      await waitForRetry(signal);
      return;
    }
    retryMs = RETRY_MS;
    if (outcome.kind === 'held') {
      await runAsReader(signal);
      return;
    }
    await readIfIsolated();
    await clock.waitMs(STALE_ANNOUNCEMENT_MS / 2 + nextRandom() * ATTEMPT_SPREAD_MS, signal);
  }

  async function runShared(signal: AbortSignal): Promise<void> {
    await clock.waitMs(nextRandom() * START_SPREAD_MS, signal);
    while (!signal.aborted) {
      const remainingMs = STALE_ANNOUNCEMENT_MS - announcements.getAgeMs();
      if (remainingMs > 0) {
        await clock.waitMs(remainingMs + nextRandom() * ATTEMPT_SPREAD_MS, signal);
      } else {
        await runAttempt(signal);
      }
    }
  }

  async function runAlways(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await reader.runSession(signal, () => true);
      if (!signal.aborted) await waitForRetry(signal);
    }
  }

  return {
    run: (signal) => (options.mode === 'always' ? runAlways(signal) : runShared(signal)),
    isReader: () => isReading || options.mode === 'always',
  };
}
