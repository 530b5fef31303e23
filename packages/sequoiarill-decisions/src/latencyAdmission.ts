/**
 * Whether a request of a plain service is sent now or refused at once, from how late answers come.
 *
 * Load pattern: a service of a few slots a little below or above its capacity, after others of its
 * targets were taken away. Its queue stands full, all answers wait for the whole queue, and nearly all
 * come after their objective; the excess is refused by the full queue in the end anyway. Refused before
 * it is queued, the same excess leaves the others on time. No router sees the queue, so each refuses
 * a share of its own requests, and moves this share with the latency that it measures: up while
 * answers come later than the wanted part of the objective, and down below. Each router does the same from
 * samples of the same queue, so the shares settle near each other without a message.
 *
 * A slow target makes answers late as well, and refusing does not make it faster. So nothing is refused
 * unless the requests in progress, all routers together, are clearly more than the slots.
 */

export interface LatencyAdmissionOptions {
  /** Uniform in [0, 1). */
  readonly nextRandom: () => number;
}

export interface LatencyAdmissionQuery {
  /** Slots of the targets that can be used now. */
  readonly slots: number;
  /** Routers that send to them, this one too. */
  readonly routers: number;
  /** Its caller has waited before, so that its answer will be late in any case. */
  readonly isClientRetry: boolean;
}

export type LatencyAdmissionDecision =
  { readonly kind: 'admit' } | { readonly kind: 'refuse'; readonly retryAfterSeconds: number };

export interface LatencyAdmission {
  readonly recordStart: () => void;
  /** A send that was recorded has ended; `latencyMs` only for one that the target answered. */
  readonly recordEnd: (
    nowMs: number,
    answer?: { readonly latencyMs: number; readonly objectiveMs: number },
  ) => void;
  readonly decide: (question: LatencyAdmissionQuery) => LatencyAdmissionDecision;
}

/** Wanted latency as a part of the objective: leaves room for the spread of the work itself. */
const WANTED_PART = 0.55;
/** Weight of a new latency: the last five or so count. */
const LATENCY_GAIN = 0.2;
/** Change of the share for each second and each objective of lateness. */
const SHARE_GAIN_PER_SECOND = 0.4;
/** Refused at once for each objective of lateness, beside the share that moves slowly. */
const PROPORTIONAL_GAIN = 1;
/**
 * A caller that comes back can only be served late; in its place one that is new is served on time. So
 * it is let in when the crowd has gone.
 */
const RETURNING_FACTOR = 8;
/** Never everything: without answers nothing is learned. */
const MAX_SHARE = 0.85;
/** A longer silence counts as this, milliseconds. */
const MAX_STEP_MS = 400;
/** Weight of one look at the requests in progress, at each arrival: the last ten count. */
const IN_PROGRESS_GAIN = 0.1;
/**
 * In progress for each slot: below it hardly anything waits for long, and a target that is slow but not
 * full must not have its requests refused.
 */
const BUSY_PER_SLOT = 1.6;
/** Crowds last for seconds, and callers wait for a third of their time; spread, so that none forms anew. */
const RETRY_SECONDS = { least: 0.6, most: 1.4 } as const;

export function createLatencyAdmission({ nextRandom }: LatencyAdmissionOptions): LatencyAdmission {
  let share = 0;
  let lateness: number | undefined;
  let inProgress = 0;
  let meanInProgress = 0;
  let movedAtMs: number | undefined;

  /** Objectives by which answers come later than wanted. */
  function computeError(): number {
    return (lateness ?? 0) - WANTED_PART;
  }

  function computeChance(isReturning: boolean): number {
    const chance = share + Math.max(0, computeError()) * PROPORTIONAL_GAIN;
    return Math.min(MAX_SHARE, isReturning ? chance * RETURNING_FACTOR : chance);
  }

  function updateShare(nowMs: number): void {
    const seconds = Math.min(MAX_STEP_MS, Math.max(0, nowMs - (movedAtMs ?? nowMs))) / 1_000;
    movedAtMs = nowMs;
    const error = computeError();
    share = Math.min(MAX_SHARE, Math.max(0, share + error * SHARE_GAIN_PER_SECOND * seconds));
  }

  return {
    recordStart() {
      inProgress += 1;
    },
    recordEnd(nowMs, answer) {
      inProgress -= 1;
      if (answer === undefined) return;
      const late = answer.latencyMs / answer.objectiveMs;
      lateness = lateness === undefined ? late : lateness + (late - lateness) * LATENCY_GAIN;
      updateShare(nowMs);
    },
    decide({ slots, routers, isClientRetry: isReturning }) {
      meanInProgress += (inProgress - meanInProgress) * IN_PROGRESS_GAIN;
      if (meanInProgress * routers <= slots * BUSY_PER_SLOT) return { kind: 'admit' };
      if (nextRandom() >= computeChance(isReturning)) return { kind: 'admit' };
      const { least, most } = RETRY_SECONDS;
      return { kind: 'refuse', retryAfterSeconds: least + nextRandom() * (most - least) };
    },
  };
}
