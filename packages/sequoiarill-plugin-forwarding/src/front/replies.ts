/** Sends answers, streams and refusals to callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { AnswerDurations, ClientRetryDetector } from '@sequoiarill/decisions';
import type { LogEvent, TargetBuild } from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import * as Placement from '../answers/placement';
import * as Events from '../events';
import type { AnswerHead, ForwardOutcome, ForwardRequest, PassedEnd } from '../forwardRequest';
import * as RelayHeaders from '../relay/relayHeaders';
import type { RelayRefusalCause, RelayTerms } from '../relay/relayHeaders';
import * as Headers from './headers';
import type { HeldBudget } from './heldBudget';
import type { RawHeader } from './headers';
import type { OpenExchanges } from './openExchanges';
import * as Metrics from '../metrics';
import type { ForwardingDependencies } from '../dependencies';
import * as RequestEnds from './requestEnds';
import type { RouteTable } from './routeTable';
import * as StreamAnswers from '../streams/streamAnswer';
import type { StreamOutcome } from '../streams/streamPlan';
import * as StreamTimings from '../streams/streamTiming';
import type { StreamTiming } from '../streams/streamTiming';

export interface ExchangeDependencies extends ForwardingDependencies {
  /** Undefined until a configuration was received. */
  readonly getRouteTable: () => RouteTable | undefined;
  /** Detects from the remaining time of a request whether its caller has already waited before. */
  readonly clientRetries: ClientRetryDetector;
  /** By route. */
  readonly durations: AnswerDurations;
  readonly exchanges: OpenExchanges;
  /** Logs without a limit of lines. */
  readonly logEvent: LogEvent;
  readonly heldBudget: HeldBudget;
}

export interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly headers: readonly RawHeader[];
  readonly relayTerms?: RelayTerms;
}

export interface Refusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterSeconds?: number | undefined;
}

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
const MS_PER_SECOND = 1_000;
/** Callers are not asked to wait longer: other targets may start meanwhile. */
const MAX_REST_SECONDS = 10;

/** Fields of every log line about the end of a request, apart from its reason. */
export function createLogFields(dependencies: ExchangeDependencies, request: ForwardRequest) {
  return {
    request: request.id,
    content: request.contentKey,
    route: request.route.name,
    service: request.service,
    version: dependencies.directory.getConfiguration()?.version,
    waitedMs: Math.round(dependencies.clock.getNowMs() - request.arrivedAtMs),
  };
}

/** `endResponse`: called instead of `response.end` after the head, where the connection is needed a moment longer. */
export function sendRefusal(
  dependencies: ExchangeDependencies,
  response: ServerResponse,
  headers: readonly RawHeader[],
  refusal: Refusal,
  endResponse?: () => unknown,
): void {
  const id = Headers.findSingleValue(headers, dependencies.wire.headers.requestId);
  const { directory, log } = dependencies;
  log.logEvent(Events.REQUEST_REFUSED, {
    request: id,
    status: refusal.status,
    reason: refusal.reason,
    version: directory.getConfiguration()?.version,
    confirmedAgeMs: Math.round(directory.getConfirmedAgeMs()),
  });
  sendEmptyResponse(dependencies, response, id, refusal, endResponse);
}

export function sendEmptyResponse(
  dependencies: ExchangeDependencies,
  response: ServerResponse,
  requestId: string | undefined,
  { status, retryAfterSeconds }: Refusal,
  endResponse: () => unknown = () => response.end(),
): void {
  if (isEnded(response)) return;
  const retryAfter =
    retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) };
  const echoed =
    requestId === undefined ? {} : { [dependencies.wire.headers.requestId]: requestId };
  response.writeHead(status, {
    ...echoed,
    ...retryAfter,
    ...createConnectionHeader(dependencies, response),
    'content-length': 0,
  });
  endResponse();
}

/** Whether the caller has left, or a stop has answered it. */
function isEnded(response: ServerResponse): boolean {
  return response.destroyed || response.headersSent;
}

/**
 * Makes callers open another connection while this process is draining. Node.js closes the connection after a response
 * with this header, so one that other responses are to follow does not have it.
 */
function createConnectionHeader(
  { isDraining, exchanges }: ExchangeDependencies,
  response: ServerResponse,
): Readonly<Record<string, string>> {
  if (!isDraining() || !exchanges.isLatest(response)) return {};
  exchanges.markLast(response);
  return { connection: 'close' };
}

/** Tells another router how the target's answer is framed, and which build produces it. */
export function addRelayHeaders(
  response: ServerResponse,
  head: AnswerHead,
  build?: TargetBuild,
): void {
  RelayHeaders.encodeFraming(head, build).forEach(([name, value]) =>
    response.setHeader(name, value),
  );
}

/**
 * Failure: this process is killed, or breaks an answer off, while its caller takes a long answer without framing. The
 * connection ends in order, or by a reset that many clients take for an end, so a part of the answer looks complete.
 *
 * So an answer that is passed on as it arrives goes in chunks where its caller knows them. One that was held whole stays
 * without framing: a target that ends it too early and lives on can't be told, and a length would vouch for it.
 */
function isSentUnframed(
  response: ServerResponse,
  head: AnswerHead,
  bodyLength: number | undefined,
): boolean {
  // Towards another router, an answer always has framing of its own, and a header for the target's.
  if (response.hasHeader(RelayHeaders.RELAY_HEADERS.version)) return false;
  if (!Checks.isCloseDelimited(head)) return false;
  return bodyLength !== undefined || !hasChunks(response);
}

/** `bodyLength` is undefined where the answer is passed on as it arrives and its target declares no length. */
export function sendHead(
  dependencies: ExchangeDependencies,
  response: ServerResponse,
  head: AnswerHead,
  bodyLength: number | undefined,
): void {
  const isUnframed = isSentUnframed(response, head, bodyLength);
  if (isUnframed) response.removeHeader('transfer-encoding');
  response.writeHead(head.status, head.statusMessage, {
    ...Headers.selectResponseHeaders(head.headers),
    ...(isUnframed
      ? { connection: 'close' }
      : {
          ...(bodyLength === undefined ? {} : { 'content-length': bodyLength }),
          ...createConnectionHeader(dependencies, response),
        }),
  });
}

/**
 * A stream is sent in chunks, also where its target's response has no framing: the stream may go on at another
 * target, and many clients take any end of a connection for the end of a body without framing.
 */
function sendStreamHead(
  dependencies: ExchangeDependencies,
  response: ServerResponse,
  head: AnswerHead,
): void {
  response.writeHead(head.status, head.statusMessage, {
    ...Headers.selectResponseHeaders(head.headers),
    ...createConnectionHeader(dependencies, response),
  });
}

/** Tells another router how often the request was sent to a target here, before an answer that nothing follows. */
export function addSends(
  response: ServerResponse,
  { relayTerms, calls }: Partial<Pick<ForwardRequest, 'relayTerms' | 'calls'>>,
): void {
  if (relayTerms === undefined || calls === undefined) return;
  response.setHeader(...RelayHeaders.encodeSends(calls.countSends()));
}

export function sendOutcome(
  dependencies: ExchangeDependencies,
  request: ForwardRequest,
  response: ServerResponse,
  outcome: Exclude<ForwardOutcome, PassedEnd>,
): void {
  RequestEnds.recordRequestEnd(dependencies, request, outcome.kind);
  if (outcome.kind === 'callerLeft' || isEnded(response)) return;
  addSends(response, request);
  if (outcome.kind === 'answer') {
    const { head, body } = outcome;
    if (request.relayTerms !== undefined) addRelayHeaders(response, head);
    request.held?.releaseWhole();
    sendHead(dependencies, response, head, body.length);
    response.end(body);
    return;
  }
  const { id } = request;
  const { reason, lastTarget } = outcome;
  const fields = { ...createLogFields(dependencies, request), reason, lastTarget };
  if (outcome.kind === 'refused') {
    if (request.relayTerms !== undefined) {
      const isReached = dependencies.paths.getState(request.service) === 'open';
      const cause: RelayRefusalCause = isReached ? 'refused' : 'unreachable';
      response.setHeader(RelayHeaders.RELAY_HEADERS.refused, cause);
    }
    dependencies.log.logEvent(Events.REQUEST_REFUSED, {
      ...fields,
      ...dependencies.paths.getSummary(request.service),
      status: UNAVAILABLE,
    });
    const restSeconds = (Placement.computeRestMs(dependencies, request) ?? 0) / MS_PER_SECOND;
    const retryAfterSeconds =
      outcome.retryAfterSeconds === undefined
        ? undefined
        : Math.max(outcome.retryAfterSeconds, Math.min(MAX_REST_SECONDS, restSeconds));
    sendEmptyResponse(dependencies, response, id, {
      status: UNAVAILABLE,
      reason,
      retryAfterSeconds,
    });
    return;
  }
  const status = outcome.isLate ? GATEWAY_TIMEOUT : BAD_GATEWAY;
  dependencies.log.logEvent(Events.REQUEST_FAILED, { ...fields, status });
  sendEmptyResponse(dependencies, response, id, { status, reason });
}

export async function relayStream(
  dependencies: ExchangeDependencies,
  request: ForwardRequest,
  response: ServerResponse,
): Promise<void> {
  const answer = StreamAnswers.runStreamAnswer(dependencies, request);
  const timing = StreamTimings.createStreamTiming(request.arrivedAtMs);
  for (;;) {
    const step = await answer.next();
    if (step.done === true) {
      recordTiming(dependencies, request, timing);
      sendStreamEnd(dependencies, request, response, step.value);
      return;
    }
    // Nothing follows the last bytes of an exchange that a stop has ended.
    if (request.closed.aborted) continue;
    const part = step.value;
    if (part.kind === 'head') {
      const waitedMs = dependencies.clock.getNowMs() - request.arrivedAtMs;
      dependencies.metrics.recordTiming(Metrics.FIRST_EVENT, waitedMs, {
        route: request.route.name,
      });
      if (request.relayTerms !== undefined) addRelayHeaders(response, part.head, part.build);
      sendStreamHead(dependencies, response, part.head);
    } else {
      timing.recordEvents(dependencies.clock.getNowMs());
      if (!response.write(part.bytes)) await waitForDrain(response, request.closed);
    }
  }
}

function recordTiming(
  dependencies: ExchangeDependencies,
  request: ForwardRequest,
  timing: StreamTiming,
): void {
  const summary = timing.read();
  if (summary.firstEventMs === undefined) return;
  const { route } = request;
  dependencies.metrics.recordTiming(Metrics.PAUSE, summary.longestPauseMs, { route: route.name });
  if (!StreamTimings.isLate(summary, route)) return;
  dependencies.log.logEvent(Events.STREAM_LATE, {
    ...createLogFields(dependencies, request),
    ...summary,
  });
}

/** Applies backpressure: a caller that reads slowly delays only its own stream. */
export async function waitForDrain(response: ServerResponse, closed: AbortSignal): Promise<void> {
  if (closed.aborted || response.destroyed) return;
  await new Promise<void>((resolve) => {
    const finish = () => {
      response.off('drain', finish);
      closed.removeEventListener('abort', finish);
      resolve();
    };
    response.once('drain', finish);
    closed.addEventListener('abort', finish, { once: true });
  });
}

function sendStreamEnd(
  dependencies: ExchangeDependencies,
  request: ForwardRequest,
  response: ServerResponse,
  outcome: StreamOutcome,
): void {
  if (outcome.kind === 'complete') {
    if (outcome.wasStarted) {
      RequestEnds.recordRequestEnd(dependencies, request, outcome.kind);
      if (!request.closed.aborted) response.end();
    } else {
      sendOutcome(dependencies, request, response, {
        kind: 'answer',
        head: outcome.head,
        body: EMPTY,
      });
    }
    return;
  }
  if (outcome.kind !== 'broken') {
    sendOutcome(dependencies, request, response, outcome);
    return;
  }
  RequestEnds.recordRequestEnd(dependencies, request, outcome.kind);
  const { reason, lastTarget } = outcome;
  const fields = { ...createLogFields(dependencies, request), reason, lastTarget };
  dependencies.log.logEvent(Events.STREAM_BROKEN, fields);
  if (!request.closed.aborted) closeBroken(response);
}

/** Closes the connection without the end of the body, so that the answer does not look complete. */
export function closeBroken(response: ServerResponse): void {
  // Callers without chunks take an orderly end of the connection for the end of the body.
  if (hasChunks(response)) response.destroy();
  else response.socket?.resetAndDestroy();
}

/** Whether the caller knows chunks. */
export function hasChunks({ req }: ServerResponse): boolean {
  return req.httpVersion !== HTTP_WITHOUT_CHUNKS;
}

const HTTP_WITHOUT_CHUNKS = '1.0';
const EMPTY = Buffer.alloc(0);
