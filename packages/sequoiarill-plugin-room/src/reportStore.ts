/** Reports of the routers of a zone about one service, and what those that have ended leave behind. */
import type { RoomFacts, RoomMessage } from '@sequoiarill/types';

import * as Completeness from './completeness';
import * as FactSums from './factSums';

export type ReportHeader = Pick<RoomMessage, 'router' | 'incarnation' | 'sequence' | 'isEnding'>;

export interface ReportStore {
  /** Returns whether the report is newer than all that were received from the router before. */
  readonly recordReport: (header: ReportHeader, facts: RoomFacts, nowMs: number) => boolean;
  /** `except`: a router whose report is left out. */
  readonly listLive: (nowMs: number, except?: string) => readonly RoomFacts[];
  /**
   * Requests and retries of ended processes that are still in the window of the retry budget: not more of the
   * requests, and not fewer of the retries, than are in it while the sum is used. Processes whose reports ceased
   * are included only in the collector: elsewhere they report to another router. They may still run and be counted
   * elsewhere, so their requests earn no retries here.
   */
  readonly computeEnded: (nowMs: number, isCollector: boolean) => RoomFacts['endedRepeats'];
  /** Drops reports that have ceased, where that says nothing of their senders: this process was paused itself. */
  readonly removeCeased: (nowMs: number) => void;
  readonly removeOld: (nowMs: number) => void;
}

/** Length of the retry budget's window, the default of `repeatWindowSeconds`. */
const WINDOW_MS = 10_000;
/** Routers use sums for as long as this after the collector has read them. */
const USE_DELAY_MS = 4_000;
/** Bounds the memory if routers restart again and again within a window. */
const MAX_ENDED = 1_000;

interface Report extends Completeness.DatedFacts {
  readonly header: ReportHeader;
}

interface Ended {
  readonly repeats: RoomFacts['endedRepeats'];
  /** Arrival of the last report. */
  readonly arrivedMs: number;
}

export function isNewer(
  { incarnation, sequence }: Pick<ReportHeader, 'incarnation' | 'sequence'>,
  known: Pick<ReportHeader, 'incarnation' | 'sequence'>,
): boolean {
  if (incarnation !== known.incarnation) return incarnation > known.incarnation;
  return sequence > known.sequence;
}

function createEnded({ facts, arrivedMs }: Completeness.DatedFacts): Ended {
  return { repeats: FactSums.mergeEnded(facts.repeats, facts.endedRepeats), arrivedMs };
}

function hasCeased(report: Report, nowMs: number): boolean {
  return !report.header.isEnding && !Completeness.isFresh(report, nowMs);
}

export function createReportStore(): ReportStore {
  /** Ended routers are kept until the window has passed, so that their late reports are recognised. */
  const reports = new Map<string, Report>();
  let ended: readonly Ended[] = [];

  function isInWindow({ arrivedMs }: Pick<Ended, 'arrivedMs'>, nowMs: number): boolean {
    return nowMs - arrivedMs < WINDOW_MS;
  }

  function addEnded(report: Completeness.DatedFacts): void {
    ended = [...ended, createEnded(report)].slice(-MAX_ENDED);
  }

  return {
    recordReport(header, facts, nowMs) {
      const previous = reports.get(header.router);
      if (previous !== undefined && isInWindow(previous, nowMs)) {
        if (!isNewer(header, previous.header)) return false;
        const isRestarted = header.incarnation !== previous.header.incarnation;
        if (isRestarted && !previous.header.isEnding) addEnded(previous);
      }
      const report = { header, facts, arrivedMs: nowMs };
      reports.set(header.router, report);
      if (header.isEnding) addEnded(report);
      return true;
    },
    listLive: (nowMs, except) =>
      [...reports.values()]
        .filter((report) => !report.header.isEnding && Completeness.isFresh(report, nowMs))
        .filter(({ header }) => header.router !== except)
        .map(({ facts }) => facts),
    computeEnded(nowMs, isCollector) {
      const ceased = [...reports.values()]
        .filter((report) => hasCeased(report, nowMs))
        .map(createEnded)
        .map((item) => ({ ...item, repeats: { ...item.repeats, requests: 0 } }));
      return [...ended, ...(isCollector ? ceased : [])]
        .filter((item) => isInWindow(item, nowMs))
        .reduce(
          (sum, { repeats, arrivedMs }) => {
            // The window moves on: of requests spread evenly over it, this part is still inside when the sum is used.
            const ageMs = nowMs - arrivedMs + USE_DELAY_MS;
            const weight = Math.max(0, 1 - ageMs / WINDOW_MS);
            return {
              requests: sum.requests + repeats.requests * weight,
              retries: sum.retries + repeats.retries,
            };
          },
          { requests: 0, retries: 0 },
        );
    },
    removeCeased(nowMs) {
      for (const [router, report] of reports) {
        if (hasCeased(report, nowMs)) reports.delete(router);
      }
    },
    removeOld(nowMs) {
      ended = ended.filter((item) => isInWindow(item, nowMs));
      for (const [router, report] of reports) {
        if (!isInWindow(report, nowMs)) reports.delete(router);
      }
    },
  };
}
