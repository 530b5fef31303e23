/** From a routed HTTP request to its handler: request id, drain, key, method. */
import * as Kernel from '@sequoiarill/kernel';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { KeyOwner } from '@sequoiarill/types';

import * as Events from './events';
import * as EventStreams from './eventStream';
import type { Exchange, Front, Handler } from './exchange';
import * as Faults from './faults';
import * as Generating from './generating';
import * as Keys from './keys';
import * as Metrics from './metrics';
import * as Notices from './notices';
import * as Refusals from './refusals';
import * as Replies from './replies';
import * as RequestStates from './requestStates';
import type { RequestEntry } from './requestStates';
import * as Routes from './routes';
import type { Route } from './routes';

/** moleculer-web keeps the whole target here and cuts `url` down. */
export interface RoutedRequest extends IncomingMessage {
  readonly originalUrl?: string;
}

export interface Dispatcher {
  readonly handleRequest: (route: Route, request: RoutedRequest, response: ServerResponse) => void;
  /** Open requests by what they wait for. */
  readonly getStates: RequestStates.RequestStates['getCounts'];
  readonly isDraining: () => boolean;
  /** Refuses new work and resolves when no request is open. */
  readonly drain: () => Promise<void>;
}

export function createDispatcher(front: Front): Dispatcher {
  const changed = Notices.createNotice();
  const states = RequestStates.createRequestStates();
  let open = 0;
  let isDrainingNow = false;

  function findOwner(request: IncomingMessage): KeyOwner | undefined {
    const presented = Keys.parseBearer(request.headers.authorization);
    if (presented === undefined) return undefined;
    return Kernel.verifyKey(front.configuration.getConfiguration(), presented);
  }

  function checkPhase(route: Route): Faults.Fault | undefined {
    if (isDrainingNow && route.isOfRunning !== true) return Faults.DRAINING;
    // Before the first configuration every key looks unknown; 401 would send callers away for good.
    const isUnknown = front.configuration.getConfiguration().revision === 0;
    return isUnknown ? Faults.STARTING : undefined;
  }

  async function runHandler(handler: Handler, exchange: Exchange): Promise<void> {
    open += 1;
    try {
      await handler(front, exchange);
    } catch (error) {
      failExchange(front, exchange, error);
    }
    open -= 1;
    exchange.state.close();
    changed.sendNotice();
  }

  function handleRequest(route: Route, request: RoutedRequest, response: ServerResponse): void {
    const requestId = Generating.createRequestId(route.idPrefix);
    response.setHeader('x-request-id', requestId);
    // A caller that resets its connection shows as `close`; the error says nothing more.
    response.on('error', () => undefined);
    const fault = checkPhase(route) ?? checkMethod(route, request);
    const owner = fault === undefined ? findOwner(request) : undefined;
    if (owner === undefined) {
      const refusal = fault ?? Faults.UNAUTHORISED;
      request.resume();
      front.context.metrics.addCount(Metrics.REFUSED, 1, { code: refusal.code });
      Replies.sendFault(response, refusal);
      return;
    }
    front.context.metrics.addCount(Metrics.REQUESTS, 1, { route: route.path });
    const handler = findHandler(route, request);
    const exchange = createExchange(request, response, requestId, owner, states.openEntry());
    if (handler !== undefined) runHandler(handler, exchange).catch(() => undefined);
  }

  return {
    handleRequest,
    getStates: states.getCounts,
    isDraining: () => isDrainingNow,
    async drain() {
      isDrainingNow = true;
      while (open > 0) await changed.waitNotice();
    },
  };
}

function findHandler(route: Route, request: IncomingMessage): Handler | undefined {
  return route.methods[request.method ?? ''] ?? route.methods[Routes.ANY_METHOD];
}

function checkMethod(route: Route, request: IncomingMessage): Faults.Fault | undefined {
  if (findHandler(route, request) !== undefined) return undefined;
  return Faults.createWrongMethod(Object.keys(route.methods));
}

function createExchange(
  request: RoutedRequest,
  response: ServerResponse,
  requestId: string,
  owner: KeyOwner,
  state: RequestEntry,
): Exchange {
  const target = request.originalUrl ?? request.url ?? '/';
  const queryStart = target.indexOf('?');
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  const search = queryStart < 0 ? '' : target.slice(queryStart);
  const closed = new AbortController();
  response.on('close', () => closed.abort());
  return {
    request,
    response,
    requestId,
    organisation: owner.organisation,
    path,
    search,
    query: new URLSearchParams(search),
    state,
    closed: closed.signal,
  };
}

/**
 * A handler threw, which is a fault of the program. Handlers write whole events only, so a stream
 * that is under way can still end with an error event instead of looking like a whole answer.
 */
function failExchange(front: Front, exchange: Exchange, error: unknown): void {
  const { requestId, response } = exchange;
  front.context.logEvent(Events.HANDLER_FAILED, { requestId, stack: Faults.formatStack(error) });
  if (!response.headersSent) Refusals.refuseRequest(front, exchange, Faults.INTERNAL);
  else if (!response.destroyed) response.end(EventStreams.formatErrorEvent(Faults.INTERNAL));
}
