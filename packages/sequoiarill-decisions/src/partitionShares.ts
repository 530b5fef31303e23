/**
 * Computes the share of each organisation's limit that this side of a network partition may use.
 *
 * Load pattern: a partition separates regions for minutes while demand rises on both sides. Each side
 * receives reports only of its own demand; without a fixed share per side, both would claim nearly the
 * entire limit. The share is the demand that the reachable routers had reported when the others became
 * unreachable, divided by the demand that all had reported. Both sides know the same figures, so the
 * shares add up to one except for reports in transit when the partition began. Within a side, the limit
 * continues to follow the demand.
 */

/** Time for which the shares are held after a partition: until each report was repeated and received. */
const HELD_AFTER_HEAL_MS = 13_000;

export interface SplitDemand {
  readonly organisation: string;
  readonly reachable: number;
  readonly unreachable: number;
}

export interface PartitionShares {
  /** Call at each change of the unreachable routers, with the demand split by that change. */
  readonly setUnreachable: (
    unreachable: ReadonlySet<string>,
    routerCount: number,
    demands: readonly SplitDemand[],
    nowMs: number,
  ) => void;
  /** Returns 1 while all routers are reachable. */
  readonly getShare: (organisation: string, nowMs: number) => number;
  /** Routers whose demand doesn't count on this side. */
  readonly getUnreachable: (nowMs: number) => ReadonlySet<string>;
}

const NO_ROUTERS: ReadonlySet<string> = new Set();

export function createPartitionShares(): PartitionShares {
  let unreachableRouters = NO_ROUTERS;
  let healedAtMs = Number.NEGATIVE_INFINITY;
  let defaultShare = 1;
  let shares = new Map<string, number>();

  function isInForce(nowMs: number): boolean {
    return unreachableRouters.size > 0 && nowMs - healedAtMs < HELD_AFTER_HEAL_MS;
  }

  function setUnreachable(
    unreachable: ReadonlySet<string>,
    routerCount: number,
    demands: readonly SplitDemand[],
    nowMs: number,
  ): void {
    if (unreachable.size === 0) {
      if (healedAtMs === Number.POSITIVE_INFINITY) healedAtMs = nowMs;
      return;
    }
    const isGrowing = [...unreachable].some((router) => !unreachableRouters.has(router));
    const isNewPartition = !isInForce(nowMs);
    healedAtMs = Number.POSITIVE_INFINITY;
    if (!isGrowing && !isNewPartition) return;
    const earlierShares = isNewPartition ? new Map<string, number>() : shares;
    const earlierDefault = isNewPartition ? 1 : defaultShare;
    const allUnreachable = new Set([...(isNewPartition ? [] : unreachableRouters), ...unreachable]);
    shares = new Map(
      demands.map(({ organisation, reachable, unreachable: unreachableDemand }) => {
        const earlierShare = earlierShares.get(organisation) ?? earlierDefault;
        return [
          organisation,
          (earlierShare * reachable) / Math.max(1e-9, reachable + unreachableDemand),
        ];
      }),
    );
    unreachableRouters = allUnreachable;
    defaultShare = Math.max(0, routerCount - allUnreachable.size) / Math.max(1, routerCount);
  }

  return {
    setUnreachable,
    getShare: (organisation, nowMs) =>
      isInForce(nowMs) ? (shares.get(organisation) ?? defaultShare) : 1,
    getUnreachable: (nowMs) => (isInForce(nowMs) ? unreachableRouters : NO_ROUTERS),
  };
}
