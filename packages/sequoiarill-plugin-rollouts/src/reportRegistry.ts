/** Reports of all routers on one roll-out, for the router that judges it. */
import type { RolloutReport, VersionCounts } from '@sequoiarill/types';

export interface ReportBook {
  /** Counts only rise while a router lives, so its latest report holds the earlier ones. */
  readonly addReport: (report: RolloutReport) => void;
  /** Of all routers that ever reported. */
  readonly listTallies: () => readonly VersionCounts[];
  /** Answers of both versions. */
  readonly countAnswers: () => number;
  /** Reports that came since a moment, monotonic milliseconds. */
  readonly listSince: (sinceMs: number) => readonly RolloutReport[];
}

interface Received {
  readonly report: RolloutReport;
  readonly atMs: number;
}

function countTally({ failures, byLatency }: VersionCounts): number {
  return byLatency.reduce((sum, count) => sum + count, failures);
}

export function createReportBook(getNowMs: () => number): ReportBook {
  const received = new Map<string, Received>();

  function listTallies(): readonly VersionCounts[] {
    return [...received.values()].flatMap(({ report }) => report.tallies);
  }

  return {
    addReport(report) {
      received.set(report.router, { report, atMs: getNowMs() });
    },
    listTallies,
    countAnswers: () => listTallies().reduce((sum, tally) => sum + countTally(tally), 0),
    listSince: (sinceMs) =>
      [...received.values()].filter(({ atMs }) => atMs >= sinceMs).map(({ report }) => report),
  };
}
