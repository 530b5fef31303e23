/**
 * Asks other routers whether they hear targets of a service of which this router hears none.
 *
 * Failure: a router whose targets are all silent cannot tell a pause of all of them from the loss of its own path
 * where something on the way accepts connections. A stream that is sent through another router in a pause has its
 * prompt read again; one that stays with its target on a lost path never goes on.
 */
import type { Clock, ContactOutcome, RouterLocation, RouterPeers } from '@sequoiarill/types';

import type { RateLimitedLog } from '../rateLimitedLog';
import type { PathMonitor } from './pathMonitor';
import * as SilenceEvents from './silenceEvents';

export interface PeerContacts {
  /**
   * Whether another router has heard a target of the service in the later part of a silence here. `sinceMs`: running
   * time since which nothing of the service was heard here. False also where no router answers.
   *
   * Returns at once with the answers of the last round for `ROUND_TTL_MS` after its start, so that a caller that asks
   * again has to wait in between. True also in the moment at which a pause of all targets ends, in which another
   * router may hear them a few milliseconds earlier.
   */
  readonly isHeardElsewhere: (service: string, sinceMs: number) => Promise<boolean>;
}

export interface PeerContactsOptions {
  readonly clock: Pick<Clock, 'getRunningMs'>;
  readonly nextRandom: () => number;
  /** Zone of this router. */
  readonly zone: string;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'findContact'>;
  readonly paths: Pick<PathMonitor, 'getSummary'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
}

/** One near and two of other zones: the path of a whole zone may be lost, or a router may be gone. */
const ROUTERS_ASKED = 3;
/** With this, a router asks at most three others every 100 ms for each silent service. */
const ROUND_TTL_MS = 100;
/**
 * A word counts if it is younger than this share of the silence here. Targets that are paused together do not stop in
 * the same moment, and their last events are read at different times.
 */
const MAX_AGE_SHARE = 0.5;
/** The same in a short silence: a word must be later than its beginning by this much. */
const MIN_LEAD_MS = 100;
/** The same in a long silence, whose targets may have fallen silent for all routers since. */
const MAX_AGE_MS = 500;
/** An outcome that stays the same is logged again after this time. */
const LOG_INTERVAL_MS = 1_000;

/** What a router that was asked has said. */
interface Word {
  readonly router: string;
  readonly zone: string;
  /** Running time of this router, a little earlier than the true one; absent if it heard nothing or failed. */
  readonly heardAtMs?: number;
  /** Why it did not answer. */
  readonly reason?: string;
}

interface Round {
  readonly startedMs: number;
  readonly calls: readonly Promise<Word>[];
}

interface Decision {
  readonly isHeard: boolean;
  readonly loggedMs: number;
}

/** Sorted randomly: first one of the own zone, then of other zones, each zone once before any twice. */
export function selectAsked(
  routers: readonly RouterLocation[],
  ownZone: string,
  nextRandom: () => number,
): readonly RouterLocation[] {
  const seenByZone = new Map<string, number>();
  return routers
    .map((router) => ({ router, rank: nextRandom() - (router.zone === ownZone ? 1 : 0) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ router }) => {
      const seen = seenByZone.get(router.zone) ?? 0;
      seenByZone.set(router.zone, seen + 1);
      return { router, seen };
    })
    .sort((left, right) => left.seen - right.seen)
    .slice(0, ROUTERS_ASKED)
    .map(({ router }) => router);
}

/** Whether a word of this age shows that targets spoke after a silence had begun here. */
function isInSilence(heardAgeMs: number, silentMs: number): boolean {
  const limitMs = Math.min(MAX_AGE_MS, silentMs * MAX_AGE_SHARE, silentMs - MIN_LEAD_MS);
  return heardAgeMs <= limitMs;
}

export function createPeerContacts(options: PeerContactsOptions): PeerContacts {
  const { clock, peers, paths, log } = options;
  /** The last round of each service. */
  const rounds = new Map<string, Round>();
  const decisions = new Map<string, Decision>();

  async function readWord(service: string, { address, zone }: RouterLocation): Promise<Word> {
    const sentMs = clock.getRunningMs();
    const router = { router: address, zone };
    const outcome = await peers
      .findContact(address, { service })
      .catch((error: unknown): ContactOutcome => ({ kind: 'failed', reason: String(error) }));
    if (outcome.kind === 'failed') return { ...router, reason: outcome.reason };
    const { heardAgeMs } = outcome.contact;
    return heardAgeMs === undefined ? router : { ...router, heardAtMs: sentMs - heardAgeMs };
  }

  function startRound(service: string): Round {
    const others = peers.listRouters().filter(({ address }) => address !== peers.self);
    const asked = selectAsked(others, options.zone, options.nextRandom);
    const calls = asked.map((router) => readWord(service, router));
    const round = { startedMs: clock.getRunningMs(), calls };
    rounds.set(service, round);
    return round;
  }

  function getRound(service: string): Round {
    const last = rounds.get(service);
    const isRecent = last !== undefined && clock.getRunningMs() - last.startedMs < ROUND_TTL_MS;
    return isRecent ? last : startRound(service);
  }

  const computeAge = (heardAtMs: number): number => Math.round(clock.getRunningMs() - heardAtMs);

  function isWordInSilence({ heardAtMs }: Word, sinceMs: number): boolean {
    if (heardAtMs === undefined) return false;
    return isInSilence(computeAge(heardAtMs), clock.getRunningMs() - sinceMs);
  }

  function isLogDue(service: string, isHeard: boolean): boolean {
    const last = decisions.get(service);
    const nowMs = clock.getRunningMs();
    if (last?.isHeard === isHeard && nowMs - last.loggedMs < LOG_INTERVAL_MS) return false;
    decisions.set(service, { isHeard, loggedMs: nowMs });
    return true;
  }

  function logHeard(service: string, sinceMs: number, { router, zone, heardAtMs }: Word): void {
    if (!isLogDue(service, true)) return;
    log.logEvent(SilenceEvents.HEARD_ELSEWHERE, {
      service,
      silentMs: computeAge(sinceMs),
      router,
      zone,
      routerHeardAgeMs: heardAtMs === undefined ? undefined : computeAge(heardAtMs),
      ...paths.getSummary(service),
    });
  }

  async function logSilent(service: string, sinceMs: number, { calls }: Round): Promise<void> {
    if (!isLogDue(service, false)) return;
    const words = await Promise.all(calls);
    log.logEvent(SilenceEvents.SILENT_ELSEWHERE, {
      service,
      silentMs: computeAge(sinceMs),
      answers: words.map(({ heardAtMs, ...word }) =>
        heardAtMs === undefined ? word : { ...word, heardAgeMs: computeAge(heardAtMs) },
      ),
      ...paths.getSummary(service),
    });
  }

  return {
    async isHeardElsewhere(service, sinceMs) {
      const round = getRound(service);
      const found = round.calls.map(async (call) => {
        const word = await call;
        if (!isWordInSilence(word, sinceMs)) throw new Error('not heard in the silence');
        return word;
      });
      // Rejected only when none of them has heard a target.
      const heard = await Promise.any(found).catch(() => undefined);
      if (heard === undefined) await logSilent(service, sinceMs, round);
      else logHeard(service, sinceMs, heard);
      return heard !== undefined;
    },
  };
}
