/**
 * Decides who of a zone reads the platform. One holder of a lease does; the others are told by peers
 * and call the platform only when the news they have grow old.
 */
import type { Clock, LogEvent } from '@sequoiarill/types';

import type { NewsKeeper } from './configurationNews';
import * as Events from './events';
import type { LeaseKeeper } from './leaseKeeper';
import type { PlatformReader } from './platformReader';

/** `always` reads the platform in every process, for an installation of a few routers. */
export type ReaderMode = 'auto' | 'always';

export interface ReaderDutyOptions {
  readonly mode: ReaderMode;
  readonly keeper: LeaseKeeper;
  readonly reader: PlatformReader;
  /** Reads everything once and takes it in, without being the reader. */
  readonly readInstead: () => Promise<void>;
  readonly news: NewsKeeper;
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly nextRandom: () => number;
  readonly markAway: (isAway: boolean) => void;
}

/** Three confirmations missed; below it, one slow answer would make a whole zone call. */
export const STALE_NEWS_MS = 3_000;
/** Over it the zone's other nodes spread their attempts: 32 nodes ask one after another. */
const ATTEMPT_SPREAD_MS = 1_500;
/** News this old although another holds the duty: links between routers are broken. */
const BYPASS_NEWS_MS = 2 * STALE_NEWS_MS;
/** Peers that have news are heard within it after a start; a router alone loses no more. */
const START_SPREAD_MS = 250;
const RETRY_MS = 500;
/** After an outage, 570 nodes ask over ten seconds, far below two thousand reads a second. */
const MAX_RETRY_MS = 10_000;

export interface ReaderDuty {
  readonly run: (signal: AbortSignal) => Promise<void>;
  readonly isReader: () => boolean;
}

export function createReaderDuty(options: ReaderDutyOptions): ReaderDuty {
  const { keeper, reader, news, clock, logEvent, nextRandom, markAway } = options;
  const startedMs = clock.getNowMs();
  let isReading = false;
  let retryMs = RETRY_MS;

  async function runAsHolder(signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const session = AbortSignal.any([signal, stop.signal]);
    isReading = true;
    logEvent(Events.READER_STARTED, { fence: keeper.getFence() });
    const refreshes = keeper.runRefreshes(session);
    const reading = reader.runSession(session, keeper.isHolder);
    // Whichever ends first notices the lost lease and ends the other.
    await Promise.race([refreshes, reading]);
    stop.abort();
    await Promise.all([refreshes, reading]);
    await keeper.releaseDuty();
    isReading = false;
    logEvent(Events.READER_STOPPED);
  }

  async function waitForRetry(signal: AbortSignal): Promise<void> {
    await clock.waitMs(retryMs * (1 + nextRandom()) * 0.5, signal);
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
  }

  /** Reads without the duty, so that broken links between routers keep no change away. */
  async function readIfCutOff(): Promise<void> {
    if (news.getAgeMs() < BYPASS_NEWS_MS) return;
    // Right after a start this is the usual way to the first configuration, and no sign of a fault.
    if (clock.getNowMs() - startedMs >= BYPASS_NEWS_MS) logEvent(Events.READER_BYPASSED);
    await options.readInstead();
  }

  async function runAttempt(signal: AbortSignal): Promise<void> {
    const outcome = await keeper.reserveDuty();
    markAway(outcome.kind === 'unavailable');
    if (outcome.kind === 'unavailable') {
      await waitForRetry(signal);
      return;
    }
    retryMs = RETRY_MS;
    if (outcome.kind === 'held') {
      await runAsHolder(signal);
      return;
    }
    await readIfCutOff();
    await clock.waitMs(STALE_NEWS_MS / 2 + nextRandom() * ATTEMPT_SPREAD_MS, signal);
  }

  async function runShared(signal: AbortSignal): Promise<void> {
    await clock.waitMs(nextRandom() * START_SPREAD_MS, signal);
    while (!signal.aborted) {
      const remainingMs = STALE_NEWS_MS - news.getAgeMs();
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
