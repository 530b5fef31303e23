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
  /** Wanted 80th percentile of the wait for a slot of an engine, in milliseconds. */
  readonly targetMs: number;
}

export interface ConcurrencyLimit {
  /** One first token of a generation that was let in; `inFlight` as it was let in. */
  readonly recordFirstToken: (ms: number, inFlight: number, nowMs: number) => void;
  /**
   * Slots of the targets that can be used now, weighted by how warm they are. A change moves the limit
   * in proportion at once: after a third of the targets is lost, the streams that are continued need
   * every slot that is left, and finding the new limit from late first tokens takes half a minute.
   * `busyShare`: part of these slots that is taken by reports, all routers together. While slots are
   * free, late first tokens have another cause (a slow target, cold caches), and a lower limit would
   * refuse callers without helping anybody.
   */
  readonly setCapacity: (slots: number, busyShare?: number) => void;
  readonly getLimit: () => number;
}

/** Leaves the rest of a second for the queue before the engines. Milliseconds. */
export const DEFAULT_TARGET_MS = 30;
/** A window is judged after this time, milliseconds, and only with enough samples. */
const WINDOW_MS = 3_000;
const MIN_SAMPLES = 25;
const JUDGED_SHARE = 0.8;
/** Largest change in one window, as factors. */
const MAX_CUT = 0.97;
const MAX_RISE = 0.03;
/** Below this the targets are not what makes first tokens late. */
const MIN_BUSY_SHARE = 0.93;
/** The limit only rises while this share of it is in use: unused room proves nothing. */
const IN_USE_SHARE = 0.85;

export function createConcurrencyLimit(options: ConcurrencyLimitOptions): ConcurrencyLimit {
  let limit = options.initial;
  let windowStartMs: number | undefined;
  let samples: number[] = [];
  let highestInFlight = 0;
  let capacity: number | undefined;
  let isBusy = true;

  function recordFirstToken(ms: number, inFlight: number, nowMs: number): void {
    windowStartMs ??= nowMs;
    samples.push(ms);
    highestInFlight = Math.max(highestInFlight, inFlight);
    if (nowMs - windowStartMs < WINDOW_MS || samples.length < MIN_SAMPLES) return;
    const judged = pickRank(samples, JUDGED_SHARE);
    if (isBusy || judged <= options.targetMs) {
      limit = computeNextLimit(options, limit, judged, highestInFlight);
    }
    windowStartMs = nowMs;
    samples = [];
    highestInFlight = 0;
  }

  function setCapacity(slots: number, busyShare = 1): void {
    isBusy = busyShare >= MIN_BUSY_SHARE;
    if (slots <= 0 || slots === capacity) return;
    const factor = slots / (capacity ?? slots);
    capacity = slots;
    limit = Math.min(options.max, Math.max(options.min, limit * factor));
  }

  return { recordFirstToken, setCapacity, getLimit: () => Math.floor(limit) };
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
