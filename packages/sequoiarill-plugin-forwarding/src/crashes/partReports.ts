/**
 * Counts crashes of targets by the parts of the prompts that they had begun to answer, over all routers.
 *
 * Each crash is reported to two aggregators of each part. An aggregator with enough evidence asks the other
 * routers whether the part was answered since the first crash, and blocks it if none says so.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { Metrics, PartCalls, PartCrash, PartHandlers, RouterPeers } from '@sequoiarill/types';

import * as PartBlockReports from './partBlockReports';
import type { PartBlockReportsOptions, PartRequest } from './partBlockReports';
import * as PartDecisions from './partDecisions';
import * as PartHolds from './partHolds';
import * as PartInquiries from './partInquiries';
import * as PartLogs from './partLog';
import * as PartRuns from './partRuns';
import type { PartRun, PartRunsOptions } from './partRuns';
import * as RankedReports from './rankedReports';

export interface PartReports extends Pick<
  PartBlockReports.PartBlockReports,
  'findBlock' | 'applyDirectory'
> {
  /** Whether the routers are being asked for a part of the request, which should wait for the result. */
  readonly isHeld: (request: PartRequest) => boolean;
  /** Whether a block refuses such a request, apart from trials. */
  readonly isBlocked: (request: PartRequest) => boolean;
  /** Records an attempt that is being sent. */
  readonly startRun: (request: PartRequest) => PartRun;
  /** Records that the target terminated when the run had come so far. */
  readonly recordCrash: (
    request: PartRequest,
    target: string,
    progress: Decisions.RunProgress,
  ) => void;
  readonly handlers: PartHandlers;
  /** Retries pending writes and reports; called again and again. */
  readonly sendPending: () => Promise<void>;
  readonly dumpState: () => { readonly blocked: readonly string[]; readonly suspects: number };
}

export interface PartReportsOptions extends PartBlockReportsOptions {
  readonly clock: PartRunsOptions['clock'];
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'listNearest'> & PartCalls;
  readonly metrics: Pick<Metrics, 'addCount' | 'recordTiming'>;
}

/** More than one, because an aggregator may become unreachable or terminate at any moment. */
const AGGREGATOR_COUNT = 2;
/** A part answered here this recently is not reported: answers refute the crash at once. */
const JUST_ANSWERED_MS = 1_000;
/** Parts of a prompt that are counted; prompts list shared parts first. */
const MAX_COUNTED_PARTS = 32;

export function createPartReports(options: PartReportsOptions): PartReports {
  const { clock, peers, log, logFailure, runAsync } = options;
  const evidence = Decisions.createPartEvidence();
  const partLog = PartLogs.createPartLog(options);
  const holds = PartHolds.createPartHolds(clock);
  const blocks = PartBlockReports.createPartBlockReports({
    ...options,
    onBlocked(part) {
      holds.remove(part);
      options.onBlocked(part);
    },
  });
  const runs = PartRuns.createPartRuns({
    clock,
    onAnswered: (parts) => parts.forEach((part) => recordAnswer({ part, ageMs: 0 })),
  });
  const inquiries = PartInquiries.createPartInquiries({ clock, peers, runs, holds, logFailure });
  const partDecisions = PartDecisions.createPartDecisions({
    clock,
    peers,
    evidence,
    blocks,
    inquiries,
    recordAnswer,
    log,
    logInquiry: partLog.logInquiry,
    runAsync,
  });
  /** Parts that are being asked for. */
  const asked = new Set<string>();
  const reports = RankedReports.createRankedReports<PartCrash>({
    clock,
    peers,
    getKey: ({ part }) => part,
    rank: Decisions.sortByRank,
    holderCount: AGGREGATOR_COUNT,
    send: (router, items) =>
      peers.reportPartCrashes(
        router,
        items.map(({ item, ageMs }) => ({ ...item, ageMs: item.ageMs + ageMs })),
      ),
    logFailure,
  });

  function recordAnswer({ part, ageMs }: Readonly<{ part: string; ageMs: number }>): void {
    evidence.recordAnswer(part, clock.getNowMs() - ageMs);
    holds.remove(part);
    blocks.recordAnswer({ part, ageMs });
  }

  function startInquiry(part: string): void {
    const block = evidence.findBlock(part, clock.getNowMs(), false);
    if (block === undefined || asked.has(part) || !blocks.isNews(block)) return;
    asked.add(part);
    runAsync([partDecisions.decidePart(part).finally(() => asked.delete(part))]);
  }

  function countCrash(crash: PartCrash): void {
    blocks.recordCrash(crash);
    evidence.recordCrash(crash, clock.getNowMs());
  }

  async function reportCrash(crash: PartCrash): Promise<void> {
    countCrash(crash);
    if (reports.isHolder(crash.part)) startInquiry(crash.part);
    const isReceived = await reports.addItem(crash);
    // A router that reaches no aggregator decides by itself.
    if (!isReceived) startInquiry(crash.part);
  }

  /** The last part belongs to one request or session, and is blamed with its content. */
  function listCounted(request: PartRequest): readonly string[] {
    // A block that refuses the request by now explains the crash.
    const blocked = blocks.listMatching(request).map(({ part }) => part);
    if (blocked.length > 0) return blocked;
    const { parts } = request;
    const sinceMs = clock.getNowMs() - JUST_ANSWERED_MS;
    const shared = [...new Set(parts.slice(0, -1))].slice(0, MAX_COUNTED_PARTS);
    return shared.filter((part) => (runs.getAnsweredAtMs(part) ?? sinceMs - 1) < sinceMs);
  }

  return {
    findBlock: blocks.findBlock,
    isBlocked: (request) => blocks.listMatching(request).length > 0,
    isHeld: (request) => holds.isHeld(request),
    applyDirectory: blocks.applyDirectory,
    startRun(request) {
      blocks.recordSend(request);
      return partLog.addToRun(runs.startRun(request.parts), request.id, () =>
        blocks.listMatching(request),
      );
    },
    recordCrash(request, target, progress) {
      const stage = Decisions.decideStage(progress);
      runs.recordCrash(target, { parts: request.parts, stage });
      const crashes = listCounted(request).map((part) => {
        const others = request.parts.filter((other) => other !== part).slice(-MAX_COUNTED_PARTS);
        return { part, others, organisation: request.organisation, target, stage, ageMs: 0 };
      });
      runAsync(crashes.map(reportCrash));
    },
    handlers: {
      handlePartCrashes(crashes) {
        for (const crash of crashes) {
          countCrash(crash);
          startInquiry(crash.part);
        }
      },
      handlePartAnswers: (answers) => answers.forEach(recordAnswer),
      handlePartQuery: inquiries.findFindings,
      handlePartBlocks(received) {
        blocks.recordBlocks(received, 'peer');
        return blocks.listBlocks();
      },
    },
    async sendPending() {
      await Promise.all([blocks.sendPending(), reports.sendAgain()]);
    },
    dumpState: () => ({
      blocked: blocks.listBlocks().map(({ part }) => part),
      suspects: evidence.countParts(),
    }),
  };
}
