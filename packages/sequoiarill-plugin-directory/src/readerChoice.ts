/**
 * Selects the routers of a zone that read the store, and the reader that each of the others
 * queries.
 *
 * Load pattern: growth. If each router watches the store, every change and every expired wait costs
 * a call per router, at the expense of all. With a few readers in each zone, calls grow with zones,
 * not with routers. Small zones read directly, because a reader in between saves less there than it
 * risks. There is no election: all routers compute the same readers from the entries of the
 * directory, and a router for which all readers are excluded reads the store itself until one is
 * usable.
 */
import * as Decisions from '@sequoiarill/decisions';

export interface ReaderQuery {
  readonly ownAddress: string;
  readonly zone: string;
  /** All known routers, including this one. */
  readonly routers: readonly ZoneRouter[];
  /** `IP:port` of routers that recently did not respond or were out of date. */
  readonly excluded: ReadonlySet<string>;
}

export interface ZoneRouter {
  readonly address: string;
  readonly zone: string;
}

/** Zones with up to this many routers read directly. */
const MAX_DIRECT_ROUTERS = 4;
/** Each of these routers sends its reader about two requests per second. */
const ROUTERS_PER_READER = 16;
/** More than one, because a reader may be cut off or terminate at any time. */
const MIN_READERS = 2;

function listLocal(routers: readonly ZoneRouter[], zone: string): readonly string[] {
  return routers.filter((router) => router.zone === zone).map(({ address }) => address);
}

/** Whether the zone has readers that its other routers query. */
export function hasReaders(routers: readonly ZoneRouter[], zone: string): boolean {
  return listLocal(routers, zone).length > MAX_DIRECT_ROUTERS;
}

/** Returns the reader to query, or undefined for a router that reads the store itself. */
export function chooseReader(query: ReaderQuery): string | undefined {
  const { ownAddress, zone, routers, excluded } = query;
  const local = listLocal(routers, zone);
  if (local.length <= MAX_DIRECT_ROUTERS) return undefined;
  const readerCount = Math.max(MIN_READERS, Math.ceil(local.length / ROUTERS_PER_READER));
  const readers = Decisions.sortByRank(local, zone).slice(0, readerCount);
  if (readers.includes(ownAddress)) return undefined;
  return Decisions.sortByRank(readers, ownAddress).find((reader) => !excluded.has(reader));
}
