/**
 * Reads a stream and, while it is silent, tries to read the response over another connection.
 *
 * A silent connection may belong to a router that is paused and goes on later, and it may be the only
 * way to the response: behind a load balancer another connection can lead to another router. So the
 * silent connection is closed only once another one to the response is open.
 */
import type { OpenResult, StreamOpened } from './connection';

export interface WatchedStreamOptions {
  readonly stream: StreamOpened;
  /** Time without data after which another connection is tried, in milliseconds. */
  readonly idleTimeoutMs: number;
  /** Consecutive failures to open another connection after which the stream counts as broken. */
  readonly maxFailures: number;
  /** Number of the last event that was read; -1 before the first one. */
  readonly getSequenceNumber: () => number;
  /** Opens the rest of the response; undefined while nothing of it is known. */
  readonly openRest: () => Promise<OpenResult> | undefined;
}

export interface WatchedStream {
  /** Ends early if another connection to the response was opened. */
  readonly bytes: AsyncIterable<Uint8Array>;
  /** The other connection; read from the current position. */
  readonly getReplacement: () => StreamOpened | undefined;
}

type Read = IteratorResult<Uint8Array, unknown>;

/**
 * Failure: bytes that are no event, such as comments without end, count as life, and the response is not read on over
 * another connection. So a stream whose beginning is known breaks when it carries no event for as long as a silent one is
 * kept that can't be resumed.
 */
export function createWatchedStream(options: WatchedStreamOptions): WatchedStream {
  const { stream, idleTimeoutMs, maxFailures, getSequenceNumber, openRest } = options;
  let replacement: StreamOpened | undefined;

  /** Opens another connection; returns the next bytes instead if these arrive first. */
  async function openReplacement(pending: Promise<Read>): Promise<Read | 'opened' | 'failed'> {
    const opening = openRest();
    if (opening === undefined) return pending;
    let opened: OpenResult | undefined;
    try {
      const first = await Promise.race([pending, opening]);
      if (!('kind' in first)) return first;
      opened = first;
    } finally {
      // Also where the silent stream has ended or broken meanwhile.
      if (opened === undefined) opening.then(closeOpened).catch(() => undefined);
    }
    if (opened.kind !== 'opened') return 'failed';
    replacement = opened;
    return 'opened';
  }

  /** Returns the next bytes, or undefined once another connection is open. */
  async function readNext(pending: Promise<Read>): Promise<Read | undefined> {
    for (let failures = 0; failures < maxFailures; failures += 1) {
      const read = (await waitForRead(pending, idleTimeoutMs)) ?? (await openReplacement(pending));
      if (read === 'opened') return undefined;
      if (read !== 'failed') return read;
    }
    throw new Error('the stream is silent and cannot be resumed');
  }

  async function* readBytes(): AsyncGenerator<Uint8Array, void, void> {
    const iterator = stream.bytes[Symbol.asyncIterator]();
    let sequenceNumber = getSequenceNumber();
    let eventAtMs = performance.now();
    try {
      for (;;) {
        if (sequenceNumber !== getSequenceNumber()) {
          sequenceNumber = getSequenceNumber();
          eventAtMs = performance.now();
        }
        if (sequenceNumber >= 0 && performance.now() - eventAtMs > idleTimeoutMs * maxFailures) {
          throw new Error('the stream carries no events');
        }
        const pending = iterator.next();
        // Fails when the connection is closed below, which nobody waits for any more.
        pending.catch(() => undefined);
        const read = await readNext(pending);
        if (read === undefined || read.done === true) return;
        yield read.value;
      }
    } finally {
      stream.close();
    }
  }

  return { bytes: readBytes(), getReplacement: () => replacement };
}

/** Returns undefined if nothing arrives in time. */
async function waitForRead(pending: Promise<Read>, ms: number): Promise<Read | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), ms);
  });
  try {
    return await Promise.race([pending, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

function closeOpened(result: OpenResult): void {
  if (result.kind === 'opened') result.close();
}
