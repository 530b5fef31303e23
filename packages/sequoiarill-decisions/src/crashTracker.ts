/**
 * Detects requests that crash the targets that run them.
 *
 * A request that crashes its target is retried at the next one, and its caller sends it again under
 * another id, to any router. Each time it terminates as many targets as the route allows attempts,
 * together with the streams of all other callers there. So crashes are counted by the content of
 * the request (method, host, path, organisation and body) over all routers, and a content that
 * several targets crashed with is blocked for some time.
 *
 * A harmless request that runs at a target when it crashes is counted as well. It is served by the
 * next target, and an answer refutes all earlier crashes of its content.
 */

import type { ContentBlock, Crash } from '@sequoiarill/types';

/**
 * `news`: the content was not blocked before and is now. `known`: the report changes nothing about
 * that. `refuted`: the content has been answered since the first of the crashes.
 */
export type BlockResult = 'news' | 'known' | 'refuted';
/** `crashes`: the answer refutes crashes counted before it; `block`: it also lifts a block. */
export type RefutationResult = 'nothing' | 'crashes' | 'block';

export interface CrashTracker {
  /** Returns the resulting block, new or existing; undefined below the crash threshold. */
  readonly recordCrash: (crash: Crash, nowMs: number) => ContentBlock | undefined;
  /** Records a block that another router reported. */
  readonly recordBlock: (block: ContentBlock, nowMs: number) => BlockResult;
  /** Records a complete answer to the content; returns what it refutes. */
  readonly recordAnswer: (content: string, atMs: number, nowMs: number) => RefutationResult;
  readonly findBlock: (content: string, nowMs: number) => ContentBlock | undefined;
  /** Remaining time of the block, milliseconds; 0 if the content is not blocked. */
  readonly getBlockedMs: (content: string, nowMs: number) => number;
  /** In the order in which they were recorded, the latest last. */
  readonly listBlocks: (nowMs: number) => readonly ContentBlock[];
  readonly countSuspects: () => number;
}

/** Crashes of different targets after which a content is blocked; two may be coincidence. */
const BLOCK_THRESHOLD_CRASHES = 3;
/** Time for which a content is blocked after its last crash, milliseconds. */
const BLOCK_DURATION_MS = 600_000;
/**
 * Time for which crashes count, milliseconds. It is longer than the block, so a content that
 * crashes another target after its block has ended is blocked again at once.
 */
const CRASH_RETENTION_MS = 1_800_000;
const MAX_SUSPECT_CONTENTS = 1_000;
/** Recently answered contents that are kept, to check the crashes of some minutes against. */
const MAX_ANSWERED_CONTENTS = 4_000;

interface SuspectContent {
  /** Time of each crash by target. */
  readonly crashesMs: Map<string, number>;
  /** First and last crash of a block that other routers reported; infinite without a report. */
  peerFirstCrashMs: number;
  peerLastCrashMs: number;
}

function removePeerBlock(suspect: SuspectContent): void {
  suspect.peerFirstCrashMs = Number.POSITIVE_INFINITY;
  suspect.peerLastCrashMs = Number.NEGATIVE_INFINITY;
}

export function createCrashTracker(): CrashTracker {
  const suspects = new Map<string, SuspectContent>();
  const answeredAtMsByContent = new Map<string, number>();

  function setMostRecent<Value>(
    map: Map<string, Value>,
    key: string,
    value: Value,
    maxSize: number,
  ) {
    map.delete(key);
    map.set(key, value);
    const oldest = map.keys().next();
    if (map.size > maxSize && oldest.done !== true) map.delete(oldest.value);
  }

  function removeExpired(content: string, suspect: SuspectContent, nowMs: number): void {
    for (const [target, atMs] of suspect.crashesMs) {
      if (nowMs - atMs >= CRASH_RETENTION_MS) suspect.crashesMs.delete(target);
    }
    if (nowMs - suspect.peerLastCrashMs >= CRASH_RETENTION_MS) removePeerBlock(suspect);
    if (suspect.crashesMs.size === 0 && !Number.isFinite(suspect.peerLastCrashMs)) {
      suspects.delete(content);
    }
  }

  function getSuspect(content: string): SuspectContent {
    const existing = suspects.get(content);
    const suspect = existing ?? {
      crashesMs: new Map<string, number>(),
      peerFirstCrashMs: Number.POSITIVE_INFINITY,
      peerLastCrashMs: Number.NEGATIVE_INFINITY,
    };
    setMostRecent(suspects, content, suspect, MAX_SUSPECT_CONTENTS);
    return suspect;
  }

  function findBlock(content: string, nowMs: number): ContentBlock | undefined {
    const suspect = suspects.get(content);
    if (suspect === undefined) return undefined;
    removeExpired(content, suspect, nowMs);
    const crashesMs = [...suspect.crashesMs.values()];
    const isBlockedByPeer = Number.isFinite(suspect.peerLastCrashMs);
    if (crashesMs.length < BLOCK_THRESHOLD_CRASHES && !isBlockedByPeer) return undefined;
    const firstMs = Math.min(suspect.peerFirstCrashMs, ...crashesMs);
    const lastMs = Math.max(suspect.peerLastCrashMs, ...crashesMs);
    if (nowMs - lastMs >= BLOCK_DURATION_MS) return undefined;
    return { content, firstAgeMs: nowMs - firstMs, lastAgeMs: nowMs - lastMs };
  }

  function getAnsweredAtMs(content: string): number {
    return answeredAtMsByContent.get(content) ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Removes crashes and reported blocks that began before the answer; returns whether there were
   * any.
   */
  function removeRefutedCrashes(content: string, atMs: number): boolean {
    const suspect = suspects.get(content);
    if (suspect === undefined) return false;
    const refuted = [...suspect.crashesMs].filter(([, crashedMs]) => crashedMs <= atMs);
    refuted.forEach(([target]) => suspect.crashesMs.delete(target));
    const isBlockRefuted = suspect.peerFirstCrashMs <= atMs;
    if (isBlockRefuted) removePeerBlock(suspect);
    if (suspect.crashesMs.size === 0 && suspect.peerFirstCrashMs === Number.POSITIVE_INFINITY) {
      suspects.delete(content);
    }
    return refuted.length > 0 || isBlockRefuted;
  }

  return {
    recordCrash({ content, target, ageMs }, nowMs) {
      if (nowMs - ageMs <= getAnsweredAtMs(content)) return findBlock(content, nowMs);
      const { crashesMs } = getSuspect(content);
      // Crashes above the threshold add no information; the latest decides when the block ends.
      setMostRecent(crashesMs, target, nowMs - ageMs, BLOCK_THRESHOLD_CRASHES);
      return findBlock(content, nowMs);
    },
    recordBlock({ content, firstAgeMs, lastAgeMs }, nowMs) {
      if (nowMs - firstAgeMs <= getAnsweredAtMs(content)) return 'refuted';
      const wasBlocked = findBlock(content, nowMs) !== undefined;
      const suspect = getSuspect(content);
      suspect.peerFirstCrashMs = Math.min(suspect.peerFirstCrashMs, nowMs - firstAgeMs);
      suspect.peerLastCrashMs = Math.max(suspect.peerLastCrashMs, nowMs - lastAgeMs);
      return !wasBlocked && findBlock(content, nowMs) !== undefined ? 'news' : 'known';
    },
    recordAnswer(content, atMs, nowMs) {
      setMostRecent(
        answeredAtMsByContent,
        content,
        Math.max(atMs, getAnsweredAtMs(content)),
        MAX_ANSWERED_CONTENTS,
      );
      const wasBlocked = findBlock(content, nowMs) !== undefined;
      if (!removeRefutedCrashes(content, atMs)) return 'nothing';
      return wasBlocked ? 'block' : 'crashes';
    },
    findBlock,
    getBlockedMs(content, nowMs) {
      const block = findBlock(content, nowMs);
      return block === undefined ? 0 : BLOCK_DURATION_MS - block.lastAgeMs;
    },
    listBlocks: (nowMs) =>
      [...suspects.keys()].flatMap((content) => findBlock(content, nowMs) ?? []),
    countSuspects: () => suspects.size,
  };
}
