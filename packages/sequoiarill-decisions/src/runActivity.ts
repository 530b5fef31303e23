/**
 * Tracks which targets produce events for the streams of this router.
 *
 * Load pattern: all targets of a service stop producing events for a second and still answer probes. A probe alone would
 * show the next target as a better place for each silent stream, and all streams would move at once, to targets that
 * stand still as well. Streams at other targets show that.
 */
import type { TargetLocation } from './suspectTracker';

export interface ActiveRun {
  readonly recordEvents: (nowMs: number) => void;
  readonly recordEnd: () => void;
}

/** All times are running time, milliseconds: a pause of this process is no silence of a target. */
export interface RunActivity {
  readonly startRun: (target: TargetLocation) => ActiveRun;
  /** Ids of targets that have produced events for streams in progress, and none for this long. */
  readonly listStill: (service: string, ms: number, nowMs: number) => ReadonlySet<string>;
  /** Whether there are streams at several other targets than this one, and all stand still for this long. */
  readonly isStandstill: (target: TargetLocation, ms: number, nowMs: number) => boolean;
}

/** One other target may be the one that was lost. */
const MIN_OTHER_TARGETS = 2;

interface Run {
  readonly target: string;
  lastAtMs: number;
}

export function createRunActivity(): RunActivity {
  const runsByService = new Map<string, Set<Run>>();

  function getRuns(service: string): Set<Run> {
    const existing = runsByService.get(service);
    if (existing !== undefined) return existing;
    const runs = new Set<Run>();
    runsByService.set(service, runs);
    return runs;
  }

  /** Time of the last event of each target. */
  function listLastEvents(service: string): ReadonlyMap<string, number> {
    const lastByTarget = new Map<string, number>();
    for (const { target, lastAtMs } of getRuns(service)) {
      lastByTarget.set(target, Math.max(lastAtMs, lastByTarget.get(target) ?? 0));
    }
    return lastByTarget;
  }

  function listStill(service: string, ms: number, nowMs: number): ReadonlySet<string> {
    const entries = [...listLastEvents(service)];
    return new Set(
      entries.filter(([, lastAtMs]) => nowMs - lastAtMs >= ms).map(([target]) => target),
    );
  }

  return {
    startRun({ id, service }) {
      const runs = getRuns(service);
      const run: Run = { target: id, lastAtMs: 0 };
      return {
        recordEvents(nowMs) {
          run.lastAtMs = nowMs;
          runs.add(run);
        },
        recordEnd: () => runs.delete(run),
      };
    },
    listStill,
    isStandstill({ id, service }, ms, nowMs) {
      const others = [...listLastEvents(service).keys()].filter((target) => target !== id);
      const still = listStill(service, ms, nowMs);
      return others.length >= MIN_OTHER_TARGETS && others.every((target) => still.has(target));
    },
  };
}
