/** Closes connections of an HTTP server that have no request in progress, while it drains. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import * as Listeners from './listeners';

export interface IdleConnections {
  /** Called with each connection when it is opened. */
  readonly recordConnection: (socket: Socket) => void;
  /** Called with each request when it arrives. */
  readonly recordRequest: (request: IncomingMessage, response: ServerResponse) => void;
  /** Closes the connections that have had a request and have none in progress. */
  readonly close: () => void;
}

/**
 * Failure: `closeIdleConnections` of Node.js takes a connection for idle once the answer on it was written, although it
 * may not be flushed, and does not read the socket before. An answer is cut, or a request that has arrived is reset.
 */
export function createIdleConnections(): IdleConnections {
  /** Bytes read from each idle connection by the end of its last response. */
  const bytesReadBySocket = new Map<Socket, number>();
  /** Of the latest request on each connection; earlier ones are answered before it. */
  const latestResponses = new WeakMap<Socket, ServerResponse>();

  return {
    recordConnection(socket) {
      socket.once('close', () => bytesReadBySocket.delete(socket));
    },
    recordRequest({ socket }, response) {
      bytesReadBySocket.delete(socket);
      latestResponses.set(socket, response);
      response.once('close', () => {
        const isLatest = latestResponses.get(socket) === response;
        if (isLatest && !socket.destroyed) bytesReadBySocket.set(socket, socket.bytesRead);
      });
    },
    close() {
      for (const [socket, bytesRead] of bytesReadBySocket) {
        // Other bytes are the beginning of the next request.
        if (socket.bytesRead === bytesRead) Listeners.closeIdleConnection(socket);
      }
    },
  };
}
