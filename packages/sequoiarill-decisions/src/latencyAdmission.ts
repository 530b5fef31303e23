/**
 * Admission control for plain services: sends a request or refuses it at once, depending on the measured
 * latency of answers.
 *
 * Load pattern: a service with a few slots runs slightly below or above its capacity after some of its
 * targets were removed. Its queue stays full, every request waits for the whole queue, and nearly all
 * answers miss their latency objective; the full queue rejects the excess in the end anyway. Refusing the
 * same excess before it is queued keeps the other answers on time. No router can see the queue, so each
 * one refuses a share of its own requests and adjusts that share with a proportional-integral controller:
 * up while the latency is above its setpoint, down while it is below. All routers sample the same queue,
 * so their shares converge without coordination.
 *
 * A slow target makes answers late as well, but refusing requests does not make it faster. Nothing is
 * therefore refused unless the requests in progress over all routers clearly exceed the slots.
 */

export interface LatencyAdmissionOptions {
  /** Uniform in [0, 1). */
  readonly nextRandom: () => number;
}

export interface LatencyAdmissionQuery {
  /** Slots of the targets that are available now. */
  readonly slots: number;
  /** Number of routers that send to these targets, including this one. */
  readonly routers: number;
  /** A client retry: the caller has already waited, so its answer will be late in any case. */
  readonly isClientRetry: boolean;
}

export type LatencyAdmissionDecision =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly retryAfterSeconds: number };

export interface LatencyAdmission {
  readonly recordStart: () => void;
  /** Records the end of a request that was started; `answer` is given only if the target answered. */
  readonly recordEnd: (
    nowMs: number,
    answer?: { readonly latencyMs: number; readonly objectiveMs: number },
  ) => void;
  readonly decide: (query: LatencyAdmissionQuery) => LatencyAdmissionDecision;
}

/** Setpoint of the latency as a fraction of the objective: leaves room for variance of the work itself. */
const LATENCY_SETPOINT = 0.55;
/** Weight of a new sample in the moving average: about the last five samples count. */
const LATENCY_WEIGHT = 0.2;
/** Change of the refused share per second, for each objective by which the latency misses its setpoint. */
const INTEGRAL_GAIN_PER_SECOND = 0.4;
/** Share that is refused immediately for each objective above the setpoint, besides the integral share. */
const PROPORTIONAL_GAIN = 1;
/**
 * Factor on the refusal probability of client retries. A retry can only be answered late, while a new
 * request in its place can be answered on time; retries are therefore admitted once the overload is over.
 */
const CLIENT_RETRY_FACTOR = 8;
/** Some requests are always admitted, because without answers there are no latency samples. */
const MAX_REFUSED_SHARE = 0.85;
/** Longest interval between two answers that one integration step counts. */
const MAX_INTEGRATION_STEP_MS = 400;
/** Weight of one sample of the requests in progress, taken at each arrival: about the last ten count. */
const IN_PROGRESS_WEIGHT = 0.1;
/**
 * Requests in progress per slot up to which nothing is refused: hardly any request waits long below it,
 * and requests to a target that is slow but not full must not be refused.
 */
const MAX_IN_PROGRESS_PER_SLOT = 1.6;
/**
 * Range of the `Retry-After` time. Overloads last for seconds, and refused callers wait for about a third of
 * that time; the times are spread at random so that the retries don't form another burst.
 */
const RETRY_AFTER_SECONDS = { least: 0.6, most: 1.4 } as const;

export function createLatencyAdmission({ nextRandom }: LatencyAdmissionOptions): LatencyAdmission {
  let refusedShare = 0;
  let relativeLatency: number | undefined;
  let inProgress = 0;
  let meanInProgress = 0;
  let updatedAtMs: number | undefined;

  /** Distance of the latency from its setpoint, as a fraction of the objective. */
  function computeError(): number {
    return (relativeLatency ?? 0) - LATENCY_SETPOINT;
  }

  function computeRefusalProbability(isClientRetry: boolean): number {
    const probability = refusedShare + Math.max(0, computeError()) * PROPORTIONAL_GAIN;
    return Math.min(
      MAX_REFUSED_SHARE,
      isClientRetry ? probability * CLIENT_RETRY_FACTOR : probability,
    );
  }

  function updateShare(nowMs: number): void {
    const seconds =
      Math.min(MAX_INTEGRATION_STEP_MS, Math.max(0, nowMs - (updatedAtMs ?? nowMs))) / 1_000;
    updatedAtMs = nowMs;
    const error = computeError();
    refusedShare = Math.min(
      MAX_REFUSED_SHARE,
      Math.max(0, refusedShare + error * INTEGRAL_GAIN_PER_SECOND * seconds),
    );
  }

  return {
    recordStart() {
      inProgress += 1;
    },
    recordEnd(nowMs, answer) {
      inProgress -= 1;
      if (answer === undefined) return;
      const sample = answer.latencyMs / answer.objectiveMs;
      relativeLatency =
        relativeLatency === undefined
          ? sample
          : relativeLatency + (sample - relativeLatency) * LATENCY_WEIGHT;
      updateShare(nowMs);
    },
    decide({ slots, routers, isClientRetry }) {
      meanInProgress += (inProgress - meanInProgress) * IN_PROGRESS_WEIGHT;
      if (meanInProgress * routers <= slots * MAX_IN_PROGRESS_PER_SLOT) return { kind: 'admit' };
      if (nextRandom() >= computeRefusalProbability(isClientRetry)) return { kind: 'admit' };
      const { least, most } = RETRY_AFTER_SECONDS;
      return { kind: 'refuse', retryAfterSeconds: least + nextRandom() * (most - least) };
    },
  };
}
