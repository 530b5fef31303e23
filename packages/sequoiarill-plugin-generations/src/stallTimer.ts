/**
 * Tells when an engine has kept a stream waiting too long.
 *
 * The limit counts only while the relay waits for the engine: a caller who reads slowly holds the
 * relay up, and its engine must not be blamed for it. It counts in running time, since a router that was
 * paused would blame every engine at once for its own silence. One timer a stream is re-armed lazily:
 * clearing and setting one for each token would cost more than relaying it.
 */
import * as Kernel from '@sequoiarill/kernel';

/** Time can stand still after a pause; a timer is not set anew for less than this, milliseconds. */
const MIN_TIMER_MS = 10;

export interface StallTimer {
  /** The relay starts to wait for the engine, for at most so long. */
  readonly start: (limitMs: number) => void;
  /** The engine answered. */
  readonly stop: () => void;
  readonly close: () => void;
}

export function createStallTimer(getRunningMs: () => number, onStall: () => void): StallTimer {
  let waitingUntilMs: number | undefined;
  let timer: NodeJS.Timeout | undefined;
  let armedUntilMs = 0;

  function setTimer(untilMs: number): void {
    armedUntilMs = untilMs;
    timer = setTimeout(handleTimer, Math.max(MIN_TIMER_MS, untilMs - getRunningMs()));
  }

  function handleTimer(): void {
    timer = undefined;
    if (waitingUntilMs === undefined) return;
    if (getRunningMs() < waitingUntilMs) setTimer(waitingUntilMs);
    else Kernel.runAfterPendingReads(handleDue);
  }

  /** Unless the engine's bytes were read meanwhile. */
  function handleDue(): void {
    if (waitingUntilMs === undefined) return;
    if (getRunningMs() >= waitingUntilMs) onStall();
    else if (timer === undefined) setTimer(waitingUntilMs);
  }

  return {
    start(limitMs) {
      waitingUntilMs = getRunningMs() + limitMs;
      if (timer === undefined) setTimer(waitingUntilMs);
      else if (waitingUntilMs < armedUntilMs) {
        clearTimeout(timer);
        setTimer(waitingUntilMs);
      }
    },
    stop() {
      waitingUntilMs = undefined;
    },
    close() {
      waitingUntilMs = undefined;
      clearTimeout(timer);
      timer = undefined;
    },
  };
}
