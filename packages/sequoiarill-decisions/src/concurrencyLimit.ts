/**
 * Adaptive limit of the generations that a router runs at once, based on the time to first token.
 *
 * When a saturated fleet loses or regains targets, a fixed limit is too high after the loss, so
 * engines queue and every first token is late, or too low afterwards, so engines idle. The limit
 * decreases when first tokens are late, in proportion to the lateness, and increases while it is in
 * use, more slowly the closer the wait is to its target, so that it converges instead of
 * oscillating. It never changes without fresh samples: after a decrease the running generations end
 * first, and the lack of new first tokens in that time is no reason for another decrease.
 */

export interface ConcurrencyLimitOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
  /** Target for the 80th percentile of the wait for an engine slot, in milliseconds. */
  readonly waitTargetMs: number;
}

export interface ConcurrencyLimit {
  /**
   * Records the wait for the first token of an admitted generation; `inFlight` is the count at its
   * admission.
   */
  readonly recordFirstToken: (ms: number, inFlight: number, nowMs: number) => void;
  /**
   * Sets the slots of the targets that are usable now, weighted by how warm they are. A change
   * scales the limit at once: after the loss of a third of the targets, the continued streams need
   * every remaining slot, and finding the new limit from late first tokens takes half a minute.
   * `busyShare` is the share of these slots that load reports show as occupied, by all routers
   * together. While slots are free, late first tokens have another cause (a slow target, cold
   * caches), and a lower limit would refuse callers to no effect.
   */
  readonly setCapacity: (slots: number, busyShare?: number) => void;
  readonly getLimit: () => number;
}

/**
 * In milliseconds. A wait this long only occurs when engines have no free slot, and it leaves a
 * second for the queue in front of them. docs/design/0003 compares it with other values.
 */
export const DEFAULT_WAIT_TARGET_MS = 30;
/**
 * Newest samples that are evaluated: three seconds of traffic at a router with low load, less at a
 * busy one.
 */
const EVALUATED_SAMPLES = 40;
const EVALUATED_QUANTILE = 0.8;
/**
 * Relative change of the limit in a second, applied in small steps with each sample. If three
 * seconds' worth were applied at once, each decrease would absorb the slots of the next generations
 * that end, and nothing would start for half a second.
 */
const DECREASE_PER_SECOND = 0.01;
const INCREASE_PER_SECOND = 0.01;
/** Smallest increase, in generations a second, so that a small limit still grows. */
const MIN_INCREASE_PER_SECOND = 0.33;
/** Waits above this multiple of the target speed up the decrease, up to MAX_SEVERITY. */
const SEVERE_WAIT_FACTOR = 10;
const MAX_SEVERITY = 3;
/** A longer time between two samples counts as this, milliseconds. */
const MAX_ELAPSED_MS = 1_000;
/**
 * Below this share of busy slots, late first tokens are not caused by the load of the targets.
 * Without this check a bad choice of target, which delays first tokens at any load, would lower the
 * limit to a small part of the capacity.
 */
const MIN_BUSY_SHARE = 0.93;
/**
 * The limit only increases while this share of it is in use: when much of it is unused, first tokens
 * on time do not show that the targets could run more.
 */
const MIN_USED_SHARE = 0.85;

export function createConcurrencyLimit(options: ConcurrencyLimitOptions): ConcurrencyLimit {
  let limit = options.initial;
  let samples: readonly Sample[] = [];
  let lastSampleMs: number | undefined;
  let capacity: number | undefined;
  let isBusy = true;

  function recordFirstToken(ms: number, inFlight: number, nowMs: number): void {
    samples = [...samples.slice(-(EVALUATED_SAMPLES - 1)), { ms, inFlight }];
    const elapsedMs = Math.min(MAX_ELAPSED_MS, Math.max(0, nowMs - (lastSampleMs ?? nowMs)));
    lastSampleMs = nowMs;
    if (samples.length < EVALUATED_SAMPLES) return;
    const quantileMs = computeQuantile(samples, EVALUATED_QUANTILE);
    const peakInFlight = samples.reduce((most, sample) => Math.max(most, sample.inFlight), 0);
    const elapsedSeconds = elapsedMs / 1000;
    if (quantileMs <= options.waitTargetMs) applyIncrease(quantileMs, peakInFlight, elapsedSeconds);
    else if (isBusy) applyDecrease(quantileMs, peakInFlight, elapsedSeconds);
  }

  function applyDecrease(quantileMs: number, peakInFlight: number, elapsedSeconds: number): void {
    const lateness = quantileMs / (options.waitTargetMs * SEVERE_WAIT_FACTOR);
    const severity = Math.min(MAX_SEVERITY, Math.max(1, lateness));
    const used = Math.min(limit, peakInFlight + 1);
    limit = Math.max(options.min, used * (1 - DECREASE_PER_SECOND * severity * elapsedSeconds));
  }

  function applyIncrease(quantileMs: number, peakInFlight: number, elapsedSeconds: number): void {
    if (peakInFlight < limit * MIN_USED_SHARE) return;
    const headroom = 1 - quantileMs / options.waitTargetMs;
    const step = Math.max(MIN_INCREASE_PER_SECOND, limit * INCREASE_PER_SECOND) * elapsedSeconds;
    limit = Math.min(options.max, limit + step * headroom);
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

interface Sample {
  readonly ms: number;
  readonly inFlight: number;
}

function computeQuantile(samples: readonly Sample[], quantile: number): number {
  const sorted = samples.map((sample) => sample.ms).sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
