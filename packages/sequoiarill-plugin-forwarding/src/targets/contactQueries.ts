/**
 * Answers other routers that ask whether this one hears targets of a service.
 *
 * Failure: a router that has lost its path asks one without requests, which has heard nothing lately for want of an
 * occasion. So a router whose word is old checks a target first.
 */
import type { Clock, ContactQuery, ContactReply, Directory } from '@sequoiarill/types';

import type { ContactCheck } from './contactCheck';
import type { PathMonitor } from './pathMonitor';

export interface ContactQueriesOptions {
  readonly clock: Pick<Clock, 'getRunningMs' | 'waitMs'>;
  readonly nextRandom: () => number;
  readonly directory: Pick<Directory, 'listTargets'>;
  readonly paths: Pick<PathMonitor, 'getSummary'>;
  /** An answer to the check counts as heard in `paths`. */
  readonly contacts: Pick<ContactCheck, 'checkContact'>;
}

/** A younger word is returned without a check. */
const FRESH_MS = 100;
/** Most engines answer a probe within 5 ms; the other router waits for 150 ms. */
const MAX_WAIT_MS = 100;
/**
 * At most one target is checked in this time for each service while none is heard. A paused process keeps the
 * connection of each check in its accept queue, also while hundreds of routers ask each other.
 */
const CHECK_INTERVAL_MS = 300;

interface Check {
  readonly startedMs: number;
  /** Settles when the check has ended or has taken too long to wait for. */
  readonly ended: Promise<unknown>;
}

export function createContactQueryHandler(
  options: ContactQueriesOptions,
): (query: ContactQuery) => Promise<ContactReply> {
  const { clock, directory, paths, contacts } = options;
  /** The last check of each service. */
  const checks = new Map<string, Check>();

  function startCheck(service: string): Check | undefined {
    const targets = directory.listTargets(service);
    const target = targets[Math.floor(options.nextRandom() * targets.length)];
    if (target === undefined) return undefined;
    const ended = Promise.race([contacts.checkContact(target), clock.waitMs(MAX_WAIT_MS)]);
    const check = { startedMs: clock.getRunningMs(), ended };
    checks.set(service, check);
    return check;
  }

  /** `ageMs`: time since a target was last heard. */
  function getCheck(service: string, ageMs: number): Check | undefined {
    const last = checks.get(service);
    const sinceCheckMs = last === undefined ? 0 : clock.getRunningMs() - last.startedMs;
    const isRecent = last !== undefined && sinceCheckMs < CHECK_INTERVAL_MS && ageMs > sinceCheckMs;
    return isRecent ? last : startCheck(service);
  }

  return async function handleContactQuery({ service }) {
    const { heardAgeMs: ageMs = Number.POSITIVE_INFINITY } = paths.getSummary(service);
    if (ageMs > FRESH_MS) await getCheck(service, ageMs)?.ended;
    const { heardAgeMs } = paths.getSummary(service);
    return heardAgeMs === undefined ? {} : { heardAgeMs };
  };
}
