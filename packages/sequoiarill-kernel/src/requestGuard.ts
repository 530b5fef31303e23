/** Refuses requests that Node.js finds late or malformed, and makes sure that none of them runs. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export interface RequestGuard {
  /** False: its connection was refused before, and the request must not be run. */
  readonly admitRequest: (request: IncomingMessage, response: ServerResponse) => boolean;
  /** For the server's event `clientError`. */
  readonly handleClientError: (error: NodeJS.ErrnoException, socket: Socket) => void;
}

const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** `formatRefusal` gives the whole answer as it goes over the wire, by the code of the error. */
export function createRequestGuard(formatRefusal: (code: string) => string): RequestGuard {
  const refused = new WeakSet<Socket>();
  /** Connections whose newest request has no whole response yet. */
  const open = new WeakSet<Socket>();
  /** The newest request of each connection. */
  const requests = new WeakMap<Socket, IncomingMessage>();

  function refuse(socket: Socket, code: string): void {
    refused.add(socket);
    if (socket.writable) socket.write(formatRefusal(code));
    // Not after the write has ended: what arrives until then would be read.
    socket.destroy();
  }

  /**
   * Failure: the VM is paused for longer than the time limit of headers. When it goes on, timers are
   * due before sockets are read, so a connection that was opened just before counts as one that sent
   * nothing. Its caller is told 408, which promises that nothing ran, and the request that lay in the
   * buffer is read next and runs. So what has arrived is read first; a request that is whole by then is
   * served, and nothing else that comes over a refused connection is.
   */
  function handleTimeout(socket: Socket): void {
    const before = requests.get(socket);
    setImmediate(() => {
      setImmediate(() => {
        const newest = requests.get(socket);
        const isServed = newest !== before || open.has(socket);
        if (!isServed || newest?.complete !== true) refuse(socket, TIMEOUT_CODE);
      });
    });
  }

  return {
    admitRequest(request, response) {
      const { socket } = request;
      if (refused.has(socket)) {
        socket.destroy();
        return false;
      }
      requests.set(socket, request);
      open.add(socket);
      response.once('close', () => open.delete(socket));
      return true;
    },
    handleClientError(error, socket) {
      const code = error.code ?? '';
      if (!socket.writable || code === 'ECONNRESET') socket.destroy();
      else if (code === TIMEOUT_CODE) handleTimeout(socket);
      else {
        // The parser has given up, so nothing that follows is read as a request.
        refused.add(socket);
        socket.end(formatRefusal(code));
      }
    },
  };
}
