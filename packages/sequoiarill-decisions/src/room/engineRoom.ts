/** Decides whether an engine has room for a stream, from its last report and what was sent there since. */
import { decideStreamAdmission } from '../streamAdmission';
import { MAX_LEVELS, MAX_RANK_WITHIN_SHARE } from './urgency';

export interface EngineRoomQuery {
  /** Undefined where the engine reports none. */
  readonly slots: number | undefined;
  readonly running: number;
  readonly queued: number;
  /** Streams that this router has sent there since the report. */
  readonly sentSince: number;
  /** Undefined or 0 where the engine reports none. */
  readonly totalTokens: number | undefined;
  readonly usedTokens: number;
  /** Prompts and expected output of `sentSince`. */
  readonly sentTokens: number;
  /** Copies of runs that this router has ordered there since the report. */
  readonly copyTokens: number;
  readonly usualPromptTokens: number;
  readonly usualOutputTokens: number;
}

export interface EngineRoom {
  /** Infinite where the engine does not report its slots. */
  readonly freeSlots: number;
  /** Infinite where the engine does not report its cache. */
  readonly freeTokens: number;
}

/** Part of the usual output by which a running run still grows on average. */
const REMAINING_OUTPUT_SHARE = 0.5;

export function computeEngineRoom(query: EngineRoomQuery): EngineRoom {
  const { running, queued, usualPromptTokens, usualOutputTokens } = query;
  const slots = query.slots ?? Number.POSITIVE_INFINITY;
  const freeSlots = slots - running - queued - query.sentSince;
  const totalTokens =
    query.totalTokens === undefined || query.totalTokens <= 0
      ? Number.POSITIVE_INFINITY
      : query.totalTokens;
  const growth = running * usualOutputTokens * REMAINING_OUTPUT_SHARE;
  // Requests that are queued although slots are free wait for cache and take what becomes free.
  const waitingForCache = Math.max(0, Math.min(queued, slots - running));
  const claimed = waitingForCache * (usualPromptTokens + usualOutputTokens);
  const freeTokens =
    totalTokens - query.usedTokens - query.sentTokens - query.copyTokens - growth - claimed;
  return { freeSlots, freeTokens };
}

export interface EntryQuery {
  readonly room: EngineRoom;
  /** Prompt and expected output. */
  readonly neededTokens: number;
  /** See `computeRank`. */
  readonly rank: number;
  readonly level: number;
  /** Time since the stream arrived at the router. */
  readonly waitedMs: number;
  readonly objectiveMs: number;
  readonly promptsAhead: number;
  /** Expected time from now to the first event at the engine. */
  readonly firstEventMs: number;
}

export type EntryDecision =
  | { readonly kind: 'enter' }
  | { readonly kind: 'queue' }
  | { readonly kind: 'preempt' }
  | { readonly kind: 'wait' };

/**
 * Share of its objective that a stream of the most urgent level waits before it may go to an engine without cache
 * for it, which preempts a run whose prompt is then read again.
 */
const PREEMPTION_OBJECTIVE_SHARE = 0.3;

/**
 * Factor for each level, and once more for streams beyond their share, by which the first event must be expected
 * earlier where other prompts are ahead. This leaves time of the engine to more urgent streams that arrive later. With
 * the same limit for all, queues fill up with the least urgent streams, and with long prompts, where prefill limits
 * engines and slots stay free, the most urgent ones come too late.
 */
const LEVEL_LIMIT_FACTOR = 0.5;
/**
 * Share of its objective after which a stream within its share may queue at an engine like one of the most urgent
 * level; the engine orders its queue by rank. Routers do not know each other's lines: without this, streams beyond
 * their share take free slots at one router while streams within theirs are refused at another. Where slots are free,
 * prompts are prefilled in the order of arrival, and less urgent ones must not go before the most urgent.
 */
const QUEUE_LIMIT_END_SHARE = 0.3;

/** Number of times that the limit is reduced by its factor. */
function computeLimitLevel({ room, rank, level, waitedMs, objectiveMs }: EntryQuery): number {
  if (rank > MAX_RANK_WITHIN_SHARE) return MAX_LEVELS;
  if (room.freeSlots > 0) return level;
  return level * Math.max(0, 1 - waitedMs / (objectiveMs * QUEUE_LIMIT_END_SHARE));
}

export function decideEntry(query: EntryQuery): EntryDecision {
  const { room, neededTokens, rank, level, waitedMs, objectiveMs } = query;
  if (neededTokens > room.freeTokens) {
    const mayPreempt = level === 0 && waitedMs >= objectiveMs * PREEMPTION_OBJECTIVE_SHARE;
    return { kind: mayPreempt ? 'preempt' : 'wait' };
  }
  const isWithinShare = rank <= MAX_RANK_WITHIN_SHARE;
  const levelObjectiveMs = objectiveMs * LEVEL_LIMIT_FACTOR ** computeLimitLevel(query);
  const admission = decideStreamAdmission({ ...query, objectiveMs: levelObjectiveMs });
  if (admission.kind === 'refuse') return { kind: 'wait' };
  if (room.freeSlots > 0) return { kind: 'enter' };
  return { kind: isWithinShare ? 'queue' : 'wait' };
}
