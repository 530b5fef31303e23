/**
 * Which requests are to blame for crashes of the targets that ran them.
 *
 * Load pattern: a request that crashes its target is sent to the next one, and its caller sends it again
 * under another id, to any router. Each time as many targets end as the route allows sends, with the
 * streams of all other callers there. So crashes are counted by what a request asks, over all routers,
 * and a content under which several targets ended is blocked for a while.
 *
 * A sound request that is at a target when it crashes is counted with the others. It is served at the
 * next target, and an answer refutes the crashes of its content before it.
 */

import type { ContentBlock, Crash } from '@sequoiarill/types';

/** `refuted`: the content has been answered since the first of the crashes. */
export type BlockResult = 'news' | 'known' | 'refuted';
/** `crashes`: some were counted that came before the answer; `block`: the content was blocked by them. */
export type RefutationResult = 'nothing' | 'crashes' | 'block';

export interface CrashTracker {
  /** The block that follows, also where it was known before; undefined for fewer crashes. */
  readonly recordCrash: (crash: Crash, nowMs: number) => ContentBlock | undefined;
  /** Another router knows the content to be blocked. */
  readonly recordBlock: (block: ContentBlock, nowMs: number) => BlockResult;
  /** The content was answered in whole; says what that refutes. */
  readonly recordAnswer: (content: string, atMs: number, nowMs: number) => RefutationResult;
  readonly findBlock: (content: string, nowMs: number) => ContentBlock | undefined;
  /** How much longer the content is sent to no target, milliseconds; 0 where it is not blocked. */
  readonly getBlockedMs: (content: string, nowMs: number) => number;
  /** In the order in which they were learned, the last ones last. */
  readonly listBlocks: (nowMs: number) => readonly ContentBlock[];
  readonly countSuspects: () => number;
}

/** Crashes of different targets that show that the request is to blame; two may be chance. */
const CRASHES = 3;
/** Time for which a content is blocked after its last crash, milliseconds. */
const BLOCK_MS = 600_000;
/**
 * Time for which crashes count, milliseconds: a content that crashes one more target after its block has
 * ended is blocked again at once.
 */
const MEMORY_MS = 1_800_000;
const MAX_SUSPECTS = 1_000;
/** Contents that were answered lately; enough for the crashes of some minutes to be compared with. */
const MAX_ANSWERED = 4_000;

interface Suspect {
  /** Time of each crash by target. */
  readonly crashesMs: Map<string, number>;
  /** Of the crashes that are known to other routers. */
  blockedFirstMs: number;
  blockedLastMs: number;
}

function removeBlock(suspect: Suspect): void {
  suspect.blockedFirstMs = Number.POSITIVE_INFINITY;
  suspect.blockedLastMs = Number.NEGATIVE_INFINITY;
}

export function createCrashTracker(): CrashTracker {
  const suspects = new Map<string, Suspect>();
  const answeredMs = new Map<string, number>();

  function setNewest<Value>(map: Map<string, Value>, key: string, value: Value, most: number) {
    map.delete(key);
    map.set(key, value);
    const oldest = map.keys().next();
    if (map.size > most && oldest.done !== true) map.delete(oldest.value);
  }

  function removeOld(content: string, suspect: Suspect, nowMs: number): void {
    for (const [target, atMs] of suspect.crashesMs) {
      if (nowMs - atMs >= MEMORY_MS) suspect.crashesMs.delete(target);
    }
    if (nowMs - suspect.blockedLastMs >= MEMORY_MS) removeBlock(suspect);
    if (suspect.crashesMs.size === 0 && !Number.isFinite(suspect.blockedLastMs)) {
      suspects.delete(content);
    }
  }

  function openSuspect(content: string): Suspect {
    const known = suspects.get(content);
    const suspect = known ?? {
      crashesMs: new Map<string, number>(),
      blockedFirstMs: Number.POSITIVE_INFINITY,
      blockedLastMs: Number.NEGATIVE_INFINITY,
    };
    setNewest(suspects, content, suspect, MAX_SUSPECTS);
    return suspect;
  }

  function findBlock(content: string, nowMs: number): ContentBlock | undefined {
    const suspect = suspects.get(content);
    if (suspect === undefined) return undefined;
    removeOld(content, suspect, nowMs);
    const crashesMs = [...suspect.crashesMs.values()];
    const isTold = Number.isFinite(suspect.blockedLastMs);
    if (crashesMs.length < CRASHES && !isTold) return undefined;
    const firstMs = Math.min(suspect.blockedFirstMs, ...crashesMs);
    const lastMs = Math.max(suspect.blockedLastMs, ...crashesMs);
    if (nowMs - lastMs >= BLOCK_MS) return undefined;
    return { content, firstAgeMs: nowMs - firstMs, lastAgeMs: nowMs - lastMs };
  }

  function getAnsweredMs(content: string): number {
    return answeredMs.get(content) ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether something was counted or told that began before the answer; it is forgotten. */
  function removeRefuted(content: string, atMs: number): boolean {
    const suspect = suspects.get(content);
    if (suspect === undefined) return false;
    const refuted = [...suspect.crashesMs].filter(([, crashedMs]) => crashedMs <= atMs);
    refuted.forEach(([target]) => suspect.crashesMs.delete(target));
    const isBlockRefuted = suspect.blockedFirstMs <= atMs;
    if (isBlockRefuted) removeBlock(suspect);
    if (suspect.crashesMs.size === 0 && suspect.blockedFirstMs === Number.POSITIVE_INFINITY) {
      suspects.delete(content);
    }
    return refuted.length > 0 || isBlockRefuted;
  }

  return {
    recordCrash({ content, target, ageMs }, nowMs) {
      if (nowMs - ageMs <= getAnsweredMs(content)) return findBlock(content, nowMs);
      const { crashesMs } = openSuspect(content);
      // More than it takes to know say nothing more, and the latest decides how long it is blocked.
      setNewest(crashesMs, target, nowMs - ageMs, CRASHES);
      return findBlock(content, nowMs);
    },
    recordBlock({ content, firstAgeMs, lastAgeMs }, nowMs) {
      if (nowMs - firstAgeMs <= getAnsweredMs(content)) return 'refuted';
      const wasBlocked = findBlock(content, nowMs) !== undefined;
      const suspect = openSuspect(content);
      suspect.blockedFirstMs = Math.min(suspect.blockedFirstMs, nowMs - firstAgeMs);
      suspect.blockedLastMs = Math.max(suspect.blockedLastMs, nowMs - lastAgeMs);
      return !wasBlocked && findBlock(content, nowMs) !== undefined ? 'news' : 'known';
    },
    recordAnswer(content, atMs, nowMs) {
      setNewest(answeredMs, content, Math.max(atMs, getAnsweredMs(content)), MAX_ANSWERED);
      const wasBlocked = findBlock(content, nowMs) !== undefined;
      if (!removeRefuted(content, atMs)) return 'nothing';
      return wasBlocked ? 'block' : 'crashes';
    },
    findBlock,
    getBlockedMs(content, nowMs) {
      const block = findBlock(content, nowMs);
      return block === undefined ? 0 : BLOCK_MS - block.lastAgeMs;
    },
    listBlocks: (nowMs) =>
      [...suspects.keys()].flatMap((content) => findBlock(content, nowMs) ?? []),
    countSuspects: () => suspects.size,
  };
}
