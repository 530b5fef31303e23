/** Measures how many streams of this router start per millisecond while others wait. */

export interface StartRate {
  readonly recordStart: (nowMs: number, rank?: number) => void;
  /** Whether streams wait now. */
  readonly setWaiting: (isWaiting: boolean, nowMs: number) => void;
  /** Starts of the given rank and less urgent ones. Infinite while there is no reason to expect a wait. */
  readonly getPerMs: (nowMs: number, rank?: number) => number;
}

/** Covers some starts of a router whose engines take one or two streams a second. */
const TIME_CONSTANT_MS = 4_000;
/** Before this time a rate is mostly chance: one start more or less doubles it. */
const MIN_OBSERVED_MS = 1_000;
/** A start without a rank counts for all ranks. */
const LAST_RANK = 9;
/** A phase of waiting goes on over shorter times without waiting streams. */
const MAX_PAUSE_MS = 1_000;

/**
 * Only starts within a phase of waiting are counted. Before it, streams start as they arrive, which is less than
 * the engines can take, and the first streams of a burst would be refused for that.
 */
export function createStartRate(): StartRate {
  /** By rank. */
  let starts = new Array<number>(LAST_RANK + 1).fill(0);
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
    starts = starts.map((count) => count * decay);
    observedMs = observedMs * decay + TIME_CONSTANT_MS * (1 - decay);
  }

  function startPhase(nowMs: number): void {
    phaseStartedAtMs = nowMs;
    starts.fill(0);
    observedMs = 0;
  }

  return {
    recordStart(nowMs, rank = LAST_RANK) {
      updateRate(nowMs);
      const index = Math.min(LAST_RANK, Math.max(0, rank));
      starts[index] = (starts[index] ?? 0) + 1;
    },
    setWaiting(isWaiting, nowMs) {
      updateRate(nowMs);
      if (isWaiting && phaseStartedAtMs === undefined) startPhase(nowMs);
      if (isWaiting) waitingEndedAtMs = undefined;
      else waitingEndedAtMs ??= nowMs;
    },
    getPerMs(nowMs, rank = 0) {
      updateRate(nowMs);
      if (phaseStartedAtMs === undefined) return Number.POSITIVE_INFINITY;
      const started = starts.slice(rank).reduce((sum, count) => sum + count, 0);
      // That nothing has started yet tells something only after the usual time between starts.
      const minObservedMs = started === 0 ? TIME_CONSTANT_MS : MIN_OBSERVED_MS;
      if (nowMs - phaseStartedAtMs < minObservedMs) return Number.POSITIVE_INFINITY;
      return started / observedMs;
    },
  };
}
