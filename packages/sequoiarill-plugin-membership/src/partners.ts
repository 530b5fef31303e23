/**
 * Chooses the partners of each gossip round. Performs no I/O: random numbers are an argument.
 *
 * Load pattern: every router runs rounds all the time. With one partner of the local zone per
 * round, a fact reaches the whole zone within a few rounds, and the cost per router does not grow
 * with the size of the zone. Calls to other zones and regions are limited per zone instead of per
 * router, so that a zone makes about the same number a second however many routers it has;
 * otherwise a fleet of 570 routers would make 18 times as many calls between zones.
 */
import type { PeerRecord } from './peerRecord';

/**
 * Two exchanges per second and router without state changes. Each takes about 2 ms of CPU time on
 * either side, so shorter rounds alone would use the whole budget; see docs/design/0004.
 */
export const ROUND_MS = 500;
const ZONE_PARTNERS = 1;
/** Used after a state change of a target, so that it reaches 32 routers within two seconds. */
const ZONE_PARTNERS_WITH_UPDATES = 3;
const PROBE_HELPERS = 2;
/** Calls per second from one zone to the rest of its region, and to other regions. */
const REGION_CALLS_PER_SECOND = 4;
const REMOTE_CALLS_PER_SECOND = 1;
/**
 * Interval, in rounds, at which a router tries one of the dead routers and seeds. A router that
 * knows no other living router tries one in every round.
 */
const RECONNECT_INTERVAL_ROUNDS = 20;
const MS_PER_SECOND = 1_000;

export interface PartnerInput {
  readonly self: PeerRecord;
  readonly records: readonly PeerRecord[];
  readonly seeds: readonly string[];
  readonly round: number;
  /** Whether this router has state changes that others may not have received yet. */
  readonly hasUpdates: boolean;
  readonly nextRandom: () => number;
}

/** Returns the addresses to exchange with in this round, in this order. */
export function choosePartners(input: PartnerInput): readonly string[] {
  const { self, records, seeds, round, hasUpdates, nextRandom } = input;
  const others = records.filter((record) => record.name !== self.name);
  const activePeers = others.filter((record) => record.state !== 'dead');
  const zonePeers = activePeers.filter((record) => record.zone === self.zone);
  const regionPeers = activePeers
    .filter(({ region: name }) => name === self.region)
    .filter(isOtherZone);
  const remotePeers = activePeers.filter((record) => record.region !== self.region);
  const zoneSize = zonePeers.length + 1;

  function isOtherZone(record: PeerRecord): boolean {
    return record.zone !== self.zone;
  }

  function isDue(callsPerSecond: number): boolean {
    const share = (callsPerSecond * ROUND_MS) / MS_PER_SECOND / zoneSize;
    return nextRandom() < share;
  }

  const zonePartners = hasUpdates ? ZONE_PARTNERS_WITH_UPDATES : ZONE_PARTNERS;
  const chosen = sampleAddresses(zonePeers, zonePartners, nextRandom);
  if (isDue(REGION_CALLS_PER_SECOND)) chosen.push(...sampleAddresses(regionPeers, 1, nextRandom));
  if (isDue(REMOTE_CALLS_PER_SECOND)) chosen.push(...sampleAddresses(remotePeers, 1, nextRandom));
  // Otherwise two groups that consider each other dead, or never met, would stay separate for ever.
  const isAlone = activePeers.length === 0;
  if (isAlone || round % RECONNECT_INTERVAL_ROUNDS === 0) {
    const dead = others.filter((record) => record.state === 'dead').map(({ address }) => address);
    const activeAddresses = new Set(activePeers.map((record) => record.address));
    const candidates = [...dead, ...seeds].filter(
      (address) => address !== self.address && !activeAddresses.has(address),
    );
    chosen.push(...sampleItems(candidates, 1, nextRandom));
  }
  return [...new Set(chosen)];
}

/** Chooses routers that probe a suspected router on behalf of this one. */
export function chooseHelpers(
  input: Pick<PartnerInput, 'self' | 'records' | 'nextRandom'>,
  suspect: PeerRecord,
): readonly PeerRecord[] {
  const { self, records, nextRandom } = input;
  const others = records.filter(
    ({ name, state, region }) =>
      name !== self.name && name !== suspect.name && state !== 'dead' && region === self.region,
  );
  const zonePeers = others.filter((record) => record.zone === self.zone);
  return sampleItems(zonePeers.length > 0 ? zonePeers : others, PROBE_HELPERS, nextRandom);
}

function sampleAddresses(
  records: readonly PeerRecord[],
  count: number,
  nextRandom: () => number,
): string[] {
  return sampleItems(records, count, nextRandom).map((record) => record.address);
}

function sampleItems<Item>(
  items: readonly Item[],
  count: number,
  nextRandom: () => number,
): Item[] {
  const remaining = [...items];
  const sampled: Item[] = [];
  while (sampled.length < count && remaining.length > 0) {
    const [item] = remaining.splice(Math.floor(nextRandom() * remaining.length), 1);
    if (item !== undefined) sampled.push(item);
  }
  return sampled;
}
