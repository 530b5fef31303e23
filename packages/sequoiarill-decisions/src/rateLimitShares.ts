/**
 * Computes this router's share of a rate limit that a target announces for all routers together.
 *
 * Load pattern: an overloaded target announces a rate in its answers. If each of hundreds of routers sent
 * at that rate, they would overload the target further; split evenly, each share would be one request a
 * minute and would be unused wherever no caller sends requests. So only some routers send to such a
 * target, each at two requests a second or more. Routers of the target's zone come first, since they can
 * reach it when the zone is partitioned. All routers compute the same ranking, so the shares need no
 * coordination. The other routers borrow unused permits from the senders.
 */
import type { ObservedLimit, RateLimitedTarget, RouterLocation } from '@sequoiarill/types';

import * as TargetRouters from './targetRouters';

export interface RateLimitShares {
  /** Records a limit unless a newer one is known. */
  readonly recordLimit: (target: RateLimitedTarget, limit: ObservedLimit, nowMs: number) => void;
  /** Returns the last observed limit, or that the target announces none any more; undefined if unknown. */
  readonly findLimit: (incarnation: string, nowMs: number) => ObservedLimit | undefined;
  /** Whether this router may send a request now. */
  readonly isSendAllowed: (incarnation: string, nowMs: number) => boolean;
  /** Takes a permit. A continued run is sent without one as well, which delays the next requests. */
  readonly recordSend: (incarnation: string, nowMs: number) => void;
  /** Grants another router at most `wanted` whole permits; they count as sent by this router. */
  readonly grantPermits: (incarnation: string, wanted: number, nowMs: number) => number;
  readonly recordBorrowed: (incarnation: string, permits: number, nowMs: number) => void;
  /** Routers that send to the target, which may include this one. */
  readonly listSenders: (incarnation: string, nowMs: number) => readonly string[];
  /** All routers in the order in which they become senders to the target. */
  readonly listRankedRouters: (incarnation: string, nowMs: number) => readonly string[];
  /** Time until this router may send, milliseconds; undefined if it is not among the senders. */
  readonly getWaitMs: (incarnation: string, nowMs: number) => number | undefined;
  readonly listTargets: () => readonly RateLimitedTarget[];
  readonly countTargets: () => number;
  readonly removeExpired: (nowMs: number) => void;
}

export interface RateLimitSharesOptions {
  /** Address of this router. */
  readonly getSelf: () => string;
  readonly listRouters: () => readonly RouterLocation[];
  /** Limits that were not observed again within this time expire, milliseconds. */
  readonly getRetentionMs: () => number;
  readonly countSenders?: CountSenders;
}

/** Computes how many of the routers send to a target with a limit of `perSecond` requests. */
export type CountSenders = (perSecond: number, routers: number) => number;

/** Requests a second that are sent even to a target with a lower limit, to notice when it is raised. */
const MIN_PROBES_PER_SECOND = 0.5;
/** Minimum share of a sender: its callers use up such a share although they arrive unevenly. */
const MIN_PER_SECOND_PER_SENDER = 2;
/** Unused permits accumulate for this long, because callers arrive unevenly. */
const BURST_SECONDS = 1;
/** Lower bound on the accumulated permits, so that one request can be sent after a pause. */
const MIN_BURST_PERMITS = 1;
/** Bound on the debt from requests that were sent without a permit. */
const MAX_DEBT_PERMITS = 2;
/** Rankings are cached: routers change within seconds, and ranking hundreds for each request is costly. */
const RANKING_TTL_MS = 500;
const MS_PER_SECOND = 1_000;

interface Entry extends RateLimitedTarget {
  /** Undefined when the target announces no limit any more. */
  perSecond: number | undefined;
  observedAtMs: number;
  permits: number;
  updatedAtMs: number;
  ranked: readonly string[];
  rankedAtMs: number;
}

export function countSenders(perSecond: number, routers: number): number {
  return Math.max(1, Math.min(routers, Math.floor(perSecond / MIN_PER_SECOND_PER_SENDER)));
}

export function createRateLimitShares(options: RateLimitSharesOptions): RateLimitShares {
  const { getSelf, listRouters, getRetentionMs } = options;
  const chooseSenderCount = options.countSenders ?? countSenders;
  const entries = new Map<string, Entry>();

  function findEntry(incarnation: string, nowMs: number): Entry | undefined {
    const entry = entries.get(incarnation);
    if (entry === undefined || nowMs - entry.observedAtMs < getRetentionMs()) return entry;
    entries.delete(incarnation);
    return undefined;
  }

  function updateRanked(entry: Entry, nowMs: number): readonly string[] {
    if (nowMs - entry.rankedAtMs >= RANKING_TTL_MS) {
      entry.ranked = TargetRouters.sortTargetRouters(listRouters(), entry);
      entry.rankedAtMs = nowMs;
    }
    return entry.ranked;
  }

  function selectSenders(entry: Entry, nowMs: number): readonly string[] {
    const ranked = updateRanked(entry, nowMs);
    return ranked.slice(0, chooseSenderCount(entry.perSecond ?? 0, ranked.length));
  }

  /** Requests a second that this router may send; 0 if it is not a sender. */
  function computeRate(entry: Entry, nowMs: number): number {
    const senders = selectSenders(entry, nowMs);
    if (!senders.includes(getSelf())) return 0;
    return Math.max(MIN_PROBES_PER_SECOND, entry.perSecond ?? 0) / senders.length;
  }

  function updatePermits(entry: Entry, nowMs: number): void {
    const rate = computeRate(entry, nowMs);
    const elapsedSeconds = Math.max(0, nowMs - entry.updatedAtMs) / MS_PER_SECOND;
    const maxPermits = Math.max(MIN_BURST_PERMITS, rate * BURST_SECONDS);
    entry.permits = Math.min(maxPermits, entry.permits + elapsedSeconds * rate);
    entry.updatedAtMs = nowMs;
  }

  function addEntry(
    target: RateLimitedTarget,
    perSecond: number,
    observedAtMs: number,
    nowMs: number,
  ): void {
    entries.set(target.life, {
      ...target,
      perSecond,
      observedAtMs,
      permits: 0,
      updatedAtMs: nowMs,
      ranked: [],
      rankedAtMs: Number.NEGATIVE_INFINITY,
    });
  }

  return {
    recordLimit(target, { perSecond, ageMs }, nowMs) {
      const observedAtMs = nowMs - ageMs;
      if (ageMs >= getRetentionMs()) return;
      const entry = findEntry(target.life, nowMs);
      if (entry === undefined) {
        if (perSecond !== undefined) addEntry(target, perSecond, observedAtMs, nowMs);
        return;
      }
      const isAlreadyUnlimited = perSecond === undefined && entry.perSecond === undefined;
      if (observedAtMs < entry.observedAtMs || isAlreadyUnlimited) return;
      updatePermits(entry, nowMs);
      entry.perSecond = perSecond;
      entry.observedAtMs = observedAtMs;
    },
    findLimit(incarnation, nowMs) {
      const entry = findEntry(incarnation, nowMs);
      if (entry === undefined) return undefined;
      const ageMs = Math.max(0, nowMs - entry.observedAtMs);
      return entry.perSecond === undefined ? { ageMs } : { perSecond: entry.perSecond, ageMs };
    },
    isSendAllowed(incarnation, nowMs) {
      const entry = findEntry(incarnation, nowMs);
      if (entry?.perSecond === undefined) return true;
      updatePermits(entry, nowMs);
      return entry.permits >= 1;
    },
    recordSend(incarnation, nowMs) {
      const entry = findEntry(incarnation, nowMs);
      if (entry?.perSecond === undefined) return;
      updatePermits(entry, nowMs);
      entry.permits = Math.max(-MAX_DEBT_PERMITS, entry.permits - 1);
    },
    grantPermits(incarnation, wanted, nowMs) {
      const entry = findEntry(incarnation, nowMs);
      if (entry?.perSecond === undefined) return 0;
      updatePermits(entry, nowMs);
      const granted = Math.max(0, Math.min(wanted, Math.floor(entry.permits)));
      entry.permits -= granted;
      return granted;
    },
    recordBorrowed(incarnation, permits, nowMs) {
      const entry = findEntry(incarnation, nowMs);
      if (entry === undefined) return;
      updatePermits(entry, nowMs);
      entry.permits += permits;
    },
    listSenders(incarnation, nowMs) {
      const entry = findEntry(incarnation, nowMs);
      return entry?.perSecond === undefined ? [] : selectSenders(entry, nowMs);
    },
    listRankedRouters(incarnation, nowMs) {
      const entry = findEntry(incarnation, nowMs);
      return entry === undefined ? [] : updateRanked(entry, nowMs);
    },
    getWaitMs(incarnation, nowMs) {
      const entry = findEntry(incarnation, nowMs);
      if (entry?.perSecond === undefined) return 0;
      updatePermits(entry, nowMs);
      const rate = computeRate(entry, nowMs);
      return rate === 0 ? undefined : (Math.max(0, 1 - entry.permits) / rate) * MS_PER_SECOND;
    },
    listTargets: () => [...entries.values()],
    countTargets: () => entries.size,
    removeExpired: (nowMs) =>
      [...entries.keys()].forEach((incarnation) => findEntry(incarnation, nowMs)),
  };
}
