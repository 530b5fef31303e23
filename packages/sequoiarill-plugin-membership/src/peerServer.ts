/** HTTP server for other routers: verifies calls, passes them to tRPC and signs the responses. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import * as TrpcFetch from '@trpc/server/adapters/fetch';
import * as Undici from 'undici';

import type { PeerRouter } from './peerRouter';
import * as ReplayGuards from './replayGuard';
import * as Settings from './settings';
import * as Signatures from './signatures';

/**
 * Exceeds the time between two calls of a pair of routers in a large zone, to reuse connections.
 */
const LIMITS = {
  keepAliveTimeout: 60_000,
  requestTimeout: 10_000,
  headersTimeout: 10_000,
  unreadMs: 10_000,
} as const;
const MAX_HEADERS = 32;
/** The records of the whole fleet take 70 KB at the target size. */
const MAX_BODY_BYTES = 1_048_576;

export interface PeerServerOptions {
  readonly listen: string;
  readonly key: Buffer;
  readonly onRefused: (reason: string, remoteAddress: string | undefined) => void;
}

export interface ServedTraffic {
  readonly calls: number;
  readonly refused: number;
  /** Counted on the sockets, including headers. */
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

export interface PeerServer {
  /** Resolves to the bound address; rejects with a `PeerListenError` if binding fails. */
  readonly open: () => Promise<string>;
  /** Calls are refused until this is called. */
  readonly setRouter: (router: PeerRouter, advertise: string) => void;
  readonly close: () => Promise<void>;
  readonly getTraffic: () => ServedTraffic;
}

export class PeerListenError extends Error {
  override readonly name = 'PeerListenError';
}

interface ServedRouter {
  readonly router: PeerRouter;
  readonly advertise: string;
}

interface CallResponse {
  readonly status: number;
  readonly body: string;
  readonly incarnation?: number;
}

type CallVerification =
  | { readonly kind: 'verified'; readonly signature: string; readonly call: Signatures.SignedCall }
  | { readonly kind: 'refused'; readonly reason: string };

export function createPeerServer(options: PeerServerOptions): PeerServer {
  const { listen, key, onRefused } = options;
  const replayGuard = ReplayGuards.createReplayGuard();
  const sockets = new Set<Socket>();
  const closedTraffic = { bytesSent: 0, bytesReceived: 0 };
  let calls = 0;
  let refused = 0;
  let served: ServedRouter | undefined;

  function refuseRequest(request: IncomingMessage, response: ServerResponse, reason: string): void {
    refused += 1;
    onRefused(reason, request.socket.remoteAddress);
    response.writeHead(401, { 'content-type': 'application/json', connection: 'close' });
    response.end(JSON.stringify({ error: { code: 'unauthorised', message: reason } }));
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (body === undefined) {
      refuseRequest(request, response, 'the body is too long or broken off');
      return;
    }
    const verification = verifyCall(key, request, body, served?.advertise);
    if (verification.kind === 'refused' || served === undefined) {
      refuseRequest(
        request,
        response,
        verification.kind === 'refused' ? verification.reason : 'starting',
      );
      return;
    }
    calls += 1;
    const result = await handleCall(served.router, verification.call);
    sendSigned(response, verification.signature, result);
  }

  async function handleCall(
    router: PeerRouter,
    call: Signatures.SignedCall,
  ): Promise<CallResponse> {
    const replayOutcome = replayGuard.admitCall(call.from, call.incarnation, call.counter);
    if (replayOutcome.kind === 'repeated') return { status: 409, body: '{}' };
    if (replayOutcome.kind === 'oldIncarnation') {
      return { status: 409, body: '{}', incarnation: replayOutcome.highestIncarnation };
    }
    const response = await TrpcFetch.fetchRequestHandler({
      endpoint: '/peers',
      router,
      req: createRequest(call),
    });
    return { status: response.status, body: await response.text() };
  }

  function sendSigned(response: ServerResponse, callSignature: string, result: CallResponse): void {
    const { status, body, incarnation } = result;
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      [Signatures.HEADERS.signature]: Signatures.signResponse(key, { callSignature, status, body }),
      ...(incarnation === undefined ? {} : { [Signatures.HEADERS.incarnation]: incarnation }),
    });
    response.end(body);
  }

  const server = Kernel.createGuardedServer(LIMITS, (request, response) => {
    handleRequest(request, response).catch((error: unknown) => {
      response.destroy(error instanceof Error ? error : undefined);
    });
  });
  server.maxHeadersCount = MAX_HEADERS;
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      closedTraffic.bytesSent += socket.bytesWritten;
      closedTraffic.bytesReceived += socket.bytesRead;
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
      const openSockets = [...sockets];
      const sent = openSockets.reduce(
        (sum, socket) => sum + socket.bytesWritten,
        closedTraffic.bytesSent,
      );
      const received = openSockets.reduce(
        (sum, socket) => sum + socket.bytesRead,
        closedTraffic.bytesReceived,
      );
      return { calls, refused, bytesSent: sent, bytesReceived: received };
    },
  };
}

/** Uses undici's `Request`: the global one of Node.js is the same class but marked experimental. */
function createRequest(call: Signatures.SignedCall): Undici.Request {
  return new Undici.Request(`http://${call.to}${call.path}`, {
    method: call.method,
    headers: { 'content-type': 'application/json' },
    body: call.body,
  });
}

async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const body = Kernel.createBlockBuffer();
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      body.addBytes(chunk);
      if (body.countBytes() > MAX_BODY_BYTES) return undefined;
    }
  } catch {
    return undefined;
  }
  return body.merge().toString('utf8');
}

/** Verifies the signature before any other part of a call is used. */
function verifyCall(
  key: Buffer,
  request: IncomingMessage,
  body: string,
  advertise: string | undefined,
): CallVerification {
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
  return { kind: 'verified', signature, call };
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}
