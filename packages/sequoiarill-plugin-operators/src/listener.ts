/** The operators' own HTTP listener, apart from the callers' one. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import * as Answers from './answers';

/** A dump is asked for in one short request; slow or huge ones hold memory for nothing. */
const REQUEST_TIMEOUT_MS = 10_000;
const MAX_HEADERS = 64;
/** Time for answers in progress once the listener closes; then connections are cut. */
const CLOSE_LIMIT_MS = 1_000;

export type HandleRequest = (request: IncomingMessage, response: ServerResponse) => void;

export interface Listener {
  /** Rejects with a clear error when the address can't be bound. */
  readonly open: () => Promise<void>;
  readonly close: () => Promise<void>;
  /** `host:port` in use; undefined until opened. */
  readonly getAddress: () => string | undefined;
  /** Until set, every request is answered with 503. */
  readonly setHandler: (handler: HandleRequest) => void;
}

export class ListenError extends Error {
  override readonly name = 'ListenError';
}

/** Opened before the service exists, so that an address in use stops the start with its reason. */
export function createListener(listen: string): Listener {
  const separator = listen.lastIndexOf(':');
  const host = listen.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
  const port = Number(listen.slice(separator + 1));
  let handleRequest: HandleRequest = (request, response) =>
    Answers.sendError(response, 503, 'starting', 'the process is starting; ask again');
  const server = createServer((request, response) => handleRequest(request, response));
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.maxHeadersCount = MAX_HEADERS;

  return {
    open: () =>
      new Promise((resolve, reject) => {
        server.once('error', (error) => {
          const fix = 'choose a free address of this VM in section [operators], key listen';
          reject(new ListenError(`cannot listen on ${listen}: ${error.message}; ${fix}`));
        });
        server.listen(port, host, () => resolve());
      }),
    async close() {
      if (!server.listening) return;
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      server.closeIdleConnections();
      const limit = setTimeout(() => server.closeAllConnections(), CLOSE_LIMIT_MS);
      await closed;
      clearTimeout(limit);
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
