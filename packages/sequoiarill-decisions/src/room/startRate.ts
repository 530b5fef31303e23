/** Measures how many streams of this router start per millisecond while others wait. */

export interface StartRate {
  readonly recordStart: (nowMs: number) => void;
  /** Whether streams wait now. */
  readonly setWaiting: (isWaiting: boolean, nowMs: number) => void;
  /** Infinite while there is no reason to expect a wait. */
  readonly getPerMs: (nowMs: number) => number;
}

/** Covers some starts of a router whose engines take one or two streams a second. */
const TIME_CONSTANT_MS = 4_000;
/** Before this time a rate is mostly chance: one start more or less doubles it. */
const MIN_OBSERVED_MS = 1_000;
/** A phase of waiting goes on over shorter times without waiting streams. */
const MAX_PAUSE_MS = 1_000;

/**
 * Only starts within a phase of waiting are counted. Before it, streams start as they arrive, which is less than
 * the engines can take, and the first streams of a burst would be refused for that.
 */
export function createStartRate(): StartRate {
  let starts = 0;
  let observedMs = 0;
  let updatedAtMs = 0;
  let phaseStartedAtMs: number | undefined;
  /** Undefined while streams wait. */
  let waitingEndedAtMs: number | undefined = Number.NEGATIVE_INFINITY;

  function updateRate(nowMs: number): void {
    if (waitingEndedAtMs !== undefined && nowMs - waitingEndedAtMs > MAX_PAUSE_MS) {
      phaseStartedAtMs = undefined;
    }
    const decay = Math.exp(-Math.max(0, nowMs - updatedAtMs) / TIME_CONSTANT_MS);
    updatedAtMs = Math.max(nowMs, updatedAtMs);
    starts *= decay;
    observedMs = observedMs * decay + TIME_CONSTANT_MS * (1 - decay);
  }

  function startPhase(nowMs: number): void {
    phaseStartedAtMs = nowMs;
    starts = 0;
    observedMs = 0;
  }

  return {
    recordStart(nowMs) {
      updateRate(nowMs);
      starts += 1;
    },
    setWaiting(isWaiting, nowMs) {
      updateRate(nowMs);
      if (isWaiting && phaseStartedAtMs === undefined) startPhase(nowMs);
      if (isWaiting) waitingEndedAtMs = undefined;
      else waitingEndedAtMs ??= nowMs;
    },
    getPerMs(nowMs) {
      updateRate(nowMs);
      if (phaseStartedAtMs === undefined) return Number.POSITIVE_INFINITY;
      // That nothing has started yet tells something only after the usual time between starts.
      const minObservedMs = starts === 0 ? TIME_CONSTANT_MS : MIN_OBSERVED_MS;
      if (nowMs - phaseStartedAtMs < minObservedMs) return Number.POSITIVE_INFINITY;
      return starts / observedMs;
    },
  };
}
