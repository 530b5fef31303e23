/**
 * Spreads the continuations of many streams that were lost at once.
 *
 * The loss of a zone interrupts 63,000 streams at the design size, and each needs a prefill of its
 * prompt and output on the remaining targets. Sent at once, they delay every new prompt, and no
 * caller gets a first token for seconds; spread evenly without a bound, they miss the guarantee to
 * resume within 3 s. So each target has a schedule of reserved prefill time. A backlog that would
 * take longer than the bound is compressed smoothly: the first continuations of a large loss start
 * at regular intervals, and none starts later than `maxDelayMs`.
 */

/**
 * Prefill that one router sends to one target for continuations, tokens a second. When a third of
 * the targets was lost, the longest interruption was 2.6 s at this rate, 3.8 s at 8,000, 6.8 s at
 * 4,000, and 4.0 s without any pacing (docs/design/0003).
 */
const DEFAULT_TOKENS_PER_SECOND = 32_000;
/**
 * Leaves half a second of the 3 s, either for detecting the loss with the short stall timeout
 * (`resumeLatency`) or for a cached prefill.
 */
const DEFAULT_MAX_DELAY_MS = 2_500;

export interface ContinuationPacerOptions {
  readonly tokensPerSecond?: number;
  readonly maxDelayMs?: number;
}

export interface StartReservation {
  /** On the clock of `nowMs`; at most `maxDelayMs` after it. */
  readonly startAtMs: number;
}

export interface ContinuationPacer {
  /**
   * The caller must count the stream as in flight at the target from now on; otherwise the other
   * streams of the same loss choose the same target. `costTokens` are the tokens to prefill at the
   * target, without those that are cached there.
   */
  readonly reserveStart: (nowMs: number, target: string, costTokens: number) => StartReservation;
  readonly removeTarget: (target: string) => void;
}

export function createContinuationPacer(options: ContinuationPacerOptions = {}): ContinuationPacer {
  const tokensPerSecond = options.tokensPerSecond ?? DEFAULT_TOKENS_PER_SECOND;
  const maxDelayMs = options.maxDelayMs ?? DEFAULT_MAX_DELAY_MS;
  const freeAtMsByTarget = new Map<string, number>();

  function reserveStart(nowMs: number, target: string, costTokens: number): StartReservation {
    const freeAtMs = Math.max(nowMs, freeAtMsByTarget.get(target) ?? nowMs);
    const backlogMs = freeAtMs - nowMs;
    freeAtMsByTarget.set(target, freeAtMs + (costTokens / tokensPerSecond) * 1000);
    return { startAtMs: nowMs + computeDelay(backlogMs, maxDelayMs) };
  }

  function removeTarget(target: string): void {
    freeAtMsByTarget.delete(target);
  }

  return { reserveStart, removeTarget };
}

/** Close to the backlog while that is small, and below the bound for any backlog. */
function computeDelay(backlogMs: number, maxDelayMs: number): number {
  return maxDelayMs * (1 - Math.exp(-backlogMs / maxDelayMs));
}
