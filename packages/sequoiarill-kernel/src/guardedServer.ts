/** Creates HTTP servers that bound what a connection makes the process hold; all listeners are created here. */
import * as Http from 'node:http';
import type { Socket } from 'node:net';

import * as Listeners from './listeners';
import * as RequestGuards from './requestGuard';

export interface GuardedServerOptions extends Http.ServerOptions {
  /** Returns the complete raw HTTP response for an error code of Node.js. */
  readonly formatRefusal?: (code: string) => string;
  /** Connections beyond this number replace those that have had no request for longest. */
  readonly maxConnections?: number | undefined;
  /** Time after which a connection is reset whose reader takes nothing of what is sent, milliseconds. */
  readonly unreadMs?: number;
}

const DEFAULT_MAX_CONNECTIONS = 1_024;
const DEFAULT_UNREAD_MS = 60_000;
/** Connections are checked so often within that time. */
const UNREAD_CHECKS = 4;
const STATUS_BY_PARSER_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};
const BAD_REQUEST = 400;

function formatEmptyRefusal(code: string): string {
  const status = STATUS_BY_PARSER_CODE[code] ?? BAD_REQUEST;
  const reason = Http.STATUS_CODES[status] ?? '';
  return `HTTP/1.1 ${status} ${reason}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}

/**
 * Resets connections whose reader has taken nothing at several checks in a row; a part of an answer must not look whole. A
 * process that was paused has made no checks meanwhile.
 */
function closeUnread(server: Http.Server, unreadMs: number): void {
  const connections = new Map<Socket, { taken: number; checks: number }>();

  function checkSocket(socket: Socket): void {
    const taken = socket.bytesWritten - socket.writableLength;
    const earlier = connections.get(socket);
    const isStalled = socket.writableLength > 0 && earlier?.taken === taken;
    const checks = isStalled ? earlier.checks + 1 : 0;
    connections.set(socket, { taken, checks });
    if (checks >= UNREAD_CHECKS) socket.resetAndDestroy();
  }

  const checkAll = () => [...connections.keys()].forEach(checkSocket);
  const timer = setInterval(checkAll, unreadMs / UNREAD_CHECKS);
  timer.unref();
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { taken: 0, checks: 0 });
    socket.once('close', () => connections.delete(socket));
  });
  server.once('close', () => clearInterval(timer));
}

function hasBody({ headers }: Http.IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/**
 * Failure: connections that send nothing, or never end what they send, take all that there may be, and ordinary callers find
 * none left. So the one that has had no request for longest makes room.
 */
function createConnectionLimit(maxConnections: number) {
  let count = 0;
  /** Without a request in progress, longest first. */
  const idle = new Set<Socket>();
  /** Of the latest request on each connection; earlier ones are answered before it. */
  const latestResponses = new WeakMap<Socket, Http.ServerResponse>();

  return {
    addConnection(socket: Socket): void {
      count += 1;
      socket.once('close', () => {
        count -= 1;
        idle.delete(socket);
      });
      const [longest = socket] = idle;
      if (count > maxConnections) longest.destroy();
      idle.add(socket);
    },
    addRequest(request: Http.IncomingMessage, response: Http.ServerResponse): void {
      const { socket } = request;
      // A request whose body is under way is in progress when all of it was read.
      if (hasBody(request)) request.once('end', () => idle.delete(socket));
      else idle.delete(socket);
      latestResponses.set(socket, response);
      response.once('close', () => {
        const isLatest = latestResponses.get(socket) === response;
        if (isLatest && !socket.destroyed) idle.add(socket);
      });
    },
  };
}

export function createGuardedServer(
  options: GuardedServerOptions,
  handleRequest: Http.RequestListener,
): Http.Server {
  const {
    formatRefusal = formatEmptyRefusal,
    maxConnections = DEFAULT_MAX_CONNECTIONS,
    unreadMs = DEFAULT_UNREAD_MS,
    ...serverOptions
  } = options;
  const guard = RequestGuards.createRequestGuard(formatRefusal);
  const limit = createConnectionLimit(maxConnections);
  // The guard answers requests without the header, and closes their connections.
  const server = Http.createServer({ ...serverOptions, requireHostHeader: false });
  server.on('request', (request, response) => {
    if (!guard.admitRequest(request, response)) return;
    limit.addRequest(request, response);
    handleRequest(request, response);
  });
  server.on('clientError', guard.handleClientError);
  server.on('timeout', Listeners.closeIdleConnection);
  server.on('connection', (socket: Socket) => {
    limit.addConnection(socket);
    guard.watchConnection(socket);
  });
  closeUnread(server, unreadMs);
  return server;
}
