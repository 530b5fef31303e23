/**
 * Detects that an engine has stalled a stream.
 *
 * The timeout runs only while the relay waits for the engine, because a caller who reads slowly also
 * delays the relay. It uses running time, because a router that was paused would otherwise attribute
 * its own pause to every engine. Each stream has one timer that is re-armed lazily: clearing and
 * setting a timer for each token would cost more than relaying the token.
 */
import * as Kernel from '@sequoiarill/kernel';

/** Running time may stand still after a pause; the lower bound avoids a busy loop of timers. */
const MIN_TIMER_MS = 10;

export interface StallTimer {
  /** Called when the relay starts to wait for the engine. */
  readonly start: (limitMs: number) => void;
  /** Called when the engine has sent data. */
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
    else Kernel.runAfterPendingReads(checkStall);
  }

  /** Reports a stall unless data that had already arrived was read in the meantime. */
  function checkStall(): void {
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
