/** Events of a call, buffered until its task reads them. */
import * as Kernel from '@sequoiarill/kernel';

import type { AnswerHead } from '../forwardRequest';

export type CallEvent =
  | { readonly kind: 'head'; readonly head: AnswerHead }
  | { readonly kind: 'data'; readonly chunk: Buffer }
  | { readonly kind: 'end' }
  | { readonly kind: 'broken'; readonly reason: string }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'cancelled' };

export interface EventQueue {
  readonly add: (event: CallEvent) => void;
  /** Undefined where none is buffered, or where too much was taken late, one read after another. */
  readonly take: (isLate: boolean) => CallEvent | undefined;
  readonly isEmpty: () => boolean;
  /** Bytes of data events that are not taken. */
  readonly countBytes: () => number;
  /** Whether chunks of a few bytes take more memory than they hold. */
  readonly isCrowded: () => boolean;
  /** Removes all events and ends the wait of the reader. */
  readonly clear: () => void;
  /** Resolves when an event is added, or after the timeout. */
  readonly waitForEvent: (timeoutMs: number) => Promise<void>;
}

/**
 * Failure: a target sends without end, an event is buffered at each read, and no deadline ever ends the call. But an
 * answer that arrived in time and is read late, as after a pause of this process, is taken. When the deadline
 * has passed, a whole answer may wait here and in the buffers of the connection, so this much is still read.
 */
const MAX_LATE_BYTES = 1_048_576;
/**
 * Failure: a target sends 100 KB/s, some bytes are at hand at each read, and the call ends ten seconds after its deadline.
 * Each wait brings up to 64 KB of what waits in the buffers of the connection, so this is more than the bytes above.
 */
const MAX_LATE_WAITS = 64;

/**
 * Failure: a target sends a body in chunks of one byte, each of which is an object of some hundred bytes, and the limit on
 * buffered bytes holds 40 MB for one call.
 */
const MAX_EVENTS = 4_096;

export function createEventQueue(): EventQueue {
  const events: CallEvent[] = [];
  let bytes = 0;
  let lateBytes = 0;
  /** Waits without time left, one read after another. */
  let lateWaits = 0;
  let notifyReader: (() => void) | undefined;

  return {
    add(event) {
      events.push(event);
      if (event.kind === 'data') bytes += event.chunk.length;
      notifyReader?.();
    },
    take(isLate) {
      if (!isLate) {
        lateBytes = 0;
        lateWaits = 0;
      }
      if (lateBytes > MAX_LATE_BYTES || lateWaits > MAX_LATE_WAITS) return undefined;
      const event = events.shift();
      if (event?.kind === 'data') {
        bytes -= event.chunk.length;
        lateBytes += isLate ? event.chunk.length : 0;
      }
      return event;
    },
    isEmpty: () => events.length === 0,
    countBytes: () => bytes,
    isCrowded: () => events.length > MAX_EVENTS,
    clear() {
      events.length = 0;
      bytes = 0;
      notifyReader?.();
    },
    /**
     * Failure: after a process pause, timers fire before the sockets are read, and every target looks
     * silent. So a timeout takes effect only after pending reads.
     */
    async waitForEvent(timeoutMs) {
      if (timeoutMs <= 0) lateWaits += 1;
      await new Promise<void>((resolve) => {
        const timer = setTimeout(
          () => Kernel.runAfterPendingReads(resolve),
          Math.max(0, timeoutMs),
        );
        notifyReader = () => {
          clearTimeout(timer);
          resolve();
        };
      });
      notifyReader = undefined;
    },
  };
}
