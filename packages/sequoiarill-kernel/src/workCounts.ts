/** Counts what the process does, by metric, so that a log line can tell what a busy event loop was busy with. */
import type { Metrics } from '@sequoiarill/types';

export interface WorkCounts {
  /** Passes metrics on and counts them. */
  readonly metrics: Metrics;
  /** The largest counts since the last call, by name. */
  readonly takeWork: () => Readonly<Record<string, number>>;
}

/** Bounds a log line. */
const MAX_NAMES = 12;

export function createWorkCounts(metrics: Metrics): WorkCounts {
  let counts = new Map<string, number>();

  function count(name: string, value: number): void {
    counts.set(name, (counts.get(name) ?? 0) + value);
  }

  return {
    metrics: {
      addCount(name, value = 1, extraTags = undefined) {
        count(name, value);
        metrics.addCount(name, value, extraTags);
      },
      setGauge: metrics.setGauge,
      recordTiming(name, valueMs, extraTags) {
        count(name, 1);
        metrics.recordTiming(name, valueMs, extraTags);
      },
    },
    takeWork() {
      const largest = [...counts].sort(([, left], [, right]) => right - left).slice(0, MAX_NAMES);
      counts = new Map();
      return Object.fromEntries(largest);
    },
  };
}
