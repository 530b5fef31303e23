/** What is remembered of one target for outlier detection, smoothed. */

/** Weight of the newest sample: a change shows after some ten of them. */
const WEIGHT = 0.1;
/** Failures and successes are counted with this half-life, milliseconds. */
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
  /** 0 while it was never ejected. */
  ejectedUntilMs: number;
  ejectionCause: EjectionCause | undefined;
  /** Ejections in a row; doubles the time of the next one. */
  ejections: number;
  /** Beginning of its warm-up; 0 for one that was there from the start. */
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

/** The mean of few samples at first, then exponentially weighted. */
export function computeSmoothed(known: number, samples: number, sample: number): number {
  const weight = Math.max(WEIGHT, 1 / (samples + 1));
  return known + (sample - known) * weight;
}

export function computeDecay(sinceMs: number, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - sinceMs) / COUNT_HALF_LIFE_MS);
}
