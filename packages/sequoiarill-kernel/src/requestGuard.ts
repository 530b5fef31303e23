/**
 * Refuses requests that Node.js reports as timed out or malformed, and ensures that none of them is
 * processed. Bounds what one connection sends ahead of its answers and after them.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import * as SplitReads from './splitReads';
import * as UnreadRequests from './unreadRequests';

export interface RequestGuard {
  /** Returns false if the connection was refused before; the request must not be processed then. */
  readonly admitRequest: (request: IncomingMessage, response: ServerResponse) => boolean;
  /** Listener for the `clientError` event of the server. */
  readonly handleClientError: (error: NodeJS.ErrnoException, socket: Socket) => void;
  /** To be called with each connection when it is opened; parses what it receives in slices. */
  readonly watchConnection: (socket: Socket) => void;
}

/**
 * Requests of one connection that may wait for the answers to earlier ones. Callers send the next request after the answer;
 * a few may pipeline some.
 */
export const MAX_PIPELINED_REQUESTS = 32;
const UNAVAILABLE = 503;
const BAD_REQUEST = 400;
const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Node.js closes only the response that it is sending, and not those that wait for it, when their connection closes. */
function closeQueued(response: ServerResponse): void {
  if (response.socket !== null) return;
  response.destroy();
  response.emit('close');
}

/** HTTP/1.1 demands the header; Node.js itself would answer each of any number of requests without it. */
function isHostMissing({ headers, httpVersion }: IncomingMessage): boolean {
  return headers.host === undefined && httpVersion === '1.1';
}

/** Time in which a reader takes some of the last answers. */
const UNREAD_MS = 1_000;

/** Closes the connection when none of what waits for its reader was taken for a while. */
function closeUnread(socket: Socket, unreadMs = UNREAD_MS): void {
  let takenBytes = -1;
  const timer = setInterval(() => {
    const taken = socket.bytesWritten - socket.writableLength;
    if (socket.writableLength > 0 && taken === takenBytes) socket.destroy();
    takenBytes = taken;
  }, unreadMs);
  timer.unref();
  socket.once('close', () => clearInterval(timer));
}

/** `formatRefusal` returns the complete raw HTTP response for an error code of Node.js. */
export function createRequestGuard(
  formatRefusal: (code: string) => string,
  lingerMs?: number,
): RequestGuard {
  const refusedSockets = new WeakSet<Socket>();
  /** Connections that nothing more is read of; they are closed after the last answer. */
  const closingSockets = new WeakSet<Socket>();
  /** Responses that are not complete, by connection. */
  const pendingResponses = new WeakMap<Socket, Set<ServerResponse>>();
  /** The latest request of each connection. */
  const latestRequests = new WeakMap<Socket, IncomingMessage>();
  const requestCounts = new WeakMap<Socket, number>();

  function countPending(socket: Socket): number {
    return pendingResponses.get(socket)?.size ?? 0;
  }

  function countRequests(socket: Socket): number {
    return requestCounts.get(socket) ?? 0;
  }

  function addPending(socket: Socket, response: ServerResponse): void {
    const pending = pendingResponses.get(socket) ?? new Set();
    if (!pendingResponses.has(socket)) {
      pendingResponses.set(socket, pending);
      socket.once('close', () => pending.forEach(closeQueued));
    }
    pending.add(response);
    response.once('close', () => pending.delete(response));
  }

  function refuse(socket: Socket, code: string): void {
    refusedSockets.add(socket);
    if (socket.writable) socket.write(formatRefusal(code));
    // Destroys the socket without waiting for the write to finish; input that arrives until then
    // would be read.
    socket.destroy();
  }

  /**
   * Reads pending input before refusing the connection. If the VM is paused for longer than the
   * headers timeout, timers fire before sockets are read when it resumes. A connection that was
   * opened just before the pause then times out although its request waits in the socket buffer:
   * the caller would receive 408, which promises that nothing ran, and the request would be read
   * and processed afterwards. A request that is complete after the pending reads is served; any
   * later request on a refused connection is not.
   */
  function handleTimeout(socket: Socket): void {
    const previous = latestRequests.get(socket);
    setImmediate(() => {
      setImmediate(() => {
        const latest = latestRequests.get(socket);
        const hasRequest = latest !== previous || countPending(socket) > 0;
        if (!hasRequest || latest?.complete !== true) refuse(socket, TIMEOUT_CODE);
      });
    });
  }

  /** The answer is the last one of the connection, which is closed at once where nobody reads it. */
  function refuseLast({ socket }: IncomingMessage, response: ServerResponse, status: number): void {
    closingSockets.add(socket);
    response.writeHead(status, { connection: 'close', 'content-length': 0 }).end();
    stopReading(socket);
    closeUnread(socket, lingerMs);
  }

  /** Node.js resumes the connection at the end of each request, also of those that it has read already. */
  function stopReading(socket: Socket): void {
    socket.on('resume', () => socket.pause());
    socket.pause();
  }

  return {
    admitRequest(request, response) {
      const { socket } = request;
      if (refusedSockets.has(socket)) {
        socket.destroy();
        return false;
      }
      if (closingSockets.has(socket)) return false;
      requestCounts.set(socket, countRequests(socket) + 1);
      if (isHostMissing(request)) {
        refuseLast(request, response, BAD_REQUEST);
        return false;
      }
      if (countPending(socket) >= MAX_PIPELINED_REQUESTS) {
        refuseLast(request, response, UNAVAILABLE);
        return false;
      }
      latestRequests.set(socket, request);
      addPending(socket, response);
      UnreadRequests.closeIfUnread(request, response, lingerMs);
      return true;
    },
    watchConnection(socket) {
      SplitReads.splitReads(socket, {
        isStopped: () => closingSockets.has(socket) || refusedSockets.has(socket),
        isRefused: () => refusedSockets.has(socket),
        countRequests: () => countRequests(socket),
      });
    },
    handleClientError(error, socket) {
      const code = error.code ?? '';
      if (!socket.writable || code === 'ECONNRESET') socket.destroy();
      else if (code === TIMEOUT_CODE) handleTimeout(socket);
      else {
        // The parser stops after an error, so no further request is read from this connection.
        refusedSockets.add(socket);
        socket.end(formatRefusal(code));
      }
    },
  };
}
