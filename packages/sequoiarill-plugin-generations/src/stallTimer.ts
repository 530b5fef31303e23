/**
 * Tells when an engine has kept a stream waiting too long.
 *
 * The limit counts only while the relay waits for the engine: a caller who reads slowly holds the
 * relay up, and its engine must not be blamed for it. One timer a stream is re-armed lazily, since
 * clearing and setting one for each token would cost more than relaying it.
 */

/** A timer this late means the router itself was held up, by a pause or by its own load. */
const LATE_MS = 250;

export interface StallTimer {
  /** The relay starts to wait for the engine, for at most so long. */
  readonly start: (limitMs: number) => void;
  /** The engine answered. */
  readonly stop: () => void;
  readonly close: () => void;
}

export function createStallTimer(getNowMs: () => number, onStall: () => void): StallTimer {
  let waitingUntilMs: number | undefined;
  let timer: NodeJS.Timeout | undefined;
  let armedUntilMs = 0;

  function setTimer(untilMs: number): void {
    armedUntilMs = untilMs;
    timer = setTimeout(handleTimer, Math.max(1, untilMs - getNowMs()));
  }

  function handleTimer(): void {
    timer = undefined;
    if (waitingUntilMs === undefined) return;
    const nowMs = getNowMs();
    // A router that was paused and woken would blame every engine at once for its own silence;
    // the bytes are in its sockets. It waits once more, so that they can be read first.
    if (nowMs - armedUntilMs > LATE_MS) {
      waitingUntilMs = nowMs + LATE_MS;
      setTimer(waitingUntilMs);
    } else if (nowMs < waitingUntilMs) setTimer(waitingUntilMs);
    else onStall();
  }

  return {
    start(limitMs) {
      waitingUntilMs = getNowMs() + limitMs;
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
