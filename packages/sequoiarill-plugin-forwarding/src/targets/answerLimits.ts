/** Limits of what a target may send before its bytes must mean something. */
import * as Kernel from '@sequoiarill/kernel';

/**
 * `interim`: interim responses; `head`: bytes before the head, or the head itself; `framing`: extensions of chunks,
 * trailers and other bytes after the head that are no body; `body`: the body of an answer that must be whole; `event`:
 * an event of a stream; `refusal`: the body of an answer that says that the request did not run; `report`: the body of an
 * answer to a call of the router itself.
 */
export type ExcessPhase = 'interim' | 'head' | 'framing' | 'body' | 'event' | 'refusal' | 'report';

export type RecordExcess = (phase: ExcessPhase, bytes: number) => void;

/** The bodies of refusals have a few hundred bytes. */
const MAX_DRAINED_BYTES = 65_536;
/** Time in which the rest of an unwanted body must arrive; a new connection costs less than a longer wait. */
const DRAIN_TIMEOUT_MS = 500;

/** The reason, for log lines and callers, why a call was cut before its body. */
export function formatExcess(phase: ExcessPhase): string {
  return `the target sends without an answer (${phase})`;
}

/** Phase of an answer by its heads. */
export interface HeadPhase {
  /** Returns whether there are too many interim responses. */
  readonly recordInterim: () => boolean;
  readonly recordHead: () => void;
  readonly get: () => ExcessPhase;
}

export function createHeadPhase(): HeadPhase {
  let interimResponses = 0;
  let phase: ExcessPhase = 'head';
  return {
    recordInterim() {
      phase = 'interim';
      interimResponses += 1;
      return interimResponses > Kernel.MAX_INTERIM_RESPONSES;
    },
    recordHead() {
      phase = 'framing';
    },
    get: () => phase,
  };
}

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
