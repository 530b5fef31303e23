/**
 * Spreads the continuations of many streams that were lost at once.
 *
 * Load pattern: a zone is lost, 63,000 streams at the size to design for, each one a prefill of prompt
 * and output on the survivors. Sent at once they sit before every new prompt and no caller gets a
 * first token for seconds; spread evenly without a bound they break the promise to go on within 3 s.
 * Each target has a line of reserved prefill; a backlog that would take longer than the bound is
 * compressed smoothly into it, so that the first of a large loss start spaced out and none is later
 * than `maxDelayMs`.
 */

/**
 * Prefill that one router sends to one target for continuations, tokens a second. Spaced wider, a third
 * of the targets lost gave longest silences of 3.8 s at 8,000 and 6.8 s at 4,000, of 2.6 s at this, and
 * of 4.0 s without any spacing (docs/design/0003).
 */
const DEFAULT_TOKENS_PER_SECOND = 32_000;
/** Leaves half a second of the 3 s for detection at the eager bound or a cached prefill. */
const DEFAULT_MAX_DELAY_MS = 2_500;

export interface ContinuationPacerOptions {
  readonly tokensPerSecond?: number;
  readonly maxDelayMs?: number;
}

export interface StartReservation {
  /** On the clock of `nowMs`; never later than the bound after it. */
  readonly startAtMs: number;
}

export interface ContinuationPacer {
  /**
   * From here on the caller counts the stream as in flight at the target, or the streams lost beside it
   * choose the same one. `costTokens`: to prefill at the target, so without what is cached there. */
  readonly reserveStart: (nowMs: number, target: string, costTokens: number) => StartReservation;
  readonly removeTarget: (target: string) => void;
}

export function createContinuationPacer(options: ContinuationPacerOptions = {}): ContinuationPacer {
  const tokensPerSecond = options.tokensPerSecond ?? DEFAULT_TOKENS_PER_SECOND;
  const maxDelayMs = options.maxDelayMs ?? DEFAULT_MAX_DELAY_MS;
  const freeAtByTarget = new Map<string, number>();

  function reserveStart(nowMs: number, target: string, costTokens: number): StartReservation {
    const freeAtMs = Math.max(nowMs, freeAtByTarget.get(target) ?? nowMs);
    const backlogMs = freeAtMs - nowMs;
    freeAtByTarget.set(target, freeAtMs + (costTokens / tokensPerSecond) * 1000);
    return { startAtMs: nowMs + computeDelay(backlogMs, maxDelayMs) };
  }

  function removeTarget(target: string): void {
    freeAtByTarget.delete(target);
  }

  return { reserveStart, removeTarget };
}

/** About the backlog itself while it is small, and below the bound however large it is. */
function computeDelay(backlogMs: number, maxDelayMs: number): number {
  return maxDelayMs * (1 - Math.exp(-backlogMs / maxDelayMs));
}
