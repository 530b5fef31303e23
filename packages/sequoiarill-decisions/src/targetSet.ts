/**
 * Subsetting: selects the targets that a router connects to for one model.
 *
 * Load pattern: growth. 570 routers that each connect to 6,700 servers need 3.8 million connections and as
 * many load reports, so each router uses a bounded subset. If each router drew its subset at random, some
 * targets would get few routers and others many. Instead each target selects the same number of routers
 * by rendezvous hashing. All routers compute the same pairs without communicating, and a router or target
 * that is added or removed changes only its own pairs (and one pair per target when the number of routers
 * per target changes). The figures are in docs/design/0003.
 */
import * as RendezvousHashing from './rendezvousHashing';

export interface TargetSetOptions {
  readonly routerName: string;
  /** Average number of targets of one model per router. */
  readonly size: number;
}

export interface TargetSet {
  /**
   * Selects the subset of `targets` that this router uses. `routers` are all routers that share the
   * targets, including this one; without them the router ranks alone, which spreads less evenly.
   */
  readonly selectTargets: (
    targets: readonly string[],
    routers?: readonly string[],
  ) => readonly string[];
}

/** With fewer routers per target, the loss of one router would leave the target idle. */
const MIN_ROUTERS_PER_TARGET = 2;

export function createTargetSet(options: TargetSetOptions): TargetSet {
  const ownDigest = RendezvousHashing.hashName(options.routerName);

  function selectTargets(
    targets: readonly string[],
    routers: readonly string[] = [],
  ): readonly string[] {
    if (targets.length <= options.size) return targets;
    const others = routers.filter((name) => name !== options.routerName);
    if (others.length === 0) return selectHighest(targets, ownDigest, options.size);
    const routerCount = others.length + 1;
    const wanted = Math.ceil((options.size * routerCount) / targets.length);
    const routersPerTarget = Math.min(routerCount, Math.max(MIN_ROUTERS_PER_TARGET, wanted));
    const otherDigests = others.map(RendezvousHashing.hashName);
    return targets.filter((target) => {
      const digest = RendezvousHashing.hashName(target);
      return countRankedAbove(digest, ownDigest, otherDigests) < routersPerTarget;
    });
  }

  return { selectTargets };
}

/** Counts the other routers that rank above this one at the target. */
function countRankedAbove(target: number, own: number, others: readonly number[]): number {
  const ownRank = RendezvousHashing.hashPair(target, own);
  let count = 0;
  for (const other of others) {
    if (RendezvousHashing.hashPair(target, other) > ownRank) count += 1;
  }
  return count;
}

function selectHighest(
  targets: readonly string[],
  ownDigest: number,
  size: number,
): readonly string[] {
  const ranked = targets.map((name) => ({
    name,
    rank: RendezvousHashing.hashPair(RendezvousHashing.hashName(name), ownDigest),
  }));
  ranked.sort((left, right) => right.rank - left.rank);
  return ranked.slice(0, size).map((entry) => entry.name);
}
