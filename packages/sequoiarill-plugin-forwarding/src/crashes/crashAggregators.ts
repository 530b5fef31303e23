/** Which routers count for a content, and how they are told. */
import * as Decisions from '@sequoiarill/decisions';
import type { Clock, CrashReportOutcome, RouterPeers } from '@sequoiarill/types';

/** Tells one router what was seen so long ago, milliseconds. */
export type SendReport = (router: string, ageMs: number) => Promise<CrashReportOutcome>;

export interface CrashAggregators {
  /** Whether this router ranks among those that count for the content. */
  readonly isAggregator: (content: string) => boolean;
  /**
   * Tells those that rank first, until enough of them have it. Returns whether this router counts for the
   * content, which it also does where no other one answers.
   */
  readonly sendReport: (content: string, send: SendReport) => Promise<boolean>;
  /** Tells those that rank first now and were not reached or not known before. */
  readonly sendAgain: () => Promise<void>;
}

export interface CrashAggregatorsOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  readonly logFailure: (router: string, reason: string) => void;
}

/** Routers that count for a content; one of them may be cut off or end at any moment. */
const AGGREGATORS = 2;
/** Routers that are tried as such, one after the other. */
const MAX_TRIES = 6;
/** Reports are sent again for this long: cuts last seconds, and a router that starts knows few others. */
const SENT_AGAIN_MS = 30_000;
/** Reports that may be sent again, the newest. */
const MAX_REPORTS = 50;

interface Report {
  readonly content: string;
  readonly send: SendReport;
  readonly startedMs: number;
  readonly told: Set<string>;
}

export function createCrashAggregators(options: CrashAggregatorsOptions): CrashAggregators {
  const { clock, peers, logFailure } = options;
  let reports: readonly Report[] = [];

  function listRanked(content: string): readonly string[] {
    const addresses = peers.listRouters().map(({ address }) => address);
    return Decisions.sortByRank(addresses, content);
  }

  async function sendTo(router: string, { send, startedMs, told }: Report): Promise<void> {
    const outcome = await send(router, clock.getNowMs() - startedMs);
    if (outcome.kind === 'counted') told.add(router);
    else logFailure(router, outcome.reason);
  }

  async function sendToMissing(report: Report): Promise<void> {
    const first = listRanked(report.content).slice(0, AGGREGATORS);
    const missing = first.filter((router) => router !== peers.self && !report.told.has(router));
    await Promise.all(missing.map((router) => sendTo(router, report)));
  }

  return {
    isAggregator: (content) => listRanked(content).slice(0, AGGREGATORS).includes(peers.self),
    async sendReport(content, send) {
      const report = { content, send, startedMs: clock.getNowMs(), told: new Set<string>() };
      reports = [...reports, report].slice(-MAX_REPORTS);
      let isAggregator = false;
      for (const router of listRanked(content).slice(0, MAX_TRIES)) {
        if (report.told.size + (isAggregator ? 1 : 0) === AGGREGATORS) return isAggregator;
        if (router === peers.self) isAggregator = true;
        else await sendTo(router, report);
      }
      return isAggregator || report.told.size === 0;
    },
    async sendAgain() {
      const sinceMs = clock.getNowMs() - SENT_AGAIN_MS;
      reports = reports.filter(({ startedMs }) => startedMs > sinceMs);
      await Promise.all(reports.map(sendToMissing));
    },
  };
}
