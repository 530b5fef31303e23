/** Sums of the other zones about one service, as their collectors sent or answered them. */
import type { RoomFacts, RoomMessage } from '@sequoiarill/types';

import * as Completeness from './completeness';
import * as ReportStores from './reportStore';

type SumNumber = Pick<RoomMessage, 'incarnation' | 'sequence'>;

export interface ZoneSums {
  /**
   * Records the sum of a zone. Messages carry a number, and older ones are dropped; answers to this router's own
   * messages carry none. Returns whether the sum was recorded.
   */
  readonly recordSum: (
    source: { readonly zone: string; readonly router: string; readonly number?: SumNumber },
    facts: RoomFacts,
    nowMs: number,
  ) => boolean;
  /** One sum for each zone that is heard of. */
  readonly listSums: (nowMs: number) => readonly RoomFacts[];
  readonly removeOld: (nowMs: number) => void;
}

interface ZoneSum extends Completeness.DatedFacts {
  readonly zone: string;
  readonly number: SumNumber | undefined;
}

export function createZoneSums(): ZoneSums {
  /** By router: two of a zone may take themselves for its collector when one cannot reach the other. */
  const sums = new Map<string, ZoneSum>();

  return {
    recordSum({ zone, router, number }, facts, nowMs) {
      const known = sums.get(router);
      const isOld =
        number !== undefined &&
        known?.number !== undefined &&
        Completeness.isFresh(known, nowMs) &&
        !ReportStores.isNewer(number, known.number);
      if (isOld) return false;
      sums.set(router, { zone, facts, number: number ?? known?.number, arrivedMs: nowMs });
      return true;
    },
    listSums(nowMs) {
      const all = [...sums.values()];
      return [...new Set(all.map(({ zone }) => zone))].flatMap((zone) => {
        const candidates = all.filter((sum) => sum.zone === zone);
        return Completeness.chooseFacts(candidates, nowMs)?.facts ?? [];
      });
    },
    removeOld(nowMs) {
      for (const [router, sum] of sums) {
        if (!Completeness.isFresh(sum, nowMs)) sums.delete(router);
      }
    },
  };
}
