/**
 * Which targets a router connects to for one model.
 *
 * Load pattern: growth. 570 routers that each connect to 6,700 servers are 3.8 million connections
 * and as many load reports. Each router takes a bounded set instead. Sets drawn at random by each
 * router leave some targets with few routers and some with many; here each target takes the same
 * number of routers by rendezvous hashing, so every target is reached by as many routers as any
 * other, all routers compute the same pairs without talking, and a router or target that comes or
 * goes changes only the pairs it is in (and one more in each pair's count when the count changes).
 * The figures are in docs/design/0003.
 */
import * as RendezvousHashing from './rendezvousHashing';

export interface TargetSetOptions {
  readonly routerName: string;
  /** Targets of one model that a router should have on average. */
  readonly size: number;
}

export interface TargetSet {
  /**
   * The part of `targets` that this router uses. `routers` are the routers that share the targets,
   * this one among them; without them each router ranks for itself, which is less even.
   */
  readonly selectTargets: (
    targets: readonly string[],
    routers?: readonly string[],
  ) => readonly string[];
}

/** Fewer routers than this at a target and one router's loss would leave it idle. */
const MIN_ROUTERS = 2;

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
    const routersPerTarget = Math.min(routerCount, Math.max(MIN_ROUTERS, wanted));
    const otherDigests = others.map(RendezvousHashing.hashName);
    return targets.filter((target) => {
      const digest = RendezvousHashing.hashName(target);
      return computePlace(digest, ownDigest, otherDigests) < routersPerTarget;
    });
  }

  return { selectTargets };
}

/** How many of the other routers rank above this one at the target. */
function computePlace(target: number, own: number, others: readonly number[]): number {
  const ownRank = RendezvousHashing.hashPair(target, own);
  let place = 0;
  for (const other of others) {
    if (RendezvousHashing.hashPair(target, other) > ownRank) place += 1;
  }
  return place;
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
