/** Selects the peers with which a router exchanges what it knows while the store is unavailable. */

/**
 * The nearest peer, which is in the local zone and so stays reachable when the zone is partitioned, and a
 * random other one, so that updates from other zones arrive.
 */
export function samplePeers(
  [nearest, ...others]: readonly string[],
  nextRandom: () => number,
): readonly string[] {
  const other = others[Math.floor(nextRandom() * others.length)];
  return [nearest, other].filter((peer) => peer !== undefined);
}
