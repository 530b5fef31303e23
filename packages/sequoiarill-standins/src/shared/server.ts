/**
 * An HTTP server that can stop listening and later reopen the same port, as a crashed and restarted
 * process does.
 */
import * as Http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

export type HandleRequest = (
  request: Http.IncomingMessage,
  response: Http.ServerResponse,
) => Promise<void>;

export interface StandinServer {
  readonly start: () => Promise<{ readonly address: string }>;
  readonly stop: () => Promise<void>;
  /** Closes every connection; new ones are still accepted. */
  readonly closeConnections: () => void;
  /** Refuses new connections until `start`; open ones live on. */
  readonly stopListening: () => void;
  /** Closes every connection and refuses new ones until `start`. */
  readonly refuseConnections: () => void;
  /** While silent, connections stay open and new ones are accepted, but nothing is read. */
  readonly setSilent: (isSilent: boolean) => void;
}

/** Another process may occupy the port for a moment when a stand-in reopens it. */
const LISTEN_ATTEMPTS = 40;
const LISTEN_RETRY_MS = 50;
const INTERNAL_ERROR = 500;

export function createStandinServer(listen: string, handleRequest: HandleRequest): StandinServer {
  const separator = listen.lastIndexOf(':');
  const host = listen.slice(0, separator);
  let port = Number(listen.slice(separator + 1));
  const sockets = new Set<Socket>();
  let server: Http.Server | undefined;
  let isSilent = false;

  // Node.js starts to read a new connection in the next tick, also one that was paused before that.
  function stopReading(socket: Socket): void {
    process.nextTick(() => {
      if (isSilent) socket.pause();
    });
  }

  function createServer(): Http.Server {
    const created = Http.createServer((request, response) => {
      handleRequest(request, response).catch((error: unknown) => failRequest(response, error));
    });
    created.keepAliveTimeout = 0;
    created.requestTimeout = 0;
    created.on('connection', (socket) => {
      socket.setNoDelay(true);
      sockets.add(socket);
      if (isSilent) stopReading(socket);
      socket.on('close', () => sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    return created;
  }

  async function openListener(): Promise<Http.Server> {
    for (let attempt = 1; ; attempt += 1) {
      const candidate = createServer();
      const error = await startListening(candidate, port, host);
      if (error === undefined) return candidate;
      if (attempt === LISTEN_ATTEMPTS || error.code !== 'EADDRINUSE') throw error;
      await new Promise((resolve) => {
        setTimeout(resolve, LISTEN_RETRY_MS);
      });
    }
  }

  async function start(): Promise<{ readonly address: string }> {
    server ??= await openListener();
    ({ port } = server.address() as AddressInfo);
    return { address: `${host}:${port}` };
  }

  function closeConnections(): void {
    for (const socket of sockets) socket.destroy();
  }

  function stopListening(): void {
    server?.close();
    server = undefined;
  }

  function refuseConnections(): void {
    stopListening();
    closeConnections();
  }

  async function stop(): Promise<void> {
    const closing = server;
    server = undefined;
    if (closing === undefined) {
      closeConnections();
      return;
    }
    const closed = new Promise<void>((resolve) => {
      closing.close(() => resolve());
    });
    closeConnections();
    await closed;
  }

  function setSilent(next: boolean): void {
    if (next === isSilent) return;
    isSilent = next;
    for (const socket of sockets) {
      if (isSilent) stopReading(socket);
      else socket.resume();
    }
  }

  return { start, stop, closeConnections, stopListening, refuseConnections, setSilent };
}

function startListening(
  server: Http.Server,
  port: number,
  host: string,
): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise((resolve) => {
    server.once('error', resolve);
    server.listen(port, host, () => {
      server.off('error', resolve);
      resolve(undefined);
    });
  });
}

function failRequest(response: Http.ServerResponse, error: unknown): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(INTERNAL_ERROR, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ error: { message: String(error), type: 'internal_error' } }));
}

/** Reads a body that is ignored, so that the connection can be used again. */
export async function readToEnd(request: Http.IncomingMessage): Promise<void> {
  await new Promise((resolve) => {
    request.once('close', resolve);
    request.resume();
  });
}
