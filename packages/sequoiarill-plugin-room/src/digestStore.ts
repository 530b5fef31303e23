/** What other routers of the fleet reported about one service, from the answers of collectors. */
import type { RoomFacts } from '@sequoiarill/types';

import * as Completeness from './completeness';

export interface DigestStore {
  /** `facts`: of all other routers; this router's own figures are left out. */
  readonly recordDigest: (facts: RoomFacts, nowMs: number) => void;
  /** Undefined where none arrived in the last seconds. */
  readonly getDigest: (nowMs: number) => RoomFacts | undefined;
  readonly getAgeMs: (nowMs: number) => number | undefined;
  /** Whether the digest was lost or regained since the last call; each change is returned once. */
  readonly takeChange: (nowMs: number) => 'lost' | 'regained' | undefined;
}

/** A collector records two in each round of 2 s, so this covers the lifetime. */
const MAX_DIGESTS = 8;

export function createDigestStore(): DigestStore {
  let digests: readonly Completeness.DatedFacts[] = [];
  let isLost = false;
  let missingSinceMs: number | undefined;

  function choose(nowMs: number): Completeness.DatedFacts | undefined {
    return Completeness.chooseFacts(digests, nowMs);
  }

  return {
    recordDigest(facts, nowMs) {
      digests = [...digests, { facts, arrivedMs: nowMs }].slice(-MAX_DIGESTS);
    },
    getDigest: (nowMs) => choose(nowMs)?.facts,
    getAgeMs(nowMs) {
      const chosen = choose(nowMs);
      return chosen === undefined ? undefined : nowMs - chosen.arrivedMs;
    },
    takeChange(nowMs) {
      if (choose(nowMs) !== undefined) {
        missingSinceMs = undefined;
        if (!isLost) return undefined;
        isLost = false;
        return 'regained';
      }
      const hadDigest = digests.length > 0;
      digests = [];
      missingSinceMs ??= nowMs;
      // A router that has just started may need a few rounds for its first digest.
      const isDue = hadDigest || nowMs - missingSinceMs >= Completeness.LIFETIME_MS;
      if (isLost || !isDue) return undefined;
      isLost = true;
      return 'lost';
    },
  };
}
