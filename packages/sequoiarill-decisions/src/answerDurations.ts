/**
 * How long answers of a kind take, from those that ended lately.
 *
 * Load pattern: routers are stopped in turn while streams of six to nine seconds come in, and a stop
 * gives eight. A router that takes streams until the balancer has noticed cuts them at its end: 18
 * streams of one played day. Refused at once they cost their
 * callers some milliseconds, since the next connection reaches another router. So a request is taken
 * in a stop only if an answer of its kind ends in the time left, nearly always.
 */

export interface AnswerDurations {
  /** One answer that was whole, milliseconds from its request to its end. */
  readonly recordAnswer: (kind: string, ms: number) => void;
  /** Milliseconds that nearly all answers of the kind end within; the limit until some have been seen. */
  readonly getUpperBoundMs: (kind: string, limitMs: number) => number;
}

interface Estimate {
  count: number;
  meanMs: number;
  deviationMs: number;
}

/** Gains and headroom as for retransmission timers: some ten answers make an estimate. */
const MEAN_GAIN = 0.125;
const DEVIATION_GAIN = 0.25;
/** Mean deviations above the mean: nine in ten answers of a bell-shaped kind end within. */
const HEADROOM_DEVIATIONS = 1.6;
/** Fewer prove nothing: a router that has just started saw one short stream, and took all in its stop. */
const MIN_ANSWERS = 5;
/** Kinds come from the configuration; those that it dropped are forgotten oldest first. */
const MAX_KINDS = 2_000;

export function createAnswerDurations(): AnswerDurations {
  const estimates = new Map<string, Estimate>();

  return {
    recordAnswer(kind, ms) {
      const known = estimates.get(kind);
      if (known === undefined) {
        estimates.set(kind, { count: 1, meanMs: ms, deviationMs: ms / 4 });
        const oldest = estimates.keys().next();
        if (estimates.size > MAX_KINDS && oldest.done !== true) estimates.delete(oldest.value);
        return;
      }
      const error = ms - known.meanMs;
      known.count += 1;
      known.meanMs += error * MEAN_GAIN;
      known.deviationMs += (Math.abs(error) - known.deviationMs) * DEVIATION_GAIN;
    },
    getUpperBoundMs(kind, limitMs) {
      const known = estimates.get(kind);
      if (known === undefined || known.count < MIN_ANSWERS) return limitMs;
      return Math.min(limitMs, known.meanMs + known.deviationMs * HEADROOM_DEVIATIONS);
    },
  };
}
