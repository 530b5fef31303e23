/** This router's view of the targets: its own in-flight requests, failures, and recent losses. */
import * as Decisions from '@sequoiarill/decisions';
import type { SuspectTracker, TargetView } from '@sequoiarill/decisions';
import type { EngineReport, ForwardingTarget } from '@sequoiarill/types';

import * as LazyGetters from '../lazyGetter';
import * as OwnLoads from './ownLoads';
import type { CopyRecord, OwnLoad, OwnRun } from './ownLoads';
import type { PathMonitor } from './pathMonitor';

export interface TargetRegistry {
  /**
   * A request was placed on the target and will be sent shortly, unless it is cancelled. `tokens`: its prompt and
   * expected output.
   */
  readonly recordPlacement: (target: ForwardingTarget, tokens?: number) => void;
  /** Returns a function that must be called once, when the request has ended there. */
  readonly recordStart: (target: ForwardingTarget, run?: OwnRun) => () => void;
  /** The target is to hold a copy of a run of this size. */
  readonly recordCopy: (target: ForwardingTarget, tokens: number) => CopyRecord;
  /** What the target's last report does not show of this router's own doing. */
  readonly getOwnLoad: (target: ForwardingTarget) => OwnLoad & { readonly sentTokens: number };
  /** Liveness evidence: an event of a stream, or a report. */
  readonly recordAlive: (target: ForwardingTarget) => void;
  readonly recordSuccess: (target: ForwardingTarget) => void;
  /** A failure that is no evidence about other targets of the zone, such as a full queue. */
  readonly recordFailure: (target: ForwardingTarget) => void;
  /** A refused or broken connection, a lost run, or a damaged response. */
  readonly recordLoss: (target: ForwardingTarget) => void;
  /**
   * A probe without an answer in time. The target is suspected until it answers or the suspicion expires, but not
   * ejected: an ejection would outlast a pause by seconds, and the common pause of a service's targets would leave
   * half of them with all of the load.
   */
  readonly recordSilence: (target: ForwardingTarget) => void;
  /**
   * Another incarnation of the target, or another target, has its address now: this one is removed.
   */
  readonly recordReplacement: (target: ForwardingTarget) => void;
  /** Whether the target's identity must be verified again; see `recordVerified`. */
  readonly isUnverified: (target: ForwardingTarget) => boolean;
  readonly recordVerified: (target: ForwardingTarget) => void;
  /** Monotonic milliseconds; undefined when its identity was never verified. */
  readonly getVerifiedAtMs: (target: ForwardingTarget) => number | undefined;
  readonly recordReport: (target: ForwardingTarget, report: EngineReport) => void;
  readonly buildView: (target: ForwardingTarget) => TargetView;
  readonly isSuspect: (target: ForwardingTarget) => boolean;
  /** Forgets failures and losses of the service's targets, whose cause was this router's own path. */
  readonly removeLosses: (targets: readonly ForwardingTarget[]) => void;
  readonly getInFlight: (target: ForwardingTarget) => number;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
}

interface UnreportedSend {
  readonly atMs: number;
  readonly tokens: number;
  /** False between placement and send. */
  isStarted: boolean;
}

interface TargetEntry {
  readonly target: ForwardingTarget;
  inFlight: number;
  report: EngineReport | undefined;
  reportedAtMs: number;
  /** In-flight requests that the last report may not include. */
  unreportedSends: UnreportedSend[];
  endedSinceReport: number;
}

/**
 * An engine's report shows what it ran a few hundred milliseconds ago. Failure: with each report
 * the router drops the requests that it sent just before, and the next prompt goes to the same
 * engine while others are idle; each prompt ahead delays the first event by a second.
 */
const REPORT_LAG_MS = 300;

function formatReport(
  { report, reportedAtMs }: TargetEntry,
  nowMs: number,
): Pick<TargetView, 'reportedRunning' | 'reportedWaiting' | 'reportAgeMs'> {
  if (report === undefined) return {};
  return {
    reportedRunning: report.running,
    reportedWaiting: report.queued,
    reportAgeMs: nowMs - reportedAtMs,
  };
}

function recordSuspicion(
  target: ForwardingTarget,
  suspects: Pick<SuspectTracker, 'recordLoss'>,
  paths: Pick<PathMonitor, 'recordLoss'>,
  nowMs: number,
): void {
  suspects.recordLoss(target, nowMs);
  paths.recordLoss(target);
}

function countTokens(sends: readonly UnreportedSend[]): number {
  return sends.reduce((sum, { tokens }) => sum + tokens, 0);
}

export function createTargetRegistry(
  getNowMs: () => number,
  paths: Pick<PathMonitor, 'recordHeard' | 'recordLoss'>,
): TargetRegistry {
  const entries = new Map<string, TargetEntry>();
  const getDetector = LazyGetters.createLazyGetter(() => Decisions.createOutlierDetector());
  const suspects = Decisions.createSuspectTracker();
  const loads = OwnLoads.createOwnLoads(getNowMs, REPORT_LAG_MS);

  function getEntry(target: ForwardingTarget): TargetEntry {
    const existing = entries.get(target.id);
    if (existing !== undefined && existing.target.startedAtUnixMs === target.startedAtUnixMs) {
      return existing;
    }
    const entry: TargetEntry = {
      target,
      inFlight: 0,
      report: undefined,
      reportedAtMs: 0,
      unreportedSends: [],
      endedSinceReport: 0,
    };
    entries.set(target.id, entry);
    return entry;
  }

  function isSuspect(target: ForwardingTarget): boolean {
    return suspects.isSuspect(target, getNowMs());
  }

  function decideState(target: ForwardingTarget): TargetView['state'] {
    if (target.state === 'draining' || getEntry(target).report?.isLeaving === true) {
      return 'leaving';
    }
    if (isSuspect(target)) return 'dead';
    return getDetector(target.service).getState(target.id, getNowMs());
  }

  function addSend(entry: TargetEntry, isStarted: boolean, tokens = 0): UnreportedSend {
    const send = { atMs: getNowMs(), tokens, isStarted };
    entry.unreportedSends.push(send);
    return send;
  }

  return {
    /**
     * Failure: two prompts wait for the same reports, both find the same engine idle, and are
     * placed there before either is sent; the second is queued behind the first while other engines
     * are idle.
     */
    recordPlacement(target, tokens) {
      addSend(getEntry(target), false, tokens);
    },
    recordStart(target, run) {
      const entry = getEntry(target);
      entry.inFlight += 1;
      const placement = entry.unreportedSends.find(({ isStarted }) => !isStarted);
      const send = placement ?? addSend(entry, true, run?.tokens);
      send.isStarted = true;
      return () => {
        entry.inFlight = Math.max(0, entry.inFlight - 1);
        if (!entry.unreportedSends.includes(send)) entry.endedSinceReport += 1;
        entry.unreportedSends = entry.unreportedSends.filter((other) => other !== send);
        if (run !== undefined) loads.recordRunEnd(target, run);
      };
    },
    recordCopy: loads.recordCopy,
    getOwnLoad(target) {
      const sentTokens = countTokens(getEntry(target).unreportedSends);
      return { sentTokens, ...loads.getLoad(target) };
    },
    recordSuccess(target) {
      getDetector(target.service).recordSuccess(target.id, getNowMs());
      suspects.recordAlive(target, getNowMs());
      suspects.recordVerified(target, getNowMs());
    },
    recordAlive(target) {
      paths.recordHeard(target);
      suspects.recordAlive(target, getNowMs());
    },
    recordFailure(target) {
      getDetector(target.service).recordFailure(target.id, getNowMs());
    },
    recordLoss(target) {
      getDetector(target.service).recordFailure(target.id, getNowMs());
      recordSuspicion(target, suspects, paths, getNowMs());
    },
    recordSilence: (target) => recordSuspicion(target, suspects, paths, getNowMs()),
    recordReplacement(target) {
      suspects.recordRemoval(target, getNowMs());
    },
    isUnverified: suspects.isUnverified,
    getVerifiedAtMs: suspects.getVerifiedAtMs,
    recordVerified(target) {
      suspects.recordVerified(target, getNowMs());
    },
    recordReport(target, report) {
      const entry = getEntry(target);
      entry.report = report;
      entry.reportedAtMs = getNowMs();
      const reportedUntilMs = entry.reportedAtMs - REPORT_LAG_MS;
      entry.unreportedSends = entry.unreportedSends.filter(({ atMs }) => atMs > reportedUntilMs);
      entry.endedSinceReport = 0;
      loads.recordReport(target);
    },
    buildView(target) {
      const entry = getEntry(target);
      const { unreportedSends, endedSinceReport } = entry;
      return {
        name: target.id,
        zone: target.zone,
        slots: target.slots,
        inFlight: entry.inFlight,
        sentSinceReport: unreportedSends.length,
        endedSinceReport,
        state: decideState(target),
        warmShare: getDetector(target.service).getWarmShare(target.id, getNowMs()),
        ...formatReport(entry, getNowMs()),
      };
    },
    isSuspect,
    removeLosses(targets) {
      suspects.removeLosses(targets);
      const services = new Set(targets.map(({ service }) => service));
      services.forEach((service) => getDetector(service).removeFailures(getNowMs()));
    },
    getInFlight: (target) => getEntry(target).inFlight,
    removeMissing(isCurrent) {
      loads.removeMissing(isCurrent);
      for (const [id, { target, inFlight }] of entries) {
        if (!isCurrent(target) && inFlight === 0) {
          entries.delete(id);
          getDetector(target.service).removeTarget(id);
          suspects.removeTarget(id);
        }
      }
    },
  };
}
