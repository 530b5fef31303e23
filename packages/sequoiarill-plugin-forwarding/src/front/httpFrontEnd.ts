/** HTTP front end: the server for callers, handled by moleculer-web, and the server for readiness checks. */
import * as Http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import type { CallerLimits } from '@sequoiarill/types';
import type { ServiceSchema } from 'moleculer';
import ApiGateway from 'moleculer-web';

import type { ForwardingSettings } from '../settings';

export interface HttpFrontEndOptions {
  readonly settings: ForwardingSettings;
  readonly handleRequest: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  readonly isReady: () => boolean;
}

export interface HttpFrontEnd {
  /** Local moleculer service that passes requests to `handleRequest`. */
  readonly service: ServiceSchema;
  readonly start: () => Promise<void>;
  /** `IP:port` in use by the server for callers and the server for readiness checks. */
  readonly getAddresses: () => { readonly listen: string; readonly readinessListen: string };
  readonly applyLimits: (limits: CallerLimits) => void;
  readonly countRequests: () => number;
  readonly countConnections: () => number;
  /** Closes connections that have no request in progress. */
  readonly closeIdle: () => void;
  readonly stop: () => Promise<void>;
}

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** The parts of moleculer-web's service instance used here. */
interface GatewayInstance {
  readonly httpHandler: RequestHandler;
}

/** Read by Node.js when the server is created; higher than configurations allow. */
const MAX_HEADER_BYTES = 65_536;
/** Interval of the check for request timeouts. */
const CHECK_INTERVAL_MS = 1_000;
/** Allows a body of several megabytes over a slow link. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Added to the idle timeout that callers expect, so that a close never coincides with a new request. */
const IDLE_MARGIN_MS = 1_000;
const SERVER_ERROR = 500;
const OK = 200;
const UNAVAILABLE = 503;

const STATUS_BY_PARSER_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};
const BAD_REQUEST = 400;

export function createHttpFrontEnd(options: HttpFrontEndOptions): HttpFrontEnd {
  const { settings } = options;
  let requestCount = 0;
  let connectionCount = 0;
  let handleAdmitted: RequestHandler = (_request, response) => sendStatus(response, UNAVAILABLE);

  const requestGuard = Kernel.createRequestGuard(formatRefusal);
  const server = Http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      noDelay: true,
    },
    (request, response) => {
      if (!requestGuard.admitRequest(request, response)) return;
      requestCount += 1;
      response.once('close', () => {
        requestCount -= 1;
      });
      handleAdmitted(request, response);
    },
  );
  server.on('clientError', requestGuard.handleClientError);
  server.on('connection', (socket: Socket) => {
    connectionCount += 1;
    socket.once('close', () => {
      connectionCount -= 1;
    });
  });

  const readiness = Http.createServer((request, response) => {
    request.resume();
    sendStatus(response, options.isReady() ? OK : UNAVAILABLE);
  });

  return {
    service: createGatewayService(options, (handler) => {
      handleAdmitted = handler;
    }),
    async start() {
      await Kernel.openListener(server, settings.listen, '[forwarding] listen');
      const key = '[forwarding] readinessListen';
      await Kernel.openListener(readiness, settings.readinessListen, key);
    },
    getAddresses: () => ({
      listen: Kernel.getBoundAddress(server),
      readinessListen: Kernel.getBoundAddress(readiness),
    }),
    applyLimits({ headerTimeoutMs, idleTimeoutMs }) {
      server.headersTimeout = headerTimeoutMs + IDLE_MARGIN_MS;
      server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    },
    countRequests: () => requestCount,
    countConnections: () => connectionCount,
    closeIdle: () => server.closeIdleConnections(),
    async stop() {
      await Promise.all([Kernel.closeListener(server), Kernel.closeListener(readiness)]);
    },
  };
}

/** Runs moleculer-web without a server of its own; it receives the requests of the server above. */
function createGatewayService(
  options: HttpFrontEndOptions,
  setHandler: (handler: RequestHandler) => void,
): ServiceSchema {
  const handleRequest = (request: IncomingMessage, response: ServerResponse) => {
    options.handleRequest(request, response).catch((error: unknown) => {
      response.destroy(error instanceof Error ? error : undefined);
    });
  };
  return {
    name: 'forwarding',
    mixins: [ApiGateway],
    settings: {
      server: false,
      logRequest: null,
      logResponse: null,
      logRouteRegistration: null,
      routes: [{ path: '/', use: [handleRequest], bodyParsers: false, logging: false }],
    },
    methods: {
      sendError(_request: IncomingMessage, response: ServerResponse) {
        sendStatus(response, SERVER_ERROR);
      },
    },
    created(this: unknown) {
      const gateway = this as GatewayInstance;
      setHandler((request, response) => gateway.httpHandler(request, response));
    },
  };
}

function sendStatus(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-length': 0 });
  response.end();
}

function formatRefusal(code: string): string {
  const status = STATUS_BY_PARSER_CODE[code] ?? BAD_REQUEST;
  const reason = Http.STATUS_CODES[status] ?? '';
  return `HTTP/1.1 ${status} ${reason}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}
