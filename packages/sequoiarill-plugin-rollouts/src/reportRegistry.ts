/** Reports of all routers on one roll-out, for the router that evaluates it. */
import type { RolloutReport, VersionCounts } from '@sequoiarill/types';

export interface ReportRegistry {
  /**
   * Replaces the router's previous report. Counts only grow while a router runs, so its latest report
   * includes the earlier ones.
   */
  readonly addReport: (report: RolloutReport) => void;
  /** Answer counts of all routers that ever reported. */
  readonly listTallies: () => readonly VersionCounts[];
  /** Number of answers of both versions. */
  readonly countAnswers: () => number;
  /** Reports received since the given time, monotonic milliseconds. */
  readonly listSince: (sinceMs: number) => readonly RolloutReport[];
}

interface ReceivedReport {
  readonly report: RolloutReport;
  readonly atMs: number;
}

function countTallyAnswers({ failures, byLatency }: VersionCounts): number {
  return byLatency.reduce((sum, count) => sum + count, failures);
}

export function createReportRegistry(getNowMs: () => number): ReportRegistry {
  const receivedByRouter = new Map<string, ReceivedReport>();

  function listTallies(): readonly VersionCounts[] {
    return [...receivedByRouter.values()].flatMap(({ report }) => report.tallies);
  }

  return {
    addReport(report) {
      receivedByRouter.set(report.router, { report, atMs: getNowMs() });
    },
    listTallies,
    countAnswers: () => listTallies().reduce((sum, tally) => sum + countTallyAnswers(tally), 0),
    listSince: (sinceMs) =>
      [...receivedByRouter.values()]
        .filter(({ atMs }) => atMs >= sinceMs)
        .map(({ report }) => report),
  };
}
