/**
 * What part of each organisation's limit this side of a network partition may use.
 *
 * Load pattern: regions lose each other for minutes while demand rises on both sides. Each side hears
 * only its own rise; without a fixed part for each side both would claim nearly the whole limit. The
 * part is what the reachable routers had reported when the others became unreachable, as a share of
 * what all had; both sides know the same figures, so the parts add up to one but for reports that
 * were under way at the cut. Inside a side, demand moves as ever.
 */

/** After the partition has healed, until every report was repeated and has arrived. Milliseconds. */
const HELD_AFTER_MS = 13_000;

export interface SplitDemand {
  readonly organisation: string;
  readonly reachable: number;
  readonly unreachable: number;
}

export interface PartitionShares {
  /** Each change of what can't be reached, with the demands as split by it. */
  readonly setUnreachable: (
    unreachable: ReadonlySet<string>,
    routerCount: number,
    demands: readonly SplitDemand[],
    nowMs: number,
  ) => void;
  /** 1 while everybody is reachable. */
  readonly getShare: (organisation: string, nowMs: number) => number;
  /** Routers whose demand does not count on this side. */
  readonly getUnreachable: (nowMs: number) => ReadonlySet<string>;
}

const NOBODY: ReadonlySet<string> = new Set();

export function createPartitionShares(): PartitionShares {
  let known = NOBODY;
  let healedAtMs = Number.NEGATIVE_INFINITY;
  let usualPart = 1;
  let parts = new Map<string, number>();

  function isInForce(nowMs: number): boolean {
    return known.size > 0 && nowMs - healedAtMs < HELD_AFTER_MS;
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
    const isGrowing = [...unreachable].some((router) => !known.has(router));
    const isFresh = !isInForce(nowMs);
    healedAtMs = Number.POSITIVE_INFINITY;
    if (!isGrowing && !isFresh) return;
    const earlier = isFresh ? new Map<string, number>() : parts;
    const earlierUsual = isFresh ? 1 : usualPart;
    const missing = new Set([...(isFresh ? [] : known), ...unreachable]);
    parts = new Map(
      demands.map(({ organisation, reachable, unreachable: lost }) => {
        const whole = earlier.get(organisation) ?? earlierUsual;
        return [organisation, (whole * reachable) / Math.max(1e-9, reachable + lost)];
      }),
    );
    known = missing;
    usualPart = Math.max(0, routerCount - missing.size) / Math.max(1, routerCount);
  }

  return {
    setUnreachable,
    getShare: (organisation, nowMs) =>
      isInForce(nowMs) ? (parts.get(organisation) ?? usualPart) : 1,
    getUnreachable: (nowMs) => (isInForce(nowMs) ? known : NOBODY),
  };
}
