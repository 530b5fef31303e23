/** What this router knows of the targets: own work there, failures, and who was lost lately. */
import * as Decisions from '@sequoiarill/decisions';
import type { TargetView } from '@sequoiarill/decisions';
import type { EngineReport, ForwardingTarget } from '@sequoiarill/types';

import * as LazyGetters from '../lazyGetter';

export interface TargetRegistry {
  /** A request was placed there and will be sent in a moment, unless it is given up. */
  readonly recordPlacement: (target: ForwardingTarget) => void;
  /** Gives what is to be called, once, when the request has ended there. */
  readonly recordStart: (target: ForwardingTarget) => () => void;
  /** An event of a stream, or a report: it lives. */
  readonly recordAlive: (target: ForwardingTarget) => void;
  readonly recordSuccess: (target: ForwardingTarget) => void;
  /** A failure that says nothing of the targets beside it, such as a full queue. */
  readonly recordFailure: (target: ForwardingTarget) => void;
  /** A connection refused or broken, a silence, a damaged answer. */
  readonly recordLoss: (target: ForwardingTarget) => void;
  /** Another life of a target, or another one, has its address now: this one is gone. */
  readonly recordReplacement: (target: ForwardingTarget) => void;
  /** The target's identity is not sure any more; see `recordProof`. */
  readonly isUnverified: (target: ForwardingTarget) => boolean;
  readonly recordVerified: (target: ForwardingTarget) => void;
  /** Monotonic milliseconds; undefined when it never proved its identity. */
  readonly getVerifiedAtMs: (target: ForwardingTarget) => number | undefined;
  readonly recordReport: (target: ForwardingTarget, report: EngineReport) => void;
  readonly buildView: (target: ForwardingTarget) => TargetView;
  readonly isSuspect: (target: ForwardingTarget) => boolean;
  readonly getInFlight: (target: ForwardingTarget) => number;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
}

interface UnseenSend {
  readonly atMs: number;
  /** False between the placement and the send. */
  isStarted: boolean;
}

interface Entry {
  readonly target: ForwardingTarget;
  inFlight: number;
  report: EngineReport | undefined;
  reportedAtMs: number;
  /** Requests in progress that the last report may not count. */
  unseenSends: UnseenSend[];
  endedSinceReport: number;
}

/**
 * An engine's report counts what it ran some hundred milliseconds ago. Failure: the runs that this
 * router sent just before are forgotten with each report, and the next prompt goes to the same engine,
 * whose neighbours idle; its first event comes a second later for each prompt before it.
 */
const REPORT_LAG_MS = 300;

export function createTargetRegistry(getNowMs: () => number): TargetRegistry {
  const entries = new Map<string, Entry>();
  const getDetector = LazyGetters.createLazyGetter(() => Decisions.createOutlierDetector());
  const suspicion = Decisions.createSuspectTracker();

  function getEntry(target: ForwardingTarget): Entry {
    const known = entries.get(target.id);
    if (known !== undefined && known.target.startedAtUnixMs === target.startedAtUnixMs) {
      return known;
    }
    const created: Entry = {
      target,
      inFlight: 0,
      report: undefined,
      reportedAtMs: 0,
      unseenSends: [],
      endedSinceReport: 0,
    };
    entries.set(target.id, created);
    return created;
  }

  function isSuspect(target: ForwardingTarget): boolean {
    return suspicion.isSuspect(target, getNowMs());
  }

  function decideState(target: ForwardingTarget): TargetView['state'] {
    if (target.state === 'draining' || getEntry(target).report?.isLeaving === true) {
      return 'leaving';
    }
    if (isSuspect(target)) return 'dead';
    return getDetector(target.service).getState(target.id, getNowMs());
  }

  function addUnseenSend(entry: Entry, isStarted: boolean): UnseenSend {
    const send = { atMs: getNowMs(), isStarted };
    entry.unseenSends.push(send);
    return send;
  }

  return {
    /**
     * Failure: two prompts wait for the same reports, both find the same engine idle, and are placed
     * there before either is sent; the second waits for the first while the neighbours idle.
     */
    recordPlacement(target) {
      addUnseenSend(getEntry(target), false);
    },
    recordStart(target) {
      const entry = getEntry(target);
      entry.inFlight += 1;
      const placed = entry.unseenSends.find(({ isStarted }) => !isStarted);
      const send = placed ?? addUnseenSend(entry, true);
      send.isStarted = true;
      return () => {
        entry.inFlight = Math.max(0, entry.inFlight - 1);
        if (!entry.unseenSends.includes(send)) entry.endedSinceReport += 1;
        entry.unseenSends = entry.unseenSends.filter((other) => other !== send);
      };
    },
    recordSuccess(target) {
      getDetector(target.service).recordSuccess(target.id, getNowMs());
      suspicion.recordAlive(target, getNowMs());
      suspicion.recordVerified(target, getNowMs());
    },
    recordAlive(target) {
      suspicion.recordAlive(target, getNowMs());
    },
    recordFailure(target) {
      getDetector(target.service).recordFailure(target.id, getNowMs());
    },
    recordLoss(target) {
      getDetector(target.service).recordFailure(target.id, getNowMs());
      suspicion.recordLoss(target, getNowMs());
    },
    recordReplacement(target) {
      suspicion.recordRemoval(target, getNowMs());
    },
    isUnverified: suspicion.isUnverified,
    getVerifiedAtMs: suspicion.getVerifiedAtMs,
    recordVerified(target) {
      suspicion.recordVerified(target, getNowMs());
    },
    recordReport(target, report) {
      const entry = getEntry(target);
      entry.report = report;
      entry.reportedAtMs = getNowMs();
      const seenUntilMs = entry.reportedAtMs - REPORT_LAG_MS;
      entry.unseenSends = entry.unseenSends.filter(({ atMs }) => atMs > seenUntilMs);
      entry.endedSinceReport = 0;
    },
    buildView(target) {
      const entry = getEntry(target);
      const { report, unseenSends, endedSinceReport } = entry;
      return {
        name: target.id,
        zone: target.zone,
        slots: target.slots,
        inFlight: entry.inFlight,
        sentSinceReport: unseenSends.length,
        endedSinceReport,
        state: decideState(target),
        warmShare: getDetector(target.service).getWarmShare(target.id, getNowMs()),
        ...(report === undefined
          ? {}
          : {
              reportedRunning: report.running,
              reportedWaiting: report.queued,
              reportAgeMs: getNowMs() - entry.reportedAtMs,
            }),
      };
    },
    isSuspect,
    getInFlight: (target) => getEntry(target).inFlight,
    removeMissing(isCurrent) {
      for (const [id, { target, inFlight }] of entries) {
        if (!isCurrent(target) && inFlight === 0) {
          entries.delete(id);
          getDetector(target.service).removeTarget(id);
          suspicion.removeTarget(id);
        }
      }
    },
  };
}
