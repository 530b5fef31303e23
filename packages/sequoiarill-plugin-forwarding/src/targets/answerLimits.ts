/** Limits of what a target may send before its bytes must mean something. */

/**
 * `refusal`: the body of an answer that says that the request did not run.
 */
export type ExcessPhase = 'refusal';

export type RecordExcess = (phase: ExcessPhase, bytes: number) => void;

/** The bodies of refusals have a few hundred bytes. */
const MAX_DRAINED_BYTES = 65_536;
/** Time in which the rest of an unwanted body must arrive; a new connection costs less than a longer wait. */
const DRAIN_TIMEOUT_MS = 500;

/** The rest of a body that nobody reads, after which the connection can be used again. */
export interface Drain {
  /** Closes the connection when the body has not ended in time. */
  readonly start: (bufferedBytes: number) => void;
  /** Closes the connection when the body is too long. */
  readonly addBytes: (bytes: number) => void;
  readonly stop: () => void;
}

export function createDrain(close: () => void, recordExcess: RecordExcess | undefined): Drain {
  let drainedBytes = 0;
  let timer: NodeJS.Timeout | undefined;

  function stop(): void {
    clearTimeout(timer);
    timer = undefined;
  }

  return {
    start(bufferedBytes) {
      drainedBytes = bufferedBytes;
      timer = setTimeout(close, DRAIN_TIMEOUT_MS);
    },
    addBytes(bytes) {
      drainedBytes += bytes;
      // Without a timer, the connection is being closed.
      if (drainedBytes <= MAX_DRAINED_BYTES || timer === undefined) return;
      stop();
      recordExcess?.('refusal', drainedBytes);
      close();
    },
    stop,
  };
}
