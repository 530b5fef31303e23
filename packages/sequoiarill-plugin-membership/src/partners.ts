/**
 * Whom a router talks to in each round. Pure: random numbers are an argument.
 *
 * Load pattern: rounds of every router, all the time. One partner of the zone a round brings a fact
 * to all of a zone in a few rounds whatever its size, at a cost that does not grow with it. Other
 * zones and regions are asked so rarely that each zone sends about the same number of such calls a
 * second, however many routers it has; without that, 570 routers would ask each other's zones 18
 * times as often as today's.
 */
import type { PeerRecord } from './peerRecord';

/**
 * Two exchanges a second and router in quiet times. Each costs some two milliseconds of processor
 * time on either side, so faster rounds alone would take the whole budget; see docs/design/0004.
 */
export const ROUND_MS = 500;
const ZONE_PARTNERS = 1;
/** While a target's state has just changed: brings it to 32 routers within two seconds. */
const ZONE_PARTNERS_WITH_NEWS = 3;
const HELPERS = 2;
/** Calls a second from one zone to the rest of its region, and to other regions. */
const REGION_CALLS_PER_SECOND = 4;
const WORLD_CALLS_PER_SECOND = 1;
/** Of a router that knows many others, how often it tries dead ones and seeds, in rounds. */
const RECONNECT_ROUNDS = 20;
const MS_PER_SECOND = 1_000;

export interface PartnerQuestion {
  readonly self: PeerRecord;
  readonly records: readonly PeerRecord[];
  readonly seeds: readonly string[];
  readonly round: number;
  /** Whether this router knows of a change that others may not know yet. */
  readonly hasNews: boolean;
  readonly nextRandom: () => number;
}

/** Addresses to exchange with in this round, in this order. */
export function choosePartners(question: PartnerQuestion): readonly string[] {
  const { self, records, seeds, round, hasNews, nextRandom } = question;
  const others = records.filter((record) => record.name !== self.name);
  const living = others.filter((record) => record.state !== 'dead');
  const zone = living.filter((record) => record.zone === self.zone);
  const region = living.filter(({ region: name }) => name === self.region).filter(isElsewhere);
  const world = living.filter((record) => record.region !== self.region);
  const zoneSize = zone.length + 1;

  function isElsewhere(record: PeerRecord): boolean {
    return record.zone !== self.zone;
  }

  function isDue(callsPerSecond: number): boolean {
    const share = (callsPerSecond * ROUND_MS) / MS_PER_SECOND / zoneSize;
    return nextRandom() < share;
  }

  const zonePartners = hasNews ? ZONE_PARTNERS_WITH_NEWS : ZONE_PARTNERS;
  const chosen = sampleAddresses(zone, zonePartners, nextRandom);
  if (isDue(REGION_CALLS_PER_SECOND)) chosen.push(...sampleAddresses(region, 1, nextRandom));
  if (isDue(WORLD_CALLS_PER_SECOND)) chosen.push(...sampleAddresses(world, 1, nextRandom));
  // Two sides that hold each other for dead, or never met, would else stay apart for ever.
  const isAlone = living.length === 0;
  if (isAlone || round % RECONNECT_ROUNDS === 0) {
    const dead = others.filter((record) => record.state === 'dead').map(({ address }) => address);
    const known = new Set(living.map((record) => record.address));
    const lost = [...dead, ...seeds].filter(
      (address) => address !== self.address && !known.has(address),
    );
    chosen.push(...sampleItems(lost, 1, nextRandom));
  }
  return [...new Set(chosen)];
}

/** Routers that can be asked for a second opinion about a suspect one. */
export function chooseHelpers(
  question: Pick<PartnerQuestion, 'self' | 'records' | 'nextRandom'>,
  suspect: PeerRecord,
): readonly PeerRecord[] {
  const { self, records, nextRandom } = question;
  const others = records.filter(
    ({ name, state, region }) =>
      name !== self.name && name !== suspect.name && state !== 'dead' && region === self.region,
  );
  const mates = others.filter((record) => record.zone === self.zone);
  return sampleItems(mates.length > 0 ? mates : others, HELPERS, nextRandom);
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
  const left = [...items];
  const sampled: Item[] = [];
  while (sampled.length < count && left.length > 0) {
    const [item] = left.splice(Math.floor(nextRandom() * left.length), 1);
    if (item !== undefined) sampled.push(item);
  }
  return sampled;
}
