/** Refusals of the stand-in for targets that come a second time, late. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import * as RawHttp from './rawHttp';

export interface LateRefusals {
  /** Sends what is late on the connection of the request; returns whether the request is to be refused. */
  readonly sendLate: (request: IncomingMessage, requestId: string) => boolean;
  /** Drops the refusals that are still to be sent a second time. */
  readonly clear: () => void;
}

export function createLateRefusals(): LateRefusals {
  const refusedIds = new Set<string>();
  let lateTexts = new WeakMap<Socket, string>();

  return {
    sendLate({ socket }, requestId) {
      socket.write(lateTexts.get(socket) ?? '');
      lateTexts.delete(socket);
      if (refusedIds.has(requestId)) return false;
      refusedIds.add(requestId);
      const headers = { 'not-executed': '1', 'request-id': requestId, 'content-length': 0 };
      lateTexts.set(socket, RawHttp.formatHead('503 Service Unavailable', headers));
      return true;
    },
    clear() {
      lateTexts = new WeakMap();
    },
  };
}
