/**
 * Which routers of a zone read the store, and whom the others ask.
 *
 * Load pattern: growth. A watch on each router costs a call for each change and each wait, paid by all;
 * with a few readers in each zone calls grow with zones, not with routers. Small zones read directly, since
 * a reader between saves less there than it risks. Nobody is elected: all routers compute the same
 * readers from the entries of the directory, and one that finds none of them fit reads the store itself
 * until one is.
 */
import * as Decisions from '@sequoiarill/decisions';

export interface ReaderQuestion {
  readonly self: string;
  readonly zone: string;
  /** All routers that are known, this one too. */
  readonly routers: readonly ZoneRouter[];
  /** `IP:port` of routers that did not answer lately, or knew nothing. */
  readonly unfit: ReadonlySet<string>;
}

export interface ZoneRouter {
  readonly address: string;
  readonly zone: string;
}

/** Zones up to this many routers read directly. */
const MAX_DIRECT = 4;
/** Routers for each reader: it answers about two questions a second of each. */
const ROUTERS_PER_READER = 16;
/** One reader may be cut off or end at any moment. */
const MIN_READERS = 2;

function listLocal(routers: readonly ZoneRouter[], zone: string): readonly string[] {
  return routers.filter((router) => router.zone === zone).map(({ address }) => address);
}

/** Whether some routers of the zone are asked by the others. */
export function hasReaders(routers: readonly ZoneRouter[], zone: string): boolean {
  return listLocal(routers, zone).length > MAX_DIRECT;
}

/** Whom to ask; undefined for a router that reads the store itself. */
export function chooseReader(question: ReaderQuestion): string | undefined {
  const { self, zone, routers, unfit } = question;
  const local = listLocal(routers, zone);
  if (local.length <= MAX_DIRECT) return undefined;
  const count = Math.max(MIN_READERS, Math.ceil(local.length / ROUTERS_PER_READER));
  const readers = Decisions.sortByRank(local, zone).slice(0, count);
  if (readers.includes(self)) return undefined;
  return Decisions.sortByRank(readers, self).find((reader) => !unfit.has(reader));
}
