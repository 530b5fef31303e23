/**
 * This router's part of the requests a second that a target takes from all routers.
 *
 * Load pattern: a target in need names a rate in its answers. Each router by itself would send that much,
 * and hundreds would bury it; split evenly among hundreds, a part is one request in a minute, and lies idle
 * wherever no caller asks. So only some routers send to such a target, each at two requests a second
 * or more: those of its zone first, which are there when the zone is cut off. All routers rank
 * each other alike, so nobody hands out parts. The others ask these routers for what they have left.
 */
import type { ObservedLimit, RateLimitedTarget, RouterLocation } from '@sequoiarill/types';

import * as RendezvousHashing from './rendezvousHashing';

export interface RateLimitShares {
  /** Limits other than this one replace it where they were heard later. */
  readonly recordLimit: (target: RateLimitedTarget, limit: ObservedLimit, nowMs: number) => void;
  /** A limit that was heard lately, or that there is none any more; undefined where nothing is known. */
  readonly findLimit: (life: string, nowMs: number) => ObservedLimit | undefined;
  /** Whether this router may send a request now. */
  readonly isSendAllowed: (life: string, nowMs: number) => boolean;
  /** Also where it may not, for a run that goes on: the next ones wait longer. */
  readonly recordSend: (life: string, nowMs: number) => void;
  /** Whole requests that this router gives another one, at most `wanted`; they count as sent here. */
  readonly grantPermits: (life: string, wanted: number, nowMs: number) => number;
  readonly recordBorrowed: (life: string, permits: number, nowMs: number) => void;
  /** Routers that send to the target, this one too where it is among them. */
  readonly listSenders: (life: string, nowMs: number) => readonly string[];
  /** All routers, in the order in which they come to send to the target. */
  readonly listRankedRouters: (life: string, nowMs: number) => readonly string[];
  /** Time until this router may send, milliseconds; undefined where it is not among the senders. */
  readonly getWaitMs: (life: string, nowMs: number) => number | undefined;
  readonly listTargets: () => readonly RateLimitedTarget[];
  readonly countTargets: () => number;
  readonly removeExpired: (nowMs: number) => void;
}

export interface RateLimitSharesOptions {
  /** Address of this router. */
  readonly getSelf: () => string;
  readonly listRouters: () => readonly RouterLocation[];
  /** Limits are forgotten when they were not heard again for so long, milliseconds. */
  readonly getRetentionMs: () => number;
  readonly countSenders?: CountSenders;
}

/** Of so many routers, those that send to a target with a limit of so many requests a second. */
export type CountSenders = (perSecond: number, routers: number) => number;

/** A target that takes none is asked so often all the same, to hear that it takes some again. */
const MIN_PER_SECOND = 0.5;
/** A part of so many requests a second is used by the callers of one router, uneven as they come. */
const SENDER_PER_SECOND = 2;
/** Unused permits are kept for this long: callers do not come evenly. Seconds. */
const KEPT_SECONDS = 1;
/** One request can be sent after any pause. */
const MIN_KEPT = 1;
/** Requests that were sent without a permit are paid back, at most so many. */
const MAX_OWED = 2;
/** Routers come and go within seconds; ranking hundreds of them for each request is dear. Milliseconds. */
const RANKED_MS = 500;
const MS_PER_SECOND = 1_000;

interface Entry extends RateLimitedTarget {
  /** Undefined: the target names none any more. */
  perSecond: number | undefined;
  heardAtMs: number;
  permits: number;
  updatedMs: number;
  ranked: readonly string[];
  rankedAtMs: number;
}

export function countSenders(perSecond: number, routers: number): number {
  return Math.max(1, Math.min(routers, Math.floor(perSecond / SENDER_PER_SECOND)));
}

export function createRateLimitShares(options: RateLimitSharesOptions): RateLimitShares {
  const { getSelf, listRouters, getRetentionMs: getMemoryMs } = options;
  const chooseCount = options.countSenders ?? countSenders;
  const entries = new Map<string, Entry>();

  function findEntry(life: string, nowMs: number): Entry | undefined {
    const entry = entries.get(life);
    if (entry === undefined || nowMs - entry.heardAtMs < getMemoryMs()) return entry;
    entries.delete(life);
    return undefined;
  }

  function sortRouters({ life, zone }: RateLimitedTarget): readonly string[] {
    const routers = listRouters();
    const zones = new Map(routers.map((router) => [router.address, router.zone]));
    const ranked = RendezvousHashing.sortByRank([...zones.keys()], life);
    const isNear = (address: string): boolean => zones.get(address) === zone;
    return [...ranked.filter(isNear), ...ranked.filter((address) => !isNear(address))];
  }

  function updateRanked(entry: Entry, nowMs: number): readonly string[] {
    if (nowMs - entry.rankedAtMs >= RANKED_MS) {
      entry.ranked = sortRouters(entry);
      entry.rankedAtMs = nowMs;
    }
    return entry.ranked;
  }

  function selectSenders(entry: Entry, nowMs: number): readonly string[] {
    const ranked = updateRanked(entry, nowMs);
    return ranked.slice(0, chooseCount(entry.perSecond ?? 0, ranked.length));
  }

  /** Requests a second that this router may send; 0 where others do. */
  function computeRate(entry: Entry, nowMs: number): number {
    const senders = selectSenders(entry, nowMs);
    if (!senders.includes(getSelf())) return 0;
    return Math.max(MIN_PER_SECOND, entry.perSecond ?? 0) / senders.length;
  }

  function updatePermits(entry: Entry, nowMs: number): void {
    const rate = computeRate(entry, nowMs);
    const passed = Math.max(0, nowMs - entry.updatedMs) / MS_PER_SECOND;
    const most = Math.max(MIN_KEPT, rate * KEPT_SECONDS);
    entry.permits = Math.min(most, entry.permits + passed * rate);
    entry.updatedMs = nowMs;
  }

  function addEntry(
    target: RateLimitedTarget,
    perSecond: number,
    heardAtMs: number,
    nowMs: number,
  ): void {
    entries.set(target.life, {
      ...target,
      perSecond,
      heardAtMs,
      permits: 0,
      updatedMs: nowMs,
      ranked: [],
      rankedAtMs: Number.NEGATIVE_INFINITY,
    });
  }

  return {
    recordLimit(target, { perSecond, ageMs }, nowMs) {
      const heardAtMs = nowMs - ageMs;
      if (ageMs >= getMemoryMs()) return;
      const known = findEntry(target.life, nowMs);
      if (known === undefined) {
        if (perSecond !== undefined) addEntry(target, perSecond, heardAtMs, nowMs);
        return;
      }
      const isKnownFree = perSecond === undefined && known.perSecond === undefined;
      if (heardAtMs < known.heardAtMs || isKnownFree) return;
      updatePermits(known, nowMs);
      known.perSecond = perSecond;
      known.heardAtMs = heardAtMs;
    },
    findLimit(life, nowMs) {
      const entry = findEntry(life, nowMs);
      if (entry === undefined) return undefined;
      const ageMs = Math.max(0, nowMs - entry.heardAtMs);
      return entry.perSecond === undefined ? { ageMs } : { perSecond: entry.perSecond, ageMs };
    },
    isSendAllowed(life, nowMs) {
      const entry = findEntry(life, nowMs);
      if (entry?.perSecond === undefined) return true;
      updatePermits(entry, nowMs);
      return entry.permits >= 1;
    },
    recordSend(life, nowMs) {
      const entry = findEntry(life, nowMs);
      if (entry?.perSecond === undefined) return;
      updatePermits(entry, nowMs);
      entry.permits = Math.max(-MAX_OWED, entry.permits - 1);
    },
    grantPermits(life, wanted, nowMs) {
      const entry = findEntry(life, nowMs);
      if (entry?.perSecond === undefined) return 0;
      updatePermits(entry, nowMs);
      const lent = Math.max(0, Math.min(wanted, Math.floor(entry.permits)));
      entry.permits -= lent;
      return lent;
    },
    recordBorrowed(life, permits, nowMs) {
      const entry = findEntry(life, nowMs);
      if (entry === undefined) return;
      updatePermits(entry, nowMs);
      entry.permits += permits;
    },
    listSenders(life, nowMs) {
      const entry = findEntry(life, nowMs);
      return entry?.perSecond === undefined ? [] : selectSenders(entry, nowMs);
    },
    listRankedRouters(life, nowMs) {
      const entry = findEntry(life, nowMs);
      return entry === undefined ? [] : updateRanked(entry, nowMs);
    },
    getWaitMs(life, nowMs) {
      const entry = findEntry(life, nowMs);
      if (entry?.perSecond === undefined) return 0;
      updatePermits(entry, nowMs);
      const rate = computeRate(entry, nowMs);
      return rate === 0 ? undefined : (Math.max(0, 1 - entry.permits) / rate) * MS_PER_SECOND;
    },
    listTargets: () => [...entries.values()],
    countTargets: () => entries.size,
    removeExpired: (nowMs) => [...entries.keys()].forEach((life) => findEntry(life, nowMs)),
  };
}
