/** What goes out to the caller: answers, streams, refusals. */
import type { ServerResponse } from 'node:http';

import type { AnswerDurations, ReturnDetector } from '@sequoiarill/decisions';

import * as Checks from '../answers/answerChecks';
import * as Events from '../events';
import type { AnswerHead, ForwardOutcome, ForwardRequest } from '../forwardRequest';
import * as Headers from './headers';
import type { RawHeader } from './headers';
import * as Metrics from '../metrics';
import type { ForwardingParts } from '../parts';
import type { RouteTable } from './routeTable';
import * as StreamAnswers from '../streams/streamAnswer';
import type { StreamOutcome } from '../streams/streamPlan';
import * as StreamTimings from '../streams/streamTiming';
import type { StreamTiming } from '../streams/streamTiming';

export interface ExchangeParts extends ForwardingParts {
  /** Undefined until a configuration is known. */
  readonly getRouteTable: () => RouteTable | undefined;
  readonly isDraining: () => boolean;
  /** Whether the caller of a request with so much time left has waited before. */
  readonly returns: ReturnDetector;
  /** Of whole answers, by route. */
  readonly durations: AnswerDurations;
  /** Whether a request that takes so many milliseconds ends before this process does. */
  readonly hasTimeFor: (lastsMs: number) => boolean;
}

export interface Refusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterSeconds?: number;
}

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** What every line about the end of a request says beside its reason. */
function createLineFields(parts: ExchangeParts, request: ForwardRequest) {
  return {
    request: request.id,
    content: request.contentKey,
    route: request.route.name,
    service: request.service,
    version: parts.directory.getConfiguration()?.version,
    waitedMs: Math.round(parts.clock.getNowMs() - request.arrivedAtMs),
  };
}

export function sendRefusal(
  parts: ExchangeParts,
  response: ServerResponse,
  headers: readonly RawHeader[],
  refusal: Refusal,
): void {
  const id = Headers.findSingle(headers, parts.wire.headers.requestId);
  const { status, reason } = refusal;
  const version = parts.directory.getConfiguration()?.version;
  parts.log.logEvent(Events.REQUEST_REFUSED, { request: id, status, reason, version });
  sendEmpty(parts, response, id, refusal);
}

function sendEmpty(
  parts: ExchangeParts,
  response: ServerResponse,
  requestId: string | undefined,
  { status, retryAfterSeconds }: Refusal,
): void {
  if (response.destroyed) return;
  const retryAfter =
    retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) };
  const echoed = requestId === undefined ? {} : { [parts.wire.headers.requestId]: requestId };
  response.writeHead(status, {
    ...echoed,
    ...retryAfter,
    ...createConnectionHeader(parts),
    'content-length': 0,
  });
  response.end();
}

/** Tells callers to come over another connection, while this process is about to end. */
function createConnectionHeader(parts: ExchangeParts): Readonly<Record<string, string>> {
  return parts.isDraining() ? { connection: 'close' } : {};
}

function recordEnd(
  { metrics, clock, crashes, durations }: ExchangeParts,
  { contentKey, route, arrivedAtMs, lastEventId }: ForwardRequest,
  outcome: StreamOutcome['kind'],
): void {
  metrics.addCount(Metrics.REQUESTS, 1, { route: route.name, outcome });
  if (outcome !== 'answer' && outcome !== 'complete') return;
  crashes.recordAnswer(contentKey);
  const tookMs = clock.getNowMs() - arrivedAtMs;
  metrics.recordTiming(Metrics.ANSWER, tookMs, { route: route.name });
  // The rest of a stream is short, and says nothing of whole ones.
  if (lastEventId === undefined) durations.recordAnswer(route.name, tookMs);
}

/** An answer that came without framing goes on without it, and ends with its connection. */
function sendHead(
  parts: ExchangeParts,
  response: ServerResponse,
  head: AnswerHead,
  framing: Readonly<Record<string, number>>,
): void {
  const isUnframed = Checks.isUnframed(head);
  if (isUnframed) response.removeHeader('transfer-encoding');
  response.writeHead(head.status, head.statusMessage, {
    ...Headers.selectAnswered(head.headers),
    ...(isUnframed ? { connection: 'close' } : { ...framing, ...createConnectionHeader(parts) }),
  });
}

export function sendOutcome(
  parts: ExchangeParts,
  request: ForwardRequest,
  response: ServerResponse,
  outcome: ForwardOutcome,
): void {
  recordEnd(parts, request, outcome.kind);
  if (outcome.kind === 'callerLeft' || response.destroyed) return;
  if (outcome.kind === 'answer') {
    const { head, body } = outcome;
    sendHead(parts, response, head, { 'content-length': body.length });
    response.end(body);
    return;
  }
  const { id } = request;
  const { reason, lastTarget } = outcome;
  const fields = { ...createLineFields(parts, request), reason, lastTarget };
  if (outcome.kind === 'refused') {
    parts.log.logEvent(Events.REQUEST_REFUSED, { ...fields, status: UNAVAILABLE });
    sendEmpty(parts, response, id, { status: UNAVAILABLE, ...outcome });
    return;
  }
  const status = outcome.isLate ? GATEWAY_TIMEOUT : BAD_GATEWAY;
  parts.log.logEvent(Events.REQUEST_FAILED, { ...fields, status });
  sendEmpty(parts, response, id, { status, reason });
}

export async function relayStream(
  parts: ExchangeParts,
  request: ForwardRequest,
  response: ServerResponse,
): Promise<void> {
  const answer = StreamAnswers.runStreamAnswer(parts, request);
  const timing = StreamTimings.createStreamTiming(request.arrivedAtMs);
  logResumed(parts, request);
  for (;;) {
    const step = await answer.next();
    if (step.done === true) {
      recordTiming(parts, request, timing);
      sendStreamEnd(parts, request, response, step.value);
      return;
    }
    const piece = step.value;
    if (piece.kind === 'head') {
      const waitedMs = parts.clock.getNowMs() - request.arrivedAtMs;
      parts.metrics.recordTiming(Metrics.FIRST_EVENT, waitedMs, { route: request.route.name });
      sendHead(parts, response, piece.head, {});
    } else {
      timing.recordPiece(parts.clock.getNowMs());
      if (!response.write(piece.bytes)) await waitForDrain(response, request.closed);
    }
  }
}

function logResumed(parts: ExchangeParts, request: ForwardRequest): void {
  const { lastEventId } = request;
  if (lastEventId === undefined) return;
  parts.log.logEvent(Events.STREAM_RESUMED, { ...createLineFields(parts, request), lastEventId });
}

function recordTiming(parts: ExchangeParts, request: ForwardRequest, timing: StreamTiming): void {
  const summary = timing.read();
  if (summary.firstEventMs === undefined) return;
  const { route } = request;
  parts.metrics.recordTiming(Metrics.PAUSE, summary.longestPauseMs, { route: route.name });
  if (!StreamTimings.isLate(summary, route)) return;
  parts.log.logEvent(Events.STREAM_LATE, { ...createLineFields(parts, request), ...summary });
}

/** A caller that reads slowly holds back its own stream only. */
async function waitForDrain(response: ServerResponse, closed: AbortSignal): Promise<void> {
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
  parts: ExchangeParts,
  request: ForwardRequest,
  response: ServerResponse,
  outcome: StreamOutcome,
): void {
  if (outcome.kind === 'complete') {
    if (outcome.wasStarted) {
      recordEnd(parts, request, outcome.kind);
      response.end();
    } else {
      sendOutcome(parts, request, response, { kind: 'answer', head: outcome.head, body: EMPTY });
    }
    return;
  }
  if (outcome.kind !== 'broken') {
    sendOutcome(parts, request, response, outcome);
    return;
  }
  recordEnd(parts, request, outcome.kind);
  const { reason, lastTarget } = outcome;
  const fields = { ...createLineFields(parts, request), reason, lastTarget };
  parts.log.logEvent(Events.STREAM_BROKEN, fields);
  // Without the end of the body, so that it does not look complete.
  response.destroy();
}

const EMPTY = Buffer.alloc(0);
