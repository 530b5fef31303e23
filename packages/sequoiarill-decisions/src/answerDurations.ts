/**
 * Estimates how long answers of a kind take, from recent ones.
 *
 * Used while a router drains: it has eight seconds to stop, while streams of six to nine seconds
 * keep arriving until the load balancer notices. A router that accepts them cuts them off when it
 * exits (18 streams in one simulated day). Refusing them costs the callers only some milliseconds,
 * since their next connection reaches another router. So a draining router accepts a request only
 * if answers of its kind nearly always end in the time that is left.
 */

export interface AnswerDurations {
  /** Records a complete answer; `ms` is the time from its request to its end. */
  readonly recordAnswer: (kind: string, ms: number) => void;
  /** Time within which nearly all answers of the kind end; `limitMs` with too few samples. */
  readonly getUpperBoundMs: (kind: string, limitMs: number) => number;
}

interface Estimate {
  count: number;
  meanMs: number;
  deviationMs: number;
}

/** Smoothing gains as for TCP retransmission timers; about ten answers make an estimate. */
const MEAN_GAIN = 0.125;
const DEVIATION_GAIN = 0.25;
/** Mean deviations above the mean; covers nine in ten answers of a normal distribution. */
const HEADROOM_DEVIATIONS = 1.6;
/**
 * Fewer samples are no basis for an estimate: a router that had just started had seen one short
 * stream and therefore accepted every stream while it drained.
 */
const MIN_ANSWERS = 5;
/** Bounds the memory for kinds no longer configured; the kind recorded first is evicted first. */
const MAX_KINDS = 2_000;

export function createAnswerDurations(): AnswerDurations {
  const estimates = new Map<string, Estimate>();

  return {
    recordAnswer(kind, ms) {
      const estimate = estimates.get(kind);
      if (estimate === undefined) {
        estimates.set(kind, { count: 1, meanMs: ms, deviationMs: ms / 4 });
        const oldest = estimates.keys().next();
        if (estimates.size > MAX_KINDS && oldest.done !== true) estimates.delete(oldest.value);
        return;
      }
      const error = ms - estimate.meanMs;
      estimate.count += 1;
      estimate.meanMs += error * MEAN_GAIN;
      estimate.deviationMs += (Math.abs(error) - estimate.deviationMs) * DEVIATION_GAIN;
    },
    getUpperBoundMs(kind, limitMs) {
      const estimate = estimates.get(kind);
      if (estimate === undefined || estimate.count < MIN_ANSWERS) return limitMs;
      return Math.min(limitMs, estimate.meanMs + estimate.deviationMs * HEADROOM_DEVIATIONS);
    },
  };
}
