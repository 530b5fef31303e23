/**
 * Levels of urgency of a service's requests, and the ranks by which engines order their queues.
 *
 * Routers do not know each other's requests. The queue of an engine is where requests of all routers meet, so
 * every router sends ranks of the same scale.
 */

export interface UrgencyScale {
  /** 0 is the most urgent level, `countLevels() - 1` the least urgent one. */
  readonly getLevel: (priority: number) => number;
  readonly countLevels: () => number;
}

export interface RankQuery {
  readonly level: number;
  /** The caller has events already; the stream continues on another engine, which has KV cache for it. */
  readonly hasBegun: boolean;
  readonly isWithinShare: boolean;
}

export const MAX_LEVELS = 3;
/** Ranks up to this one are of streams within the share of their organisation. */
export const MAX_RANK_WITHIN_SHARE = 5;

const RANKS_PER_LEVEL = 2;

/** Spreads the distinct priorities over at most three levels; lower numbers are more urgent. */
export function createUrgencyScale(priorities: readonly number[]): UrgencyScale {
  const sorted = [...new Set(priorities.filter((priority) => Number.isFinite(priority)))].sort(
    (left, right) => left - right,
  );
  const levels = Math.max(1, Math.min(MAX_LEVELS, sorted.length));

  /** A priority that is not known has the level of the next less urgent one. */
  function getLevel(priority: number): number {
    if (!Number.isFinite(priority)) return levels - 1;
    const index = sorted.findIndex((known) => known >= priority);
    if (index < 0) return levels - 1;
    return Math.floor((index * levels) / sorted.length);
  }

  return { getLevel, countLevels: () => levels };
}

/** From 0, the most urgent, to 8. An engine assumes 5 for a request without a rank. */
export function computeRank({ level, hasBegun, isWithinShare }: RankQuery): number {
  const bounded = Number.isFinite(level)
    ? Math.min(MAX_LEVELS - 1, Math.max(0, Math.floor(level)))
    : MAX_LEVELS - 1;
  if (hasBegun) return bounded * RANKS_PER_LEVEL;
  if (isWithinShare) return bounded * RANKS_PER_LEVEL + 1;
  return MAX_RANK_WITHIN_SHARE + 1 + bounded;
}
