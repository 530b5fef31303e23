/** The listeners: for callers through moleculer-web, and for readiness checks. */
import * as Http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import type { CallerLimits } from '@sequoiarill/types';
import type { ServiceSchema } from 'moleculer';
import ApiGateway from 'moleculer-web';

import type { ForwardingSettings } from '../settings';

export interface FrontOptions {
  readonly settings: ForwardingSettings;
  readonly handleRequest: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  readonly isReady: () => boolean;
}

export interface Front {
  /** Local moleculer service that hands over requests. */
  readonly service: ServiceSchema;
  readonly start: () => Promise<void>;
  /** `IP:port` in use for callers, and for readiness checks. */
  readonly getAddresses: () => { readonly listen: string; readonly readinessListen: string };
  readonly applyLimits: (limits: CallerLimits) => void;
  readonly countRequests: () => number;
  readonly countConnections: () => number;
  /** Closes connections without a request in progress. */
  readonly closeIdle: () => void;
  readonly stop: () => Promise<void>;
}

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** The parts of moleculer-web's service instance used here. */
interface GatewayInstance {
  readonly httpHandler: RequestHandler;
}

/** Node.js reads this at the creation of a server; above what configurations allow callers. */
const MAX_HEADER_BYTES = 65_536;
/** How often time-outs of requests are looked at, milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
/** A body of megabytes over a slow link takes this long; milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Added to the idle time that callers count on, so that a close never crosses a request of theirs. */
const IDLE_MARGIN_MS = 1_000;
const SERVER_ERROR = 500;
const OK = 200;
const UNAVAILABLE = 503;

const STATUS_BY_PARSER_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};
const BAD_REQUEST = 400;

export function createFront(options: FrontOptions): Front {
  const { settings } = options;
  let requestCount = 0;
  let connectionCount = 0;
  let passOn: RequestHandler = (_request, response) => sendStatus(response, UNAVAILABLE);

  const guard = Kernel.createRequestGuard(formatRefusal);
  const server = Http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      noDelay: true,
    },
    (request, response) => {
      if (!guard.admitRequest(request, response)) return;
      requestCount += 1;
      response.once('close', () => {
        requestCount -= 1;
      });
      passOn(request, response);
    },
  );
  server.on('clientError', guard.handleClientError);
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
      passOn = handler;
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

/** moleculer-web runs without a server of its own and is handed the requests of ours. */
function createGatewayService(
  options: FrontOptions,
  setHandler: (handler: RequestHandler) => void,
): ServiceSchema {
  const handle = (request: IncomingMessage, response: ServerResponse) => {
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
      routes: [{ path: '/', use: [handle], bodyParsers: false, logging: false }],
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
