/**
 * Ends connections whose response is paused.
 *
 * Failure: a response announces in its head that its connection will be closed, its reader is slow, and the connection
 * ends while reading is paused. undici asserts that it is not, in an event of the socket, and the assertion ends the
 * process. So a response is resumed before undici learns of an end.
 */
import type { Socket } from 'node:net';

import type * as Undici from 'undici';

export interface PauseGuard {
  /** To be called with each socket before undici has it. */
  readonly watchSocket: (socket: Socket) => void;
  readonly addGuard: (
    handler: Undici.Dispatcher.DispatchHandler,
  ) => Undici.Dispatcher.DispatchHandler;
  /** Calls `close`, which may destroy the socket without an error, as soon as undici takes that. */
  readonly runUnpaused: (close: () => void) => void;
}

/** Guards the requests of one connection, which carries one at a time. */
export function createPauseGuard(): PauseGuard {
  let response: Undici.Dispatcher.DispatchController | undefined;
  let hasEnded = false;

  function resume(): void {
    if (response?.paused === true) response.resume();
  }

  return {
    watchSocket(socket) {
      hasEnded = false;
      socket.on('end', () => {
        hasEnded = true;
        resume();
      });
      // After an error it is too late to resume, and undici takes a reset for an end by this code.
      socket.on('error', (error) => {
        if (response?.paused === true) Object.assign(error, { code: undefined });
      });
    },
    addGuard: (handler) => ({
      onRequestStart(controller, context) {
        response = controller;
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (...upgrade) => handler.onRequestUpgrade?.(...upgrade),
      onResponseStart: (...start) => handler.onResponseStart?.(...start),
      onResponseData(controller, chunk) {
        handler.onResponseData?.(controller, chunk);
        if (hasEnded) resume();
      },
      onResponseEnd(...end) {
        response = undefined;
        handler.onResponseEnd?.(...end);
      },
      onResponseError(...failure) {
        response = undefined;
        handler.onResponseError?.(...failure);
      },
    }),
    runUnpaused(close) {
      if (response?.paused !== true) {
        close();
        return;
      }
      // The parser may be at work on this response or another one, and no response can be resumed within it.
      queueMicrotask(() => {
        hasEnded = true;
        resume();
        close();
      });
    },
  };
}
