/** HTTP front end: the server for callers, handled by moleculer-web, and the server for readiness checks. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type { CallerLimits, ProcessSettings } from '@sequoiarill/types';
import type { ServiceSchema } from 'moleculer';
import ApiGateway from 'moleculer-web';

import type { ForwardingSettings } from '../settings';
import * as Replies from './replies';

export interface HttpFrontEndOptions {
  readonly settings: ForwardingSettings;
  readonly handleRequest: RequestTask;
  /** Handles requests that other routers send on for their callers. */
  readonly handleRelayed: RequestTask;
  readonly isReady: () => boolean;
  /** A task failed with an internal error; its caller was answered with 502, or its answer was broken off. */
  readonly logFailure: (request: IncomingMessage, error: unknown) => void;
}

type RequestTask = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export interface HttpFrontEnd {
  /** Local moleculer services that pass requests to `handleRequest` and `handleRelayed`. */
  readonly services: readonly ServiceSchema[];
  readonly start: () => Promise<void>;
  /** `IP:port` in use by each server. */
  readonly getAddresses: () => {
    readonly listen: string;
    readonly readinessListen: string;
    /** Absent if requests of other routers are not taken. */
    readonly relayListen?: string;
  };
  readonly applyLimits: (limits: CallerLimits) => void;
  readonly countRequests: () => number;
  readonly countConnections: () => number;
  /** Closes connections that have had a request and have none in progress; what has arrived is read first. */
  readonly closeIdle: () => void;
  /** Refuses new connections; open ones stay. */
  readonly stopListening: () => void;
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
/** Routers keep connections to each other open at least this long. */
const RELAY_IDLE_TIMEOUT_MS = 30_000;
const SERVER_ERROR = 500;
const BAD_GATEWAY = 502;
const OK = 200;
const UNAVAILABLE = 503;

/** The platform asks on a few connections, and reads each answer at once. */
const READINESS_LIMITS = { maxConnections: 64, unreadMs: 10_000 } as const;

interface CountedServer {
  readonly server: Server;
  /** Local moleculer service that passes admitted requests to the task. */
  readonly service: ServiceSchema;
}

/** The settings with the limit of connections that follows from those of the process. */
export function resolveSettings(
  settings: ForwardingSettings,
  { maxDescriptors }: Pick<ProcessSettings, 'maxDescriptors'>,
): ForwardingSettings {
  const { maxConnections } = settings;
  return {
    ...settings,
    maxConnections: Decisions.computeMaxConnections(maxConnections, maxDescriptors),
  };
}

export function createHttpFrontEnd(options: HttpFrontEndOptions): HttpFrontEnd {
  const { settings } = options;
  const { relayListen } = settings;
  let requestCount = 0;
  let connectionCount = 0;
  const idleConnections = Kernel.createIdleConnections();

  function createServer(
    name: string,
    runTask: RequestTask,
    maxConnections = settings.maxConnections,
  ): CountedServer {
    let handleAdmitted: RequestHandler = (_request, response) => sendStatus(response, UNAVAILABLE);
    const server = Kernel.createGuardedServer(
      {
        maxConnections,
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        noDelay: true,
      },
      (request, response) => {
        requestCount += 1;
        idleConnections.recordRequest(request, response);
        response.once('close', () => {
          requestCount -= 1;
        });
        handleAdmitted(request, response);
      },
    );
    server.on('connection', (socket: Socket) => {
      connectionCount += 1;
      idleConnections.recordConnection(socket);
      socket.once('close', () => {
        connectionCount -= 1;
      });
    });
    const runLogged: RequestTask = (request, response) =>
      runTask(request, response).catch((error: unknown) => {
        options.logFailure(request, error);
        stopFailed(response);
      });
    const service = createGatewayService(name, runLogged, (handler) => {
      handleAdmitted = handler;
    });
    return { server, service };
  }

  const callers = createServer('forwarding', options.handleRequest);
  const maxRouters = settings.maxConnections && Math.ceil(settings.maxConnections / 2);
  const routers = createServer('forwarding-relayed', options.handleRelayed, maxRouters);
  routers.server.keepAliveTimeout = RELAY_IDLE_TIMEOUT_MS;
  const readiness = Kernel.createGuardedServer(READINESS_LIMITS, (request, response) => {
    request.resume();
    sendStatus(response, options.isReady() ? OK : UNAVAILABLE);
  });
  const servers = [callers.server, routers.server];

  return {
    services: [callers.service, routers.service],
    async start() {
      await Kernel.openListener(callers.server, settings.listen, '[forwarding] listen');
      const key = '[forwarding] readinessListen';
      await Kernel.openListener(readiness, settings.readinessListen, key);
      if (relayListen === undefined) return;
      await Kernel.openListener(routers.server, relayListen, '[forwarding] relayListen');
    },
    getAddresses: () => ({
      listen: Kernel.getBoundAddress(callers.server),
      readinessListen: Kernel.getBoundAddress(readiness),
      ...(relayListen === undefined ? {} : { relayListen: Kernel.getBoundAddress(routers.server) }),
    }),
    applyLimits({ headerTimeoutMs, idleTimeoutMs }) {
      callers.server.headersTimeout = headerTimeoutMs + IDLE_MARGIN_MS;
      callers.server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    },
    countRequests: () => requestCount,
    countConnections: () => connectionCount,
    closeIdle: idleConnections.close,
    stopListening: () => servers.forEach((server) => server.close()),
    async stop() {
      servers.forEach((server) => server.closeAllConnections());
      await Promise.all([...servers, readiness].map(Kernel.closeListener));
    },
  };
}

/** Runs moleculer-web without a server of its own; it receives the requests of one of the servers above. */
function createGatewayService(
  name: string,
  runTask: RequestTask,
  setHandler: (handler: RequestHandler) => void,
): ServiceSchema {
  const handleRequest = (request: IncomingMessage, response: ServerResponse) => {
    // A failed task ends its response itself.
    runTask(request, response).catch(() => response.destroy());
  };
  return {
    name,
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

/** The request may have run, so the status promises nothing. An answer that has begun must not look complete. */
function stopFailed(response: ServerResponse): void {
  if (response.headersSent) Replies.closeBroken(response);
  else sendStatus(response, BAD_GATEWAY);
}
