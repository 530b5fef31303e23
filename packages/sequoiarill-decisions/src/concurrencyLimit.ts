/**
 * How many generations a router keeps running at once, found from the time to the first token.
 *
 * Load pattern: saturation, and a fleet that loses or regains targets. A fixed limit is too high
 * after a loss, so engines queue and every first token is late, or too low afterwards, so engines
 * idle. The limit falls when first tokens are late, in proportion to how late, and rises while it is
 * in use, ever slower towards the target, so that it settles instead of swinging. It never moves
 * without fresh samples: after a cut the running generations end first, and their silence is no
 * reason for a second cut.
 */

export interface ConcurrencyLimitOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
  /** Wanted 90th percentile of an engine's first token, in milliseconds. */
  readonly targetMs: number;
}

export interface ConcurrencyLimit {
  /** One first token of a generation that was let in; `inFlight` as it was let in. */
  readonly recordFirstToken: (ms: number, inFlight: number, nowMs: number) => void;
  readonly getLimit: () => number;
}

/** A window is judged after this time, milliseconds, and only with enough samples. */
const WINDOW_MS = 1_000;
const MIN_SAMPLES = 10;
const JUDGED_SHARE = 0.9;
/** Largest change in one window, as factors. */
const MAX_CUT = 0.85;
const MAX_RISE = 0.08;
/** The limit only rises while this share of it is in use: unused room proves nothing. */
const IN_USE_SHARE = 0.85;

export function createConcurrencyLimit(options: ConcurrencyLimitOptions): ConcurrencyLimit {
  let limit = options.initial;
  let windowStartMs: number | undefined;
  let samples: number[] = [];
  let highestInFlight = 0;

  function recordFirstToken(ms: number, inFlight: number, nowMs: number): void {
    windowStartMs ??= nowMs;
    samples.push(ms);
    highestInFlight = Math.max(highestInFlight, inFlight);
    if (nowMs - windowStartMs < WINDOW_MS || samples.length < MIN_SAMPLES) return;
    const judged = pickRank(samples, JUDGED_SHARE);
    limit = computeNextLimit(options, limit, judged, highestInFlight);
    windowStartMs = nowMs;
    samples = [];
    highestInFlight = 0;
  }

  return { recordFirstToken, getLimit: () => Math.floor(limit) };
}

function pickRank(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function computeNextLimit(
  options: ConcurrencyLimitOptions,
  limit: number,
  judgedMs: number,
  highestInFlight: number,
): number {
  if (judgedMs > options.targetMs) {
    const factor = Math.max(MAX_CUT, Math.sqrt(options.targetMs / judgedMs));
    return Math.max(options.min, Math.min(limit, highestInFlight) * factor);
  }
  if (highestInFlight < limit * IN_USE_SHARE) return limit;
  const room = 1 - judgedMs / options.targetMs;
  return Math.min(options.max, limit + Math.max(1, limit * MAX_RISE) * room);
}
