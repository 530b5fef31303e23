/**
 * Chooses between sums that arrived at different times.
 *
 * A collector that has just taken over or restarted knows only some of its routers for up to one round. For that
 * time, the more complete sum that was known before is used.
 */
import type { RoomFacts } from '@sequoiarill/types';

/** Reports, sums and digests are used for this long after their arrival. */
export const LIFETIME_MS = 6_000;
/** A sum that covers fewer routers, relative to the most complete one, is taken for incomplete. */
const MIN_COMPLETENESS = 0.75;

export interface DatedFacts {
  readonly facts: RoomFacts;
  readonly arrivedMs: number;
}

export function isFresh({ arrivedMs }: Pick<DatedFacts, 'arrivedMs'>, nowMs: number): boolean {
  return nowMs - arrivedMs < LIFETIME_MS;
}

/** The newest that covers nearly as many routers as the most complete one; undefined if none is fresh. */
export function chooseFacts<Item extends DatedFacts>(
  items: readonly Item[],
  nowMs: number,
): Item | undefined {
  const fresh = items.filter((item) => isFresh(item, nowMs));
  const most = Math.max(0, ...fresh.map(({ facts }) => facts.routers));
  return fresh
    .filter(({ facts }) => facts.routers >= most * MIN_COMPLETENESS)
    .reduce<Item | undefined>(
      (best, item) => (best === undefined || item.arrivedMs >= best.arrivedMs ? item : best),
      undefined,
    );
}
