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
  readonly take: () => CallEvent | undefined;
  readonly isEmpty: () => boolean;
  /** Bytes of data events that are not taken. */
  readonly countBytes: () => number;
  /** Removes all events and ends the wait of the reader. */
  readonly clear: () => void;
  /** Resolves when an event is added, or after the timeout. */
  readonly waitForEvent: (timeoutMs: number) => Promise<void>;
}

export function createEventQueue(): EventQueue {
  const events: CallEvent[] = [];
  let bytes = 0;
  let notifyReader: (() => void) | undefined;

  return {
    add(event) {
      events.push(event);
      if (event.kind === 'data') bytes += event.chunk.length;
      notifyReader?.();
    },
    take() {
      const event = events.shift();
      if (event?.kind === 'data') bytes -= event.chunk.length;
      return event;
    },
    isEmpty: () => events.length === 0,
    countBytes: () => bytes,
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
