/** Operators' API as a local moleculer service, routed by moleculer-web. */
import type { ServerResponse } from 'node:http';

import type { PluginContext } from '@sequoiarill/types';
import type { Context, Service, ServiceSchema } from 'moleculer';
import * as ApiGateway from 'moleculer-web';

import * as ErrorResponses from './errorResponses';
import * as Events from './events';
import type { HandleRequest, Listener } from './listener';
import * as Redaction from './redaction';

type ActionContext<Params = unknown> = Context<Params, Record<string, unknown>>;

const HTTP_ACCEPTED = 202;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

export interface ServiceOptions {
  readonly context: PluginContext;
  readonly listener: Listener;
  /** Called before moleculer-web; returns false if it has answered the request itself. */
  readonly admitRequest: (...request: Parameters<HandleRequest>) => boolean;
}

interface GatewayError {
  readonly code?: unknown;
  readonly type?: unknown;
  readonly message?: string;
}

export function createService(options: ServiceOptions): ServiceSchema {
  const { context, listener, admitRequest } = options;
  return {
    name: 'operators',
    mixins: [ApiGateway.default],
    settings: {
      // The plug-in opens the socket: moleculer-web would log a bind error and wait for ever.
      server: false,
      routes: [
        {
          path: '/',
          mappingPolicy: 'restrict',
          bodyParsers: false,
          logging: false,
          aliases: {
            'GET /state': 'operators.dumpState',
            'GET /state/:plugin': 'operators.dumpPlugin',
            'GET /explain/:requestId': 'operators.explainRequest',
            'GET /live': 'operators.getLiveness',
            'GET /ready': 'operators.getReadiness',
            'POST /drain': 'operators.drainProcess',
          },
        },
      ],
      onError: (request: unknown, response: ServerResponse, error: GatewayError) =>
        sendGatewayError(response, error),
    },
    actions: createActions(context),
    created(this: Service) {
      const handleWithGateway = this.express() as (
        request: unknown,
        response: unknown,
        next: () => void,
      ) => void;
      listener.setHandler((request, response) => {
        if (!admitRequest(request, response)) return;
        handleWithGateway(request, response, () => {
          const message = `no such path: ${request.method} ${request.url}`;
          ErrorResponses.sendError(response, HTTP_NOT_FOUND, 'notFound', message);
        });
      });
    },
  };
}

function createActions(context: PluginContext): NonNullable<ServiceSchema['actions']> {
  return {
    dumpState: async () => Redaction.removeSecrets(await context.dumpProcess()),

    async dumpPlugin(call: ActionContext<{ readonly plugin: string }>) {
      const dump = await context.dumpProcess();
      const { plugin } = call.params;
      if (Object.hasOwn(dump.plugins, plugin)) return Redaction.removeSecrets(dump.plugins[plugin]);
      const pluginNames = Object.keys(dump.plugins).join(', ');
      const message = `no plug-in "${plugin}" runs in this process; there are ${pluginNames}`;
      return refuseCall(call, HTTP_NOT_FOUND, 'unknownPlugin', message);
    },

    explainRequest(call: ActionContext<{ readonly requestId: string }>) {
      const { requestId } = call.params;
      const entries = context.journal.explainRequest(requestId);
      if (entries === undefined) {
        const message =
          `process "${context.process.name}" has no record of request "${requestId}": another ` +
          'router handled it, or its entries were evicted from the journal';
        return refuseCall(call, HTTP_NOT_FOUND, 'unknownRequest', message);
      }
      return Redaction.removeSecrets({ requestId, process: context.process.name, entries });
    },

    getLiveness: () => ({ live: true }),

    getReadiness(call: ActionContext) {
      const phase = context.getPhase();
      if (phase === 'ready') return { ready: true, phase };
      return refuseCall(call, HTTP_UNAVAILABLE, phase, `not ready: the process is ${phase}`);
    },

    drainProcess(call: ActionContext) {
      context.logEvent(Events.DRAIN_REQUESTED);
      setStatus(call, HTTP_ACCEPTED);
      // Deferred until after the answer: a process with no work would close this connection first.
      setImmediate(() => context.requestStop());
      return { draining: true };
    },
  };
}

function refuseCall(
  call: ActionContext,
  status: number,
  code: string,
  message: string,
): ErrorResponses.ErrorBody {
  setStatus(call, status);
  return ErrorResponses.createErrorBody(code, message);
}

/** Sets the HTTP status, which moleculer-web reads from the call's metadata. */
function setStatus(call: ActionContext, status: number): void {
  Object.assign(call.meta, { $statusCode: status });
}

function sendGatewayError(response: ServerResponse, error: GatewayError): void {
  const status = typeof error.code === 'number' && error.code >= 400 ? error.code : 500;
  const code = typeof error.type === 'string' ? error.type : 'internal';
  ErrorResponses.sendError(response, status, code, error.message ?? 'internal error');
}
