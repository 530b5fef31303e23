/** HTTP server of the API: moleculer-web as a local service on a server created here. */
import * as Http from 'node:http';
import type { Socket } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import type { ServiceSchema } from 'moleculer';
import ApiGateway from 'moleculer-web';

import type { Dispatcher } from './dispatch';
import * as Faults from './faults';
import type { Fault } from './faults';
import * as GenerationRequests from './generationRequest';
import * as Replies from './replies';
import * as Routes from './routes';
import type { CallersSettings } from './settings';

export interface HttpServer {
  /** Local moleculer service that routes the requests. */
  readonly service: ServiceSchema;
  /** Rejects with an `AddressError` if the address cannot be bound. */
  readonly start: () => Promise<void>;
  /** Closes idle connections; the others close when their request ends. */
  readonly closeIdle: () => void;
  readonly stop: () => Promise<void>;
  /** Bound address as `IP:port`; empty before the start. */
  readonly getAddress: () => string;
  readonly getConnectionCount: () => number;
}

type RequestHandler = (request: Kernel.RoutedRequest, response: Http.ServerResponse) => void;

/** The members of moleculer-web's service instance that are used here. */
interface GatewayInstance {
  readonly httpHandler: RequestHandler;
}

/** Interval of request timeout checks; the default of 30 s would delay each timeout by as much. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const MIN_CLIENT_ERROR_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;

/** Errors that Node.js detects before it emits a request. */
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
const MALFORMED_REQUEST_FAULT = Faults.createBadRequest(
  'malformed_request',
  'This is not a valid HTTP request.',
);

export function createHttpServer(settings: CallersSettings, dispatcher: Dispatcher): HttpServer {
  let handleRequest: RequestHandler = (request, response) => {
    request.resume();
    response.setHeader('x-request-id', GenerationRequests.createRequestId('req'));
    Replies.sendFault(response, Faults.STARTING);
  };
  let connectionCount = 0;
  const idleConnections = Kernel.createIdleConnections();
  const server = Kernel.createGuardedServer(
    {
      formatRefusal,
      maxConnections: settings.maxConnections,
      unreadMs: settings.writeTimeoutMs,
      requestTimeout: settings.requestTimeoutMs,
      headersTimeout: settings.headersTimeoutMs,
      keepAliveTimeout: settings.keepAliveMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    },
    (request, response) => {
      idleConnections.recordRequest(request, response);
      handleRequest(request, response);
    },
  );
  server.on('connection', (socket: Socket) => {
    connectionCount += 1;
    idleConnections.recordConnection(socket);
    socket.on('close', () => {
      connectionCount -= 1;
    });
  });

  const service = createGatewayService(dispatcher, (handler) => {
    handleRequest = handler;
  });

  return {
    service,
    getAddress: () => Kernel.getBoundAddress(server),
    start: () => Kernel.openListener(server, settings.listen, '[callers] listen'),
    closeIdle: idleConnections.close,
    stop: () => Kernel.closeListener(server),
    getConnectionCount: () => connectionCount,
  };
}

/**
 * Creates the moleculer-web service without its own server, since that reports neither an address
 * in use nor the bound port. It handles the requests of the server created here instead.
 */
function createGatewayService(
  dispatcher: Dispatcher,
  setHandler: (handler: RequestHandler) => void,
): ServiceSchema {
  const aliases = Object.fromEntries(
    Routes.ROUTES.map((route) => [
      `* ${route.path}`,
      (request: Kernel.RoutedRequest, response: Http.ServerResponse) =>
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

/** Handles errors of moleculer-web itself: an unknown path, or one that cannot be decoded. */
function sendRoutingError(
  request: Kernel.RoutedRequest,
  response: Http.ServerResponse,
  error: Readonly<{ code?: unknown }>,
): void {
  request.resume();
  response.setHeader('x-request-id', GenerationRequests.createRequestId('req'));
  const status = Number(error.code);
  const isClientError = status >= MIN_CLIENT_ERROR_STATUS && status < MIN_SERVER_ERROR_STATUS;
  if (status === Faults.UNKNOWN_PATH.status) Replies.sendFault(response, Faults.UNKNOWN_PATH);
  else Replies.sendFault(response, isClientError ? MALFORMED_REQUEST_FAULT : Faults.INTERNAL);
}

function formatRefusal(code: string): string {
  const fault = FAULT_BY_PARSER_CODE[code] ?? MALFORMED_REQUEST_FAULT;
  const body = Faults.formatFault(fault);
  const head = [
    `HTTP/1.1 ${fault.status} ${Http.STATUS_CODES[fault.status] ?? ''}`,
    'content-type: application/json; charset=utf-8',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-request-id: ${GenerationRequests.createRequestId('req')}`,
    'connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}
