/** Marks new streams of one service as within their organisation's share of the capacity or beyond it. */
import * as Decisions from '@sequoiarill/decisions';
import type { RoomFacts } from '@sequoiarill/types';

import * as FactSums from './factSums';

export interface ShareFractions {
  readonly markNext: (organisation: string, level: number) => boolean;
  readonly getFraction: (organisation: string, level: number) => number;
}

export interface ShareFractionsOptions {
  readonly getNowMs: () => number;
  readonly buildFleet: () => RoomFacts;
}

/** Fractions are computed anew after this time; the digest that they are from changes every 2 s. */
const TTL_MS = 1_000;
/** Below this ratio of demand to served work, the difference is that of smoothed rates. */
const MAX_MET_DEMAND = 1.05;

/** Whether the engines take all that is asked for, or nothing is known of what they take. */
function hasEnough(demand: number, served: number): boolean {
  return served === 0 || demand <= served * MAX_MET_DEMAND;
}

export function createShareFractions({
  getNowMs,
  buildFleet,
}: ShareFractionsOptions): ShareFractions {
  const marker = Decisions.createShareMarker();
  let fractions: ReadonlyMap<string, readonly number[]> = new Map();
  /** Whether small organisations may be missing from the list, because a message holds no more. */
  let isShortened = false;
  let computedMs = Number.NEGATIVE_INFINITY;

  function updateFractions(): void {
    const nowMs = getNowMs();
    if (nowMs - computedMs < TTL_MS) return;
    computedMs = nowMs;
    const { organisations } = buildFleet();
    const demand = FactSums.computeTotal(organisations.flatMap((work) => work.demand));
    const served = FactSums.computeTotal(organisations.flatMap((work) => work.served));
    isShortened = organisations.length >= FactSums.MAX_ORGANISATIONS;
    fractions = hasEnough(demand, served)
      ? new Map()
      : Decisions.computeShareFractions(organisations, served);
  }

  /** An organisation that is not listed is one of those summed under the empty name, or it is new. */
  function getFraction(organisation: string, level: number): number {
    updateFractions();
    const levels = fractions.get(organisation) ?? (isShortened ? fractions.get('') : undefined);
    return levels?.[level] ?? 1;
  }

  return {
    getFraction,
    markNext: (organisation, level) =>
      marker.markNext(`${level} ${organisation}`, getFraction(organisation, level)),
  };
}
