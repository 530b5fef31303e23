/** HTTP listener for operators, separate from the one for callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';

import * as ErrorResponses from './errorResponses';

/** Operators' requests are short; limits on time and headers keep others from using up memory. */
const LIMITS = {
  requestTimeout: 10_000,
  headersTimeout: 10_000,
  maxConnections: 64,
  unreadMs: 10_000,
} as const;
const MAX_HEADER_COUNT = 64;
/** Time for responses in progress to end when the listener closes; then connections are closed. */
const CLOSE_TIMEOUT_MS = 1_000;

export type HandleRequest = (request: IncomingMessage, response: ServerResponse) => void;

export interface Listener {
  /** Rejects with a `ListenError` if the address cannot be bound. */
  readonly open: () => Promise<void>;
  readonly close: () => Promise<void>;
  /** Bound address as `host:port`; undefined until opened. */
  readonly getAddress: () => string | undefined;
  /** Sets the request handler; until then, every request is answered with 503. */
  readonly setHandler: (handler: HandleRequest) => void;
}

export class ListenError extends Error {
  override readonly name = 'ListenError';
}

/** Creates a listener that the plug-in opens, so that an address in use fails the start. */
export function createListener(listen: string): Listener {
  const separator = listen.lastIndexOf(':');
  const host = listen.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
  const port = Number(listen.slice(separator + 1));
  let handleRequest: HandleRequest = (request, response) =>
    ErrorResponses.sendError(response, 503, 'starting', 'the process is starting; ask again');
  const server = Kernel.createGuardedServer(LIMITS, (request, response) =>
    handleRequest(request, response),
  );
  server.maxHeadersCount = MAX_HEADER_COUNT;

  return {
    open: () =>
      new Promise((resolve, reject) => {
        server.once('error', (error) => {
          const remedy = 'choose a free address of this VM in section [operators], key listen';
          reject(new ListenError(`cannot listen on ${listen}: ${error.message}; ${remedy}`));
        });
        server.listen(port, host, () => resolve());
      }),
    async close() {
      if (!server.listening) return;
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      server.closeIdleConnections();
      const closeTimer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MS);
      await closed;
      clearTimeout(closeTimer);
    },
    getAddress() {
      const address = server.address() as AddressInfo | null;
      if (address === null) return undefined;
      return `${address.family === 'IPv6' ? `[${address.address}]` : address.address}:${address.port}`;
    },
    setHandler(handler) {
      handleRequest = handler;
    },
  };
}
