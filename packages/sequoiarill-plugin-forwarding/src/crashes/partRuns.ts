/** Runs of this router whose prompts list parts: which are in progress, and which parts they have answered. */
import type { Clock, PartQuery, RunStage } from '@sequoiarill/types';

/** One attempt at a target. */
export interface PartRun {
  /** Records that an event of the stream has arrived. */
  readonly recordEvent: () => void;
  /** Records a complete answer. */
  readonly recordAnswer: () => void;
  /** Must be called when the attempt has ended in any way. */
  readonly end: () => void;
}

export interface CrashedRun {
  readonly parts: readonly string[];
  readonly stage: RunStage;
}

export interface PartRuns {
  readonly startRun: (parts: readonly string[]) => PartRun;
  /** Time of the last answer to a request with the part, monotonic milliseconds; undefined for never. */
  readonly getAnsweredAtMs: (part: string) => number | undefined;
  /** Records that the target terminated while it ran the request. */
  readonly recordCrash: (target: string, run: CrashedRun) => void;
  /** Recent runs of this router that ended with their target. */
  readonly listCrashedRuns: (target: string) => readonly CrashedRun[];
  /** Incarnations that ended under runs of this router since then, monotonic milliseconds. */
  readonly listCrashedTargets: (sinceMs: number) => readonly string[];
  /**
   * Waits until such runs with the part that are in progress now have been answered or have ended, or one of them has
   * been answered.
   */
  readonly waitForRuns: (part: string, awaitedRuns: PartQuery['awaitedRuns']) => Promise<void>;
}

export interface PartRunsOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'getRunningMs' | 'waitMs'>;
  readonly onAnswered: (parts: readonly string[]) => void;
}

/** A part that crashes targets does so before the first event or within this time after it. */
export const PART_CRASH_WINDOW_MS = 1_500;
/** Covers the crash window of runs that have just begun. */
const MAX_WAIT_MS = 1_600;
const CHECK_INTERVAL_MS = 50;
const MAX_ANSWERED_PARTS = 20_000;
const MAX_CRASHED_TARGETS = 500;

interface TrackedRun {
  readonly parts: readonly string[];
  /** In running time: what arrived during a pause of this process may have been sent before a crash. */
  firstEventAtMs: number | undefined;
  isDecided: boolean;
}

export function createPartRuns({ clock, onAnswered }: PartRunsOptions): PartRuns {
  const runs = new Set<TrackedRun>();
  const answeredAtMs = new Map<string, number>();
  const crashedByTarget = new Map<string, readonly CrashedRun[]>();
  const crashedAtMs = new Map<string, number>();

  function recordAnswer(run: TrackedRun): void {
    if (run.isDecided) return;
    run.isDecided = true;
    const nowMs = clock.getNowMs();
    for (const part of run.parts) {
      answeredAtMs.delete(part);
      answeredAtMs.set(part, nowMs);
    }
    removeOldest(answeredAtMs, MAX_ANSWERED_PARTS);
    onAnswered(run.parts);
  }

  return {
    startRun(parts) {
      const run: TrackedRun = { parts, firstEventAtMs: undefined, isDecided: false };
      if (parts.length > 0) runs.add(run);
      return {
        recordEvent() {
          if (run.isDecided || parts.length === 0) return;
          const nowMs = clock.getRunningMs();
          run.firstEventAtMs ??= nowMs;
          if (nowMs - run.firstEventAtMs > PART_CRASH_WINDOW_MS) recordAnswer(run);
        },
        recordAnswer: () => recordAnswer(run),
        end() {
          run.isDecided = true;
          runs.delete(run);
        },
      };
    },
    recordCrash(target, run) {
      crashedByTarget.set(target, [...(crashedByTarget.get(target) ?? []), run]);
      removeOldest(crashedByTarget, MAX_CRASHED_TARGETS);
      if (!crashedAtMs.has(target)) crashedAtMs.set(target, clock.getNowMs());
      removeOldest(crashedAtMs, MAX_CRASHED_TARGETS);
    },
    listCrashedRuns: (target) => crashedByTarget.get(target) ?? [],
    listCrashedTargets: (sinceMs) =>
      [...crashedAtMs].flatMap(([target, atMs]) => (atMs >= sinceMs ? target : [])),
    getAnsweredAtMs: (part) => answeredAtMs.get(part),
    async waitForRuns(part, awaitedRuns) {
      if (awaitedRuns === 'none') return;
      const awaited = [...runs]
        .filter((run) => !run.isDecided && run.parts.includes(part))
        .filter(({ firstEventAtMs }) => awaitedRuns === 'all' || firstEventAtMs !== undefined);
      const startMs = clock.getNowMs();
      const hasAnswer = () => (answeredAtMs.get(part) ?? -1) >= startMs;
      const isPending = () => awaited.some(({ isDecided }) => !isDecided) && !hasAnswer();
      while (isPending() && clock.getNowMs() - startMs < MAX_WAIT_MS) {
        await clock.waitMs(CHECK_INTERVAL_MS);
      }
    },
  };
}

function removeOldest(map: Map<string, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
