/** The exchanges that are open, and how a planned stop ends them. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ForwardRequest } from '../forwardRequest';
import * as Metrics from '../metrics';
import * as RelayHeaders from '../relay/relayHeaders';
import type { RelayRefusalCause } from '../relay/relayHeaders';
import * as Headers from './headers';
import * as Replies from './replies';
import type { Exchange, ExchangeDependencies } from './replies';
import * as RequestCalls from './requestCalls';
import * as StopEvents from './stopEvents';

export interface OpenExchange {
  readonly calls: RequestCalls.RequestCalls;
  /** Aborted when the caller disconnects, or the exchange is ended. */
  readonly closed: AbortSignal;
  /** Called when the request has been read and accepted. */
  readonly setRequest: (request: ForwardRequest) => void;
}

export interface OpenExchanges {
  /** The exchange is registered until its response closes. */
  readonly register: (exchange: Exchange) => OpenExchange;
  /** Whether no later request has arrived on the connection of the response, which may close with it then. */
  readonly isLatest: (response: ServerResponse) => boolean;
  /** The connection closes with this response: later requests on it would get no answer. */
  readonly markLast: (response: ServerResponse) => void;
  /** Whether an earlier response closes the connection of the request. */
  readonly isClosing: (incoming: IncomingMessage) => boolean;
  /** Records how long those in progress have lasted. */
  readonly recordDurations: (dependencies: ExchangeDependencies) => void;
  /** Refuses the requests that have not run and for which there is no time left. */
  readonly refuseWaiting: (dependencies: ExchangeDependencies) => void;
  /**
   * Ends all exchanges: those without a response head get their last status, streams end between two events, and
   * other answers are reset.
   */
  readonly endAll: (dependencies: ExchangeDependencies) => void;
}

interface Entry extends Exchange, Pick<OpenExchange, 'calls'> {
  request: ForwardRequest | undefined;
  readonly close: () => void;
}

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
/** Another router can accept the request immediately. */
export const STOPPING_RETRY_SECONDS = 0.1;
const REASON = 'this process is about to end';

/** `getStopStartedMs`: when this process began to stop; undefined before. */
export function createOpenExchanges(getStopStartedMs: () => number | undefined): OpenExchanges {
  /** In the order of arrival. */
  const entries = new Set<Entry>();
  /** Responses after which others are due on their connections. */
  const followed = new WeakSet<ServerResponse>();
  const latestResponses = new WeakMap<Socket, ServerResponse>();
  const closingSockets = new WeakSet<Socket>();

  function closeExchange(dependencies: ExchangeDependencies, entry: Entry): void {
    entries.delete(entry);
    entry.calls.close();
    const { response } = entry;
    // The whole answer is on its way to the caller.
    if (response.destroyed || response.writableEnded) return;
    const status = response.headersSent ? undefined : decideStatus(entry);
    logEnd(dependencies, entry, status, getStopStartedMs());
    if (status === undefined) closeBroken(entry);
    else sendStatus(dependencies, entry, status);
    entry.close();
  }

  return {
    register(exchange) {
      const { incoming, response } = exchange;
      const previous = latestResponses.get(incoming.socket);
      if (previous !== undefined) followed.add(previous);
      latestResponses.set(incoming.socket, response);
      const disconnect = new AbortController();
      const entry: Entry = {
        ...exchange,
        calls: RequestCalls.createRequestCalls(),
        request: undefined,
        close: () => disconnect.abort(),
      };
      entries.add(entry);
      response.once('close', () => {
        entries.delete(entry);
        if (!response.writableFinished) disconnect.abort();
      });
      return {
        calls: entry.calls,
        closed: disconnect.signal,
        setRequest(request) {
          entry.request = request;
        },
      };
    },
    isLatest: (response) => !followed.has(response),
    markLast: ({ req }) => closingSockets.add(req.socket),
    isClosing: ({ socket }) => closingSockets.has(socket),
    recordDurations({ clock, durations }) {
      const nowMs = clock.getNowMs();
      for (const { request } of entries) {
        if (request !== undefined) {
          durations.recordIncomplete(request.route.name, nowMs - request.arrivedAtMs);
        }
      }
    },
    refuseWaiting(dependencies) {
      for (const entry of entries) {
        const { request, response, calls } = entry;
        const isWaiting = request !== undefined && !response.headersSent && !calls.mayHaveRun();
        if (isWaiting && !dependencies.waits.hasTimeFor(request)) {
          closeExchange(dependencies, entry);
        }
      }
    },
    endAll(dependencies) {
      for (const entry of entries) closeExchange(dependencies, entry);
    },
  };
}

/** 503 promises that the request has not run and never will. */
function decideStatus({ calls }: Entry): number {
  return calls.mayHaveRun() ? BAD_GATEWAY : UNAVAILABLE;
}

function sendStatus(dependencies: ExchangeDependencies, entry: Entry, status: number): void {
  const { response, headers, relayTerms } = entry;
  const isRefused = status === UNAVAILABLE;
  Replies.addSends(response, entry);
  if (isRefused && relayTerms !== undefined) {
    response.setHeader(RelayHeaders.RELAY_HEADERS.refused, 'draining' satisfies RelayRefusalCause);
  }
  const id = Headers.findSingleValue(headers, dependencies.wire.headers.requestId);
  const retryAfter = isRefused ? { retryAfterSeconds: STOPPING_RETRY_SECONDS } : {};
  Replies.sendEmptyResponse(dependencies, response, id, { status, reason: REASON, ...retryAfter });
}

/** No end of the connection completes the answer, and a stream keeps the events that were written. */
function closeBroken({ request, response }: Entry): void {
  const { req, socket } = response;
  if (request?.route.isStream === true && Replies.hasChunks(response)) socket?.end();
  else req.socket.resetAndDestroy();
}

function decideStage({ request, response, calls }: Entry): string {
  if (request === undefined) return 'reading';
  if (response.headersSent) return 'answering';
  return calls.findPlace()?.stage ?? 'waiting';
}

function logEnd(
  dependencies: ExchangeDependencies,
  entry: Entry,
  status: number | undefined,
  stopStartedMs = dependencies.clock.getNowMs(),
): void {
  const { request, response, headers, calls } = entry;
  const nowMs = dependencies.clock.getNowMs();
  const { events, lastEventAtMs, hasOpenCall } = calls.getProgress();
  const told = status === undefined ? 'closed' : String(status);
  dependencies.metrics.addCount(Metrics.ENDED_BY_STOP, 1, { told });
  dependencies.logEvent(StopEvents.ENDED_BY_STOP, {
    ...(request === undefined
      ? { request: Headers.findSingleValue(headers, dependencies.wire.headers.requestId) }
      : Replies.createLogFields(dependencies, request)),
    stage: decideStage(entry),
    target: calls.findPlace()?.target,
    mayHaveRun: calls.mayHaveRun(),
    arrivedMs: request === undefined ? undefined : Math.round(request.arrivedAtMs - stopStartedMs),
    events,
    lastEventAgeMs: lastEventAtMs === undefined ? undefined : Math.round(nowMs - lastEventAtMs),
    hasOpenCall,
    unsentBytes: response.writableLength,
    status,
  });
}
