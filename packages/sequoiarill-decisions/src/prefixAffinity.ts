/**
 * Remembers which targets were sent which prompt prefixes.
 *
 * Load pattern: a few prompts that take most of the load. Without it each target prefills the same
 * long prefix again and its limited cache is filled with copies. Targets publish their cache late
 * and with gaps, so this goes by what this router sent, forgets it after a while, and is only a
 * discount on the expected wait: a hot prefix spills over to idle targets by itself.
 */
import * as RendezvousHashing from './rendezvousHashing';

/** Engines evict by age; minutes-old prefixes are usually gone. Milliseconds. */
const MEMORY_MS = 120_000;
/** More copies than this are not worth looking up. */
const MAX_HOLDERS = 3;
const MAX_PREFIXES = 20_000;

export interface PrefixHolder {
  readonly name: string;
  /** Where it was among the candidates last time: saves a search while the list is unchanged. */
  readonly indexHint: number;
  readonly usedAtMs: number;
}

export interface PrefixMatch {
  readonly holder: PrefixHolder;
  /** 0 to 1: part of the prompt's prefixes that the holder had. */
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
        const isFresh = nowMs - holder.usedAtMs <= MEMORY_MS;
        const isKnown = matches.some((match) => match.holder.name === holder.name);
        if (isFresh && !isKnown) matches.push({ holder, cachedShare });
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
      const others = (holdersByKey.get(key) ?? []).filter((known) => known.name !== name);
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
 * The target that all routers send a prefix to which none of them has seen: the highest rank in
 * rendezvous hashing. Without it 32 routers of a zone would make up to 32 copies of each prefix.
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
