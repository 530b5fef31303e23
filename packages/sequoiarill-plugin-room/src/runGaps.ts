/** Collects the gaps between the events of each run and computes their first quartile at its end. */

export interface RunGaps {
  readonly recordGap: (run: string, ms: number) => void;
  /** Undefined where the run had too few gaps. */
  readonly takeQuartile: (run: string) => number | undefined;
}

/** The last ones of a run are kept; a run has 130 or 140 events. */
const MAX_GAPS = 64;
const MIN_GAPS = 16;
/** Runs whose end is never recorded are evicted, the oldest first. */
const MAX_RUNS = 2_000;

interface Gaps {
  readonly values: number[];
  count: number;
}

export function createRunGaps(): RunGaps {
  const runs = new Map<string, Gaps>();

  function getGaps(run: string): Gaps {
    const known = runs.get(run);
    if (known !== undefined) return known;
    const gaps = { values: [], count: 0 };
    runs.set(run, gaps);
    const oldest = runs.size > MAX_RUNS ? runs.keys().next().value : undefined;
    if (oldest !== undefined) runs.delete(oldest);
    return gaps;
  }

  return {
    recordGap(run, ms) {
      if (!Number.isFinite(ms) || ms < 0) return;
      const gaps = getGaps(run);
      gaps.values[gaps.count % MAX_GAPS] = ms;
      gaps.count += 1;
    },
    takeQuartile(run) {
      const values = runs.get(run)?.values ?? [];
      runs.delete(run);
      if (values.length < MIN_GAPS) return undefined;
      return values.sort((left, right) => left - right)[Math.floor(values.length / 4)];
    },
  };
}
