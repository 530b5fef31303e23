/** The HTTP front: moleculer-web as a local service, over a server of our own. */
import * as Http from 'node:http';
import type { Socket } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import type { ServiceSchema } from 'moleculer';
import ApiGateway from 'moleculer-web';

import type { Dispatcher, RoutedRequest } from './dispatch';
import * as Faults from './faults';
import type { Fault } from './faults';
import * as Generating from './generating';
import * as Replies from './replies';
import * as Routes from './routes';
import type { CallersSettings } from './settings';

export interface HttpFront {
  /** Local moleculer service that routes requests. */
  readonly service: ServiceSchema;
  /** Rejects with an `AddressError` if the address cannot be taken. */
  readonly start: () => Promise<void>;
  /** Closes connections without a request; others end with their request. */
  readonly closeIdle: () => void;
  readonly stop: () => Promise<void>;
  /** `IP:port` in use; empty before the start. */
  readonly getAddress: () => string;
  readonly getConnectionCount: () => number;
}

type RequestHandler = (request: RoutedRequest, response: Http.ServerResponse) => void;

/** The parts of moleculer-web's service instance used here. */
interface GatewayInstance {
  readonly httpHandler: RequestHandler;
}

/** How often the time-outs of requests are looked at; Node.js's 30 s would add to each of them. */
const CHECK_INTERVAL_MS = 1_000;
const CLIENT_ERROR = 400;
const SERVER_ERROR = 500;

/** Faults that Node.js finds before there is a request. */
const FAULT_BY_PARSER_CODE: Readonly<Record<string, Fault>> = {
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: 408,
    type: 'invalid_request_error',
    code: 'request_timeout',
    message: 'The request did not arrive in time.',
  },
  HPE_HEADER_OVERFLOW: {
    status: 431,
    type: 'invalid_request_error',
    code: 'headers_too_large',
    message: 'The request headers are too large.',
  },
};
const MALFORMED = Faults.createInvalid('malformed_request', 'This is not a valid HTTP request.');

export function createHttpFront(settings: CallersSettings, dispatcher: Dispatcher): HttpFront {
  let handleRouted: RequestHandler = (request, response) => {
    request.resume();
    response.setHeader('x-request-id', Generating.createRequestId('req'));
    Replies.sendFault(response, Faults.STARTING);
  };
  let connectionCount = 0;
  const guard = Kernel.createRequestGuard(formatRefusal);
  const server = Http.createServer(
    {
      requestTimeout: settings.requestTimeoutMs,
      headersTimeout: settings.headersTimeoutMs,
      keepAliveTimeout: settings.keepAliveMs,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    },
    (request, response) => {
      if (guard.admitRequest(request, response)) handleRouted(request, response);
    },
  );
  server.maxConnections = settings.maxConnections;
  server.on('clientError', guard.handleClientError);
  server.on('connection', (socket: Socket) => {
    connectionCount += 1;
    socket.on('close', () => {
      connectionCount -= 1;
    });
  });

  const service = createGatewayService(dispatcher, (handler) => {
    handleRouted = handler;
  });

  return {
    service,
    getAddress: () => Kernel.getBoundAddress(server),
    start: () => Kernel.openListener(server, settings.listen, '[callers] listen'),
    closeIdle: () => server.closeIdleConnections(),
    stop: () => Kernel.closeListener(server),
    getConnectionCount: () => connectionCount,
  };
}

/**
 * moleculer-web reports neither an address in use nor the port it got, so it runs without a server
 * of its own and is handed the requests of ours.
 */
function createGatewayService(
  dispatcher: Dispatcher,
  setHandler: (handler: RequestHandler) => void,
): ServiceSchema {
  const aliases = Object.fromEntries(
    Routes.ROUTES.map((route) => [
      `* ${route.path}`,
      (request: RoutedRequest, response: Http.ServerResponse) =>
        dispatcher.handleRequest(route, request, response),
    ]),
  );
  return {
    name: 'callers',
    mixins: [ApiGateway],
    settings: {
      server: false,
      logRequest: null,
      logResponse: null,
      logRouteRegistration: null,
      routes: [
        { path: '/', aliases, mappingPolicy: 'restrict', bodyParsers: false, logging: false },
      ],
    },
    methods: { sendError: sendRoutingError },
    created(this: unknown) {
      const gateway = this as GatewayInstance;
      setHandler((request, response) => gateway.httpHandler(request, response));
    },
  };
}

/** What moleculer-web itself refuses: no such path, a path that cannot be decoded. */
function sendRoutingError(
  request: RoutedRequest,
  response: Http.ServerResponse,
  error: Readonly<{ code?: unknown }>,
): void {
  request.resume();
  response.setHeader('x-request-id', Generating.createRequestId('req'));
  const status = Number(error.code);
  const isCallers = status >= CLIENT_ERROR && status < SERVER_ERROR;
  if (status === Faults.UNKNOWN_PATH.status) Replies.sendFault(response, Faults.UNKNOWN_PATH);
  else Replies.sendFault(response, isCallers ? MALFORMED : Faults.INTERNAL);
}

function formatRefusal(code: string): string {
  const fault = FAULT_BY_PARSER_CODE[code] ?? MALFORMED;
  const body = Faults.formatFault(fault);
  const head = [
    `HTTP/1.1 ${fault.status} ${Http.STATUS_CODES[fault.status] ?? ''}`,
    'content-type: application/json; charset=utf-8',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-request-id: ${Generating.createRequestId('req')}`,
    'connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}
