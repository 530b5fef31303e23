/** Ranks the routers for one target; all routers compute the same order without coordination. */
import type { RateLimitedTarget, RouterLocation } from '@sequoiarill/types';

import * as RendezvousHashing from './rendezvousHashing';

/**
 * Addresses of the routers. Those of the target's zone come first, since they can reach it when the zone is
 * partitioned.
 */
export function sortTargetRouters(
  routers: readonly RouterLocation[],
  { life, zone }: RateLimitedTarget,
): readonly string[] {
  const zones = new Map(routers.map((router) => [router.address, router.zone]));
  const ranked = RendezvousHashing.sortByRank([...zones.keys()], life);
  const isLocal = (address: string): boolean => zones.get(address) === zone;
  return [...ranked.filter(isLocal), ...ranked.filter((address) => !isLocal(address))];
}
