/** Selects the routers that count the crashes of a content (its aggregators) and sends reports to them. */
import * as Decisions from '@sequoiarill/decisions';
import type { Clock, CrashReportOutcome, RouterPeers } from '@sequoiarill/types';

/** Sends a report of an event of the given age to one router. */
export type SendReport = (router: string, ageMs: number) => Promise<CrashReportOutcome>;

export interface CrashAggregators {
  /** Whether this router ranks among the aggregators of the content. */
  readonly isAggregator: (content: string) => boolean;
  /**
   * Sends the report to the highest-ranked routers until enough of them have received it. Returns whether
   * this router is an aggregator of the content, which it also is when no other one responds.
   */
  readonly sendReport: (content: string, send: SendReport) => Promise<boolean>;
  /** Sends pending reports to aggregators that were unreachable or unknown before. */
  readonly sendPending: () => Promise<void>;
}

export interface CrashAggregatorsOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  readonly logFailure: (router: string, reason: string) => void;
}

/** More than one, because an aggregator may become unreachable or terminate at any moment. */
const AGGREGATOR_COUNT = 2;
/** Routers that are tried as aggregators: the first ones together, the others one after the other. */
const MAX_ROUTERS_TRIED = 6;
/** Reports are resent for this long: partitions last seconds, and a starting router knows few others. */
const RESEND_PERIOD_MS = 30_000;
/** Maximum number of reports kept for resending; the newest are kept. */
const MAX_PENDING_REPORTS = 50;

interface Report {
  readonly content: string;
  readonly send: SendReport;
  readonly startedMs: number;
  readonly notified: Set<string>;
}

export function createCrashAggregators(options: CrashAggregatorsOptions): CrashAggregators {
  const { clock, peers, logFailure } = options;
  let reports: readonly Report[] = [];

  function listRanked(content: string): readonly string[] {
    const addresses = peers.listRouters().map(({ address }) => address);
    return Decisions.sortByRank(addresses, content);
  }

  async function sendTo(router: string, { send, startedMs, notified }: Report): Promise<void> {
    const outcome = await send(router, clock.getNowMs() - startedMs);
    if (outcome.kind === 'counted') notified.add(router);
    else logFailure(router, outcome.reason);
  }

  async function sendToUnnotified(report: Report): Promise<void> {
    const first = listRanked(report.content).slice(0, AGGREGATOR_COUNT);
    const unnotified = first.filter(
      (router) => router !== peers.self && !report.notified.has(router),
    );
    await Promise.all(unnotified.map((router) => sendTo(router, report)));
  }

  return {
    isAggregator: (content) => listRanked(content).slice(0, AGGREGATOR_COUNT).includes(peers.self),
    async sendReport(content, send) {
      const report = { content, send, startedMs: clock.getNowMs(), notified: new Set<string>() };
      reports = [...reports, report].slice(-MAX_PENDING_REPORTS);
      const ranked = listRanked(content).slice(0, MAX_ROUTERS_TRIED);
      let isAggregator = ranked.slice(0, AGGREGATOR_COUNT).includes(peers.self);
      // At the same time, as one of them may not respond.
      await sendToUnnotified(report);
      for (const router of ranked.slice(AGGREGATOR_COUNT)) {
        if (report.notified.size + (isAggregator ? 1 : 0) === AGGREGATOR_COUNT) return isAggregator;
        if (router === peers.self) isAggregator = true;
        else await sendTo(router, report);
      }
      return isAggregator || report.notified.size === 0;
    },
    async sendPending() {
      const sinceMs = clock.getNowMs() - RESEND_PERIOD_MS;
      reports = reports.filter(({ startedMs }) => startedMs > sinceMs);
      await Promise.all(reports.map(sendToUnnotified));
    },
  };
}
