/** Finds the routers that collect the reports about a service, one in each zone. */
import * as Decisions from '@sequoiarill/decisions';
import type { RouterPeers } from '@sequoiarill/types';

export type RouterList = Pick<RouterPeers, 'self' | 'listRouters'>;

/**
 * Routers of a zone in the order in which they collect for the service: the first one does, and the next takes
 * its place when it does not answer. All routers compute the same order.
 */
export function listCollectors(
  peers: RouterList,
  zone: string,
  ownZone: string,
  service: string,
): readonly string[] {
  const addresses = new Set(
    peers
      .listRouters()
      .filter((router) => router.zone === zone)
      .map(({ address }) => address),
  );
  // A router that has just started is not in its own list yet.
  if (zone === ownZone) addresses.add(peers.self);
  return Decisions.sortByRank([...addresses], service);
}

export function listOtherZones(peers: RouterList, ownZone: string): readonly string[] {
  const zones = peers
    .listRouters()
    .filter(({ address }) => address !== peers.self)
    .map(({ zone }) => zone);
  return [...new Set(zones)].filter((zone) => zone !== ownZone);
}
