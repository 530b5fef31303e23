/** The listener for peers: checks who calls, then lets tRPC answer, and signs the answer. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import * as TrpcFetch from '@trpc/server/adapters/fetch';
import * as Undici from 'undici';

import type { PeerRouter } from './peerRouter';
import * as ReplayGuards from './replayGuard';
import * as Settings from './settings';
import * as Signatures from './signatures';

/** Longer than two routers of a large zone go without a call, so that connections stay open. */
const KEEP_ALIVE_MS = 60_000;
const REQUEST_TIMEOUT_MS = 10_000;
const MAX_HEADERS = 32;
/** Records of the whole fleet at the target size are 70 KB. */
const MAX_BODY_BYTES = 1_048_576;

export interface PeerServerOptions {
  readonly listen: string;
  readonly key: Buffer;
  readonly onRefused: (reason: string, remoteAddress: string | undefined) => void;
}

export interface ServedTraffic {
  readonly calls: number;
  readonly refused: number;
  /** On the sockets, headers included. */
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

export interface PeerServer {
  /** The bound address; rejects with a clear error when it can't be bound. */
  readonly open: () => Promise<string>;
  /** Until then calls are refused. */
  readonly setRouter: (router: PeerRouter, advertise: string) => void;
  readonly close: () => Promise<void>;
  readonly getTraffic: () => ServedTraffic;
}

export class PeerListenError extends Error {
  override readonly name = 'PeerListenError';
}

interface Served {
  readonly router: PeerRouter;
  readonly advertise: string;
}

interface Answer {
  readonly status: number;
  readonly body: string;
  readonly incarnation?: number;
}

type CallCheck =
  | { readonly kind: 'genuine'; readonly signature: string; readonly call: Signatures.SignedCall }
  | { readonly kind: 'refused'; readonly reason: string };

export function createPeerServer(options: PeerServerOptions): PeerServer {
  const { listen, key, onRefused } = options;
  const guard = ReplayGuards.createReplayGuard();
  const sockets = new Set<Socket>();
  const closed = { bytesSent: 0, bytesReceived: 0 };
  let calls = 0;
  let refused = 0;
  let served: Served | undefined;

  function refuse(request: IncomingMessage, response: ServerResponse, reason: string): void {
    refused += 1;
    onRefused(reason, request.socket.remoteAddress);
    response.writeHead(401, { 'content-type': 'application/json', connection: 'close' });
    response.end(JSON.stringify({ error: { code: 'unauthorised', message: reason } }));
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (body === undefined) {
      refuse(request, response, 'the body is too long or broken off');
      return;
    }
    const check = checkCall(key, request, body, served?.advertise);
    if (check.kind === 'refused' || served === undefined) {
      refuse(request, response, check.kind === 'refused' ? check.reason : 'starting');
      return;
    }
    calls += 1;
    const answer = await handleCall(served.router, check.call);
    sendSigned(response, check.signature, answer);
  }

  async function handleCall(router: PeerRouter, call: Signatures.SignedCall): Promise<Answer> {
    const outcome = guard.admitCall(call.from, call.incarnation, call.counter);
    if (outcome.kind === 'repeated') return { status: 409, body: '{}' };
    if (outcome.kind === 'oldIncarnation') {
      return { status: 409, body: '{}', incarnation: outcome.highest };
    }
    const answer = await TrpcFetch.fetchRequestHandler({
      endpoint: '/peers',
      router,
      req: createRequest(call),
    });
    return { status: answer.status, body: await answer.text() };
  }

  function sendSigned(response: ServerResponse, callSignature: string, answer: Answer): void {
    const { status, body, incarnation } = answer;
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [Signatures.HEADERS.signature]: Signatures.signAnswer(key, { callSignature, status, body }),
      ...(incarnation === undefined ? {} : { [Signatures.HEADERS.incarnation]: incarnation }),
    });
    response.end(body);
  }

  const server = createServer((request, response) => {
    handleRequest(request, response).catch((error: unknown) => {
      response.destroy(error instanceof Error ? error : undefined);
    });
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.maxHeadersCount = MAX_HEADERS;
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      closed.bytesSent += socket.bytesWritten;
      closed.bytesReceived += socket.bytesRead;
    });
  });

  return {
    open: () =>
      new Promise((resolve, reject) => {
        server.once('error', (error) => {
          const fix = 'choose a free address of this VM in section [membership], key listen';
          reject(new PeerListenError(`cannot listen on ${listen}: ${error.message}; ${fix}`));
        });
        const port = Number(listen.slice(listen.lastIndexOf(':') + 1));
        server.listen(port, Settings.getHost(listen), () => {
          const address = server.address() as AddressInfo;
          const host = address.family === 'IPv6' ? `[${address.address}]` : address.address;
          resolve(`${host}:${address.port}`);
        });
      }),
    setRouter(router, advertise) {
      served = { router, advertise };
    },
    async close() {
      if (!server.listening) return;
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      });
    },
    getTraffic() {
      const open = [...sockets];
      const sent = open.reduce((sum, socket) => sum + socket.bytesWritten, closed.bytesSent);
      const received = open.reduce((sum, socket) => sum + socket.bytesRead, closed.bytesReceived);
      return { calls, refused, bytesSent: sent, bytesReceived: received };
    },
  };
}

/** undici's class is the one that Node.js brings, under a name that is not called experimental. */
function createRequest(call: Signatures.SignedCall): Undici.Request {
  return new Undici.Request(`http://${call.to}${call.path}`, {
    method: call.method,
    headers: { 'content-type': 'application/json' },
    body: call.body,
  });
}

async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Nothing of a call is looked at by anybody before its signature holds. */
function checkCall(
  key: Buffer,
  request: IncomingMessage,
  body: string,
  advertise: string | undefined,
): CallCheck {
  const call: Signatures.SignedCall = {
    method: request.method ?? '',
    to: request.headers.host ?? '',
    path: request.url ?? '',
    from: getHeader(request, Signatures.HEADERS.from),
    incarnation: Number(getHeader(request, Signatures.HEADERS.incarnation)),
    counter: Number(getHeader(request, Signatures.HEADERS.counter)),
    body,
  };
  const signature = getHeader(request, Signatures.HEADERS.signature);
  if (!Signatures.isSameSignature(signature, Signatures.signCall(key, call))) {
    return { kind: 'refused', reason: 'the signature does not hold; compare sharedKey' };
  }
  if (call.to !== advertise) {
    const reason = `called as ${call.to}, but is ${advertise}; compare seeds and advertise`;
    return { kind: 'refused', reason };
  }
  return { kind: 'genuine', signature, call };
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}
