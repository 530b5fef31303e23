/** Dispatches routed HTTP requests to handlers: request id, drain, key and method. */
import * as Kernel from '@sequoiarill/kernel';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { KeyOwner } from '@sequoiarill/types';

import * as Events from './events';
import * as EventStreams from './eventStream';
import type { Exchange, HandlerDependencies, Handler } from './exchange';
import * as Faults from './faults';
import * as GenerationRequests from './generationRequest';
import * as Keys from './keys';
import * as LastReplies from './lastReplies';
import * as Metrics from './metrics';
import * as Notifiers from './notifier';
import * as Refusals from './refusals';
import * as Replies from './replies';
import * as RequestStateTrackers from './requestStateTracker';
import type { TrackedRequest } from './requestStateTracker';
import * as Routes from './routes';
import type { Route } from './routes';

export interface Dispatcher {
  readonly handleRequest: (
    route: Route,
    request: Kernel.RoutedRequest,
    response: ServerResponse,
  ) => void;
  /** Number of open requests by state. */
  readonly getStates: RequestStateTrackers.RequestStateTracker['getCounts'];
  readonly isDraining: () => boolean;
  /** Refuses new requests and resolves when no request is open. */
  readonly drain: () => Promise<void>;
  /** Sends its last status, or the end of its stream, to each open request; resolves when all have left the process. */
  readonly endAll: () => Promise<void>;
}

export function createDispatcher(deps: HandlerDependencies): Dispatcher {
  const requestEnded = Notifiers.createNotifier();
  const stateTracker = RequestStateTrackers.createRequestStateTracker();
  const openExchanges = new Set<Exchange>();
  let isDraining = false;

  function findOwner(request: IncomingMessage): KeyOwner | undefined {
    const presented = Keys.parseBearer(request.headers.authorization);
    if (presented === undefined) return undefined;
    return Kernel.verifyKey(deps.configuration.getConfiguration(), presented);
  }

  function checkPhase(route: Route): Faults.Fault | undefined {
    if (isDraining && route.isServedWhileDraining !== true) return Faults.DRAINING;
    // Before the first configuration every key is unknown; on a 401 callers would stop retrying.
    const hasNoConfiguration = deps.configuration.getConfiguration().revision === 0;
    return hasNoConfiguration ? Faults.STARTING : undefined;
  }

  async function runHandler(handler: Handler, exchange: Exchange): Promise<void> {
    openExchanges.add(exchange);
    try {
      await handler(deps, exchange);
    } catch (error) {
      failExchange(deps, exchange, error);
    }
    openExchanges.delete(exchange);
    exchange.state.close();
    requestEnded.sendNotification();
  }

  function handleRequest(
    route: Route,
    request: Kernel.RoutedRequest,
    response: ServerResponse,
  ): void {
    const requestId = GenerationRequests.createRequestId(route.idPrefix);
    response.setHeader('x-request-id', requestId);
    // A connection reset also emits `close`, which is handled; the error adds no information.
    response.on('error', () => undefined);
    const fault = checkPhase(route) ?? checkMethod(route, request);
    const owner = fault === undefined ? findOwner(request) : undefined;
    if (owner === undefined) {
      const refusal = fault ?? Faults.UNAUTHORISED;
      request.resume();
      deps.context.metrics.addCount(Metrics.REFUSED, 1, { code: refusal.code });
      Replies.sendFault(response, refusal);
      return;
    }
    deps.context.metrics.addCount(Metrics.REQUESTS, 1, { route: route.path });
    const handler = findHandler(route, request);
    const exchange = createExchange(request, response, requestId, owner, stateTracker.addRequest());
    if (handler !== undefined) runHandler(handler, exchange).catch(() => undefined);
  }

  return {
    handleRequest,
    getStates: stateTracker.getCounts,
    isDraining: () => isDraining,
    async drain() {
      isDraining = true;
      while (openExchanges.size > 0) await requestEnded.waitForNotification();
    },
    async endAll() {
      const closed = [...openExchanges].map(({ closed: signal }) => waitForAbort(signal));
      for (const exchange of openExchanges) LastReplies.sendLastReply(deps, exchange);
      await Promise.all(closed);
    },
  };
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return;
  await new Promise((resolve) => {
    signal.addEventListener('abort', resolve, { once: true });
  });
}

function findHandler(route: Route, request: IncomingMessage): Handler | undefined {
  return route.methods[request.method ?? ''] ?? route.methods[Routes.ANY_METHOD];
}

function checkMethod(route: Route, request: IncomingMessage): Faults.Fault | undefined {
  if (findHandler(route, request) !== undefined) return undefined;
  return Faults.createMethodNotAllowed(Object.keys(route.methods));
}

function createExchange(
  request: Kernel.RoutedRequest,
  response: ServerResponse,
  requestId: string,
  owner: KeyOwner,
  state: TrackedRequest,
): Exchange {
  const target = Kernel.getRequestTarget(request);
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
 * Ends an exchange whose handler threw, which is a bug. Handlers write complete events only, so a
 * stream that has started can still end with an error event and is not mistaken for a full answer.
 */
function failExchange(deps: HandlerDependencies, exchange: Exchange, error: unknown): void {
  const { requestId, response } = exchange;
  deps.context.logEvent(Events.HANDLER_FAILED, {
    requestId,
    stack: Faults.formatStack(error),
  });
  if (!response.headersSent) Refusals.refuseRequest(deps, exchange, Faults.INTERNAL);
  else if (!response.destroyed) response.end(EventStreams.formatErrorEvent(Faults.INTERNAL));
}
