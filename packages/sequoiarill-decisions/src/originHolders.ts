/**
 * Selects the routers that remember which target began a stream, so that any router can ask them.
 *
 * Load pattern: a router, or all routers of a zone, end, and the callers of their streams resume through the
 * others at once. Were origins kept by the router of each stream alone, all of these streams would be refused; were
 * they sent to all routers, memory and messages would grow with the square of the fleet. So a few routers,
 * the first ones in different zones, keep each of them, and all routers compute the same ones.
 */
import * as RendezvousHashing from './rendezvousHashing';

export interface RankedRouter {
  readonly address: string;
  readonly zone: string;
}

/** Routers of one zone that a list has at most. */
const MAX_PER_ZONE = 3;

interface Ranked {
  readonly address: string;
  readonly rank: number;
}

/** `best` is sorted by rank, the highest first. */
function addRanked(best: Ranked[], address: string, rank: number): void {
  const isFull = best.length === MAX_PER_ZONE;
  if (isFull && rank <= (best[MAX_PER_ZONE - 1]?.rank ?? 0)) return;
  const at = best.findIndex((other) => rank > other.rank);
  best.splice(at < 0 ? best.length : at, 0, { address, rank });
  if (isFull) best.pop();
}

/** Addresses by rank for the key: first the best router of each zone, then the second of each, and so on. */
export function selectOriginHolders(
  routers: readonly RankedRouter[],
  key: string,
): readonly string[] {
  const digest = RendezvousHashing.hashName(key);
  const bestByZone = new Map<string, Ranked[]>();
  for (const { address, zone } of routers) {
    const rank = RendezvousHashing.hashPair(RendezvousHashing.hashName(address), digest);
    const best = bestByZone.get(zone);
    if (best === undefined) bestByZone.set(zone, [{ address, rank }]);
    else addRanked(best, address, rank);
  }
  const zones = [...bestByZone.values()];
  return Array.from({ length: MAX_PER_ZONE }, (_one, place) =>
    zones.flatMap((best) => best[place] ?? []).sort((left, right) => right.rank - left.rank),
  ).flatMap((group) => group.map(({ address }) => address));
}
