/**
 * Prefix affinity: tracks which prompt prefixes were sent to which targets.
 *
 * Load pattern: a few prompts make up most of the load. Without affinity each target prefills the same
 * long prefix again, and copies of it fill its limited cache. Targets publish their cache contents late
 * and incompletely, so this relies on what this router sent and expires it after a time. Affinity only
 * reduces the expected wait, so that a hot prefix still spills over to idle targets.
 */
import * as RendezvousHashing from './rendezvousHashing';

/** Engines evict the oldest prefixes, usually within minutes. */
const HOLDER_TTL_MS = 120_000;
/** Holders that are tracked for each prefix; more are not worth the lookup. */
const MAX_HOLDERS = 3;
const MAX_PREFIXES = 20_000;

export interface PrefixHolder {
  readonly name: string;
  /** Last index among the candidates: avoids a search while the list is unchanged. */
  readonly indexHint: number;
  readonly usedAtMs: number;
}

export interface PrefixMatch {
  readonly holder: PrefixHolder;
  /** Share of the prompt's prefixes that the holder was sent, 0 to 1. */
  readonly cachedShare: number;
}

export interface PrefixAffinity {
  readonly listMatches: (prefixKeys: readonly string[], nowMs: number) => readonly PrefixMatch[];
  readonly recordUse: (
    prefixKeys: readonly string[],
    name: string,
    indexHint: number,
    nowMs: number,
  ) => void;
  readonly getSize: () => number;
}

export function createPrefixAffinity(): PrefixAffinity {
  const holdersByKey = new Map<string, readonly PrefixHolder[]>();

  function listMatches(prefixKeys: readonly string[], nowMs: number): readonly PrefixMatch[] {
    const matches: PrefixMatch[] = [];
    for (const [position, key] of prefixKeys.entries()) {
      const cachedShare = (prefixKeys.length - position) / prefixKeys.length;
      for (const holder of holdersByKey.get(key) ?? []) {
        const isFresh = nowMs - holder.usedAtMs <= HOLDER_TTL_MS;
        const isListed = matches.some((match) => match.holder.name === holder.name);
        if (isFresh && !isListed) matches.push({ holder, cachedShare });
      }
      if (matches.length >= MAX_HOLDERS) break;
    }
    return matches;
  }

  function recordUse(
    prefixKeys: readonly string[],
    name: string,
    indexHint: number,
    nowMs: number,
  ): void {
    const holder = { name, indexHint, usedAtMs: nowMs };
    for (const key of prefixKeys) {
      const others = (holdersByKey.get(key) ?? []).filter((other) => other.name !== name);
      holdersByKey.delete(key);
      holdersByKey.set(key, [holder, ...others.slice(0, MAX_HOLDERS - 1)]);
    }
    while (holdersByKey.size > MAX_PREFIXES) {
      const oldest = holdersByKey.keys().next();
      if (oldest.done) break;
      holdersByKey.delete(oldest.value);
    }
  }

  return { listMatches, recordUse, getSize: () => holdersByKey.size };
}

/**
 * Returns the index of the preferred target for a prefix that no router has sent yet: the one with the
 * highest rank in rendezvous hashing, which is the same on all routers. Otherwise 32 routers of a zone
 * would create up to 32 copies of each prefix.
 */
export function choosePreferredTarget(prefixKey: string, names: readonly string[]): number {
  const digest = RendezvousHashing.hashName(prefixKey);
  let best = -1;
  let bestRank = -1;
  for (const [index, name] of names.entries()) {
    const rank = RendezvousHashing.hashPair(digest, RendezvousHashing.hashName(name));
    if (rank > bestRank) {
      best = index;
      bestRank = rank;
    }
  }
  return best;
}
