/**
 * Keeps the runs of this router by incarnation of their target, until it is known what became of them.
 *
 * A target that crashes need not close a connection: it falls silent, or the caller has left by then. So a run that ended
 * without an answer is kept for a while, and the end of its target still counts for it.
 */
import type { RunProgress } from '@sequoiarill/decisions';
import type { Clock, ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import * as Incarnations from '../targets/targetIncarnation';
import { PART_CRASH_WINDOW_MS } from './partRuns';
import type { PartRun } from './partRuns';

/** One attempt at a target. */
export interface TargetRun extends PartRun {
  /** Records that the head of an answer has arrived. */
  readonly recordHead: () => void;
  /** Records that the target itself has ended the run, which it therefore survived. */
  readonly recordSurvived: () => void;
  /** Whether the run was taken back because its request is blocked by now. */
  readonly isWithdrawn: () => boolean;
}

/** What is kept of a request; its body would hold memory for as long. */
export type KeptRequest = Pick<
  ForwardRequest,
  'id' | 'contentKey' | 'organisation' | 'promptParts'
>;

/** A run without an answer, as far as it came. */
export interface UnansweredRun extends RunProgress {
  readonly request: KeptRequest;
  readonly target: ForwardingTarget;
}

export interface TargetRuns {
  /** `cancel` is called where the run is to be taken back. */
  readonly startRun: (
    request: ForwardRequest,
    target: ForwardingTarget,
    part: PartRun,
    cancel: () => void,
  ) => TargetRun;
  /** Unanswered runs at the incarnation, which are not returned again. */
  readonly takeUnanswered: (target: ForwardingTarget) => readonly UnansweredRun[];
  /** Those of them that have ended here. */
  readonly takeEnded: (target: ForwardingTarget) => readonly UnansweredRun[];
  /** Whether the run may be counted; false where it was taken before. */
  readonly takeRun: (run: Pick<UnansweredRun, 'request' | 'target'>) => boolean;
  readonly hasHeardSince: (target: ForwardingTarget, sinceMs: number) => boolean;
  /** Targets with unanswered runs. */
  readonly listTargets: () => readonly ForwardingTarget[];
  /** Forgets old runs, and returns targets that have become silent; called again and again. */
  readonly checkSilences: () => readonly ForwardingTarget[];
  /** Takes back runs that have no head of an answer. */
  readonly cancelWaiting: (isBlocked: (request: KeptRequest) => boolean) => void;
}

/** Time for which a run that has ended is kept. */
const KEPT_MS = 4_000;
/**
 * Sweeps without a sign of a target after which it is silent. A pause of this process takes up one of them, and what
 * arrived meanwhile is read before the next.
 */
const SILENT_SWEEPS = 4;
/** Each further check of a target that stays silent comes after so many times the sweeps. */
const SILENT_FACTOR = 3;
const MAX_TARGETS = 4_000;
const MAX_TAKEN = 4_000;

interface KeptRun {
  readonly request: KeptRequest;
  /** Undefined once the run has ended. */
  cancel: (() => void) | undefined;
  hasHead: boolean;
  /** In running time, as the crash window. */
  firstEventMs: number | undefined;
  lastEventMs: number | undefined;
  /** Monotonic; undefined while the run is in progress. */
  endedAtMs: number | undefined;
  hasSurvived: boolean;
  isWithdrawn: boolean;
}

interface Entry {
  readonly target: ForwardingTarget;
  readonly runs: Set<KeptRun>;
  heardAtMs: number;
  silentSweeps: number;
  /** Sweeps without a sign at which it is returned as silent. */
  reportedAtSweep: number;
}

function computeRanMs({ firstEventMs, lastEventMs }: KeptRun): number | undefined {
  if (firstEventMs === undefined || lastEventMs === undefined) return undefined;
  return lastEventMs - firstEventMs;
}

/** Whether the run had begun and may be the cause of a crash. */
function isSuspect(run: KeptRun): boolean {
  return run.hasHead && !run.isWithdrawn && (computeRanMs(run) ?? 0) <= PART_CRASH_WINDOW_MS;
}

/** Returns a function that tells whether a run is recorded for the first time. */
function createTakenRecord() {
  /** By incarnation and request. */
  const taken = new Set<string>();

  return function recordTaken(target: ForwardingTarget, { id }: KeptRequest): boolean {
    const key = `${Incarnations.formatIncarnation(target)} ${id}`;
    if (taken.has(key)) return false;
    taken.add(key);
    const oldest = taken.values().next();
    if (taken.size > MAX_TAKEN && oldest.done !== true) taken.delete(oldest.value);
    return true;
  };
}

function buildKeptRequest({
  id,
  contentKey,
  organisation,
  promptParts,
}: ForwardRequest): KeptRequest {
  const kept = { id, contentKey, promptParts };
  return organisation === undefined ? kept : { ...kept, organisation };
}

export function createTargetRuns(clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>): TargetRuns {
  const entries = new Map<string, Entry>();
  const recordTaken = createTakenRecord();

  function getEntry(target: ForwardingTarget): Entry {
    const key = Incarnations.formatIncarnation(target);
    const existing = entries.get(key);
    if (existing !== undefined) return existing;
    const entry: Entry = {
      target,
      runs: new Set(),
      heardAtMs: clock.getNowMs(),
      silentSweeps: 0,
      reportedAtSweep: SILENT_SWEEPS,
    };
    entries.set(key, entry);
    const oldest = entries.keys().next();
    if (entries.size > MAX_TARGETS && oldest.done !== true) entries.delete(oldest.value);
    return entry;
  }

  const findEntry = (target: ForwardingTarget): Entry | undefined =>
    entries.get(Incarnations.formatIncarnation(target));

  function recordHeard(entry: Entry): void {
    entry.heardAtMs = clock.getNowMs();
    entry.silentSweeps = 0;
    entry.reportedAtSweep = SILENT_SWEEPS;
  }

  /** A target that went on for the crash window after the end of a run was not ended by it. */
  function isOver({ endedAtMs, hasSurvived }: KeptRun, { heardAtMs }: Entry): boolean {
    if (hasSurvived) return true;
    if (endedAtMs === undefined) return false;
    return clock.getNowMs() - endedAtMs > KEPT_MS || heardAtMs - endedAtMs > PART_CRASH_WINDOW_MS;
  }

  function takeRuns(
    target: ForwardingTarget,
    isTaken: (run: KeptRun) => boolean,
  ): readonly UnansweredRun[] {
    const entry = findEntry(target);
    if (entry === undefined) return [];
    const chosen = [...entry.runs].filter((run) => !isOver(run, entry) && isTaken(run));
    chosen.forEach((run) => entry.runs.delete(run));
    return chosen
      .filter(({ request, isWithdrawn }) => !isWithdrawn && recordTaken(target, request))
      .map((run) => ({
        request: run.request,
        target: entry.target,
        hasHead: run.hasHead,
        ranMs: computeRanMs(run),
      }));
  }

  return {
    startRun(request, target, part, cancel) {
      const entry = getEntry(target);
      const run: KeptRun = {
        request: buildKeptRequest(request),
        cancel,
        hasHead: false,
        firstEventMs: undefined,
        lastEventMs: undefined,
        endedAtMs: undefined,
        hasSurvived: false,
        isWithdrawn: false,
      };
      entry.runs.add(run);
      return {
        recordHead() {
          run.hasHead = true;
          recordHeard(entry);
        },
        recordEvent() {
          run.lastEventMs = clock.getRunningMs();
          run.firstEventMs ??= run.lastEventMs;
          recordHeard(entry);
          part.recordEvent();
        },
        recordAnswer() {
          run.hasSurvived = true;
          recordHeard(entry);
          part.recordAnswer();
        },
        recordSurvived() {
          run.hasSurvived = true;
        },
        isWithdrawn: () => run.isWithdrawn,
        end() {
          run.endedAtMs ??= clock.getNowMs();
          run.cancel = undefined;
          if (run.hasSurvived) entry.runs.delete(run);
          part.end();
        },
      };
    },
    takeUnanswered: (target) => takeRuns(target, () => true),
    takeEnded: (target) => takeRuns(target, ({ endedAtMs }) => endedAtMs !== undefined),
    takeRun({ request, target }) {
      const runs = findEntry(target)?.runs;
      for (const run of runs ?? []) if (run.request.id === request.id) runs?.delete(run);
      return recordTaken(target, request);
    },
    hasHeardSince: (target, sinceMs) =>
      (findEntry(target)?.heardAtMs ?? Number.NEGATIVE_INFINITY) > sinceMs,
    listTargets: () => [...entries.values()].map(({ target }) => target),
    checkSilences() {
      const silent: ForwardingTarget[] = [];
      for (const [key, entry] of entries) {
        for (const run of entry.runs) if (isOver(run, entry)) entry.runs.delete(run);
        if (entry.runs.size === 0) entries.delete(key);
        else if ([...entry.runs].some(isSuspect)) {
          entry.silentSweeps += 1;
          if (entry.silentSweeps >= entry.reportedAtSweep) {
            entry.reportedAtSweep *= SILENT_FACTOR;
            silent.push(entry.target);
          }
        }
      }
      return silent;
    },
    cancelWaiting(isBlocked) {
      for (const { runs } of entries.values()) {
        for (const run of runs) {
          const isWaiting = !run.hasHead && run.endedAtMs === undefined && !run.isWithdrawn;
          if (isWaiting && isBlocked(run.request)) {
            run.isWithdrawn = true;
            run.cancel?.();
          }
        }
      }
    },
  };
}
