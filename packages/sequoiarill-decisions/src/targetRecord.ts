/** Smoothed measurements of one target for outlier detection. */

/** Weight of the newest sample: the mean follows a change after about ten samples. */
const SAMPLE_WEIGHT = 0.1;
/** Half-life of the counts of failures and successes. */
const COUNT_HALF_LIFE_MS = 5_000;

export type EjectionCause = 'failures' | 'firstToken' | 'gap';

export interface TargetRecord {
  firstTokenMs: number;
  firstTokenSamples: number;
  gapMs: number;
  gapSamples: number;
  successes: number;
  failures: number;
  consecutiveFailures: number;
  countedAtMs: number;
  /** 0 if the target was never ejected. */
  ejectedUntilMs: number;
  ejectionCause: EjectionCause | undefined;
  /** Consecutive ejections; each doubles the duration of the next one. */
  ejections: number;
  /** Start of the warm-up; undefined for a target that needs none. */
  warmingSinceMs: number | undefined;
}

export function createTargetRecord(nowMs: number): TargetRecord {
  return {
    firstTokenMs: 0,
    firstTokenSamples: 0,
    gapMs: 0,
    gapSamples: 0,
    successes: 0,
    failures: 0,
    consecutiveFailures: 0,
    countedAtMs: nowMs,
    ejectedUntilMs: 0,
    ejectionCause: undefined,
    ejections: 0,
    warmingSinceMs: undefined,
  };
}

/** Computes the arithmetic mean of the first samples, then an exponentially weighted mean. */
export function computeSmoothed(mean: number, samples: number, sample: number): number {
  const weight = Math.max(SAMPLE_WEIGHT, 1 / (samples + 1));
  return mean + (sample - mean) * weight;
}

export function computeDecay(sinceMs: number, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - sinceMs) / COUNT_HALF_LIFE_MS);
}
