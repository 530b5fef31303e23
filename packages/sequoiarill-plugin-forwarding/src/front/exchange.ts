/** Handles a caller's request from its first byte to the last byte of the answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import * as Kernel from '@sequoiarill/kernel';
import type { ForwardingRoute } from '@sequoiarill/types';

import * as Replies from './replies';
import type { Exchange, ExchangeDependencies, Refusal } from './replies';
import type { ForwardRequest } from '../forwardRequest';
import * as Access from './access';
import * as AnswerSinks from './answerSink';
import * as ContentKeys from './contentKey';
import * as Headers from './headers';
import * as PromptSizes from './promptSize';
import * as HeldExchanges from './heldExchange';
import type { HeldExchange } from './heldExchange';
import type { Drain } from './drain';
import * as OpenExchanges from './openExchanges';
import * as RequestBodies from './requestBody';
import type { RequestCalls } from './requestCalls';
import type { RawHeader } from './headers';
import * as Placement from '../answers/placement';
import * as FullAnswers from '../answers/fullAnswer';
import * as Metrics from '../metrics';
import * as RelayAttempts from '../relay/relayAttempt';
import * as RelayHeaders from '../relay/relayHeaders';
import type { RelayRefusalCause, RelayTerms } from '../relay/relayHeaders';

const BAD_REQUEST = 400;
const UNAVAILABLE = 503;

/** A caller that still waits has little time left. */
const LATE_RETRY_SECONDS = 0;

export async function handleExchange(
  dependencies: ExchangeDependencies,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  // Its caller sends it again on another connection, as one that crosses the close.
  if (dependencies.exchanges.isClosing(incoming)) return;
  const headers = Headers.listRawHeaders(incoming.rawHeaders);
  await runExchange(dependencies, { incoming, response, headers });
}

/** Handles a request that another router sends on for its caller, whose key is checked again here. */
export async function handleRelayedExchange(
  dependencies: ExchangeDependencies,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const headers = Headers.listRawHeaders(incoming.rawHeaders);
  const relayTerms = RelayHeaders.decodeTerms(headers);
  if (relayTerms === undefined) {
    response.writeHead(BAD_REQUEST, { 'content-length': 0 }).end();
    return;
  }
  const version = dependencies.directory.getConfiguration()?.version ?? 0;
  response.setHeader(RelayHeaders.RELAY_HEADERS.version, String(version));
  dependencies.metrics.addCount(Metrics.RELAYED_HERE);
  await runExchange(dependencies, { incoming, response, headers, relayTerms });
}

async function runExchange(dependencies: ExchangeDependencies, exchange: Exchange): Promise<void> {
  const { incoming, response, headers, relayTerms } = exchange;
  const arrivedAtMs = dependencies.clock.getNowMs();
  const readDelayMs = dependencies.clock.getReadDelayMs();
  const { closed, calls, setRequest } = dependencies.exchanges.register(exchange);
  const id = Headers.findSingleValue(headers, dependencies.wire.headers.requestId);
  const held = HeldExchanges.createHeldExchange(dependencies.heldBudget, response, id);
  const body = await readAllowedBody(dependencies, exchange, held);
  if (body === undefined || (await hasDisconnected(incoming, closed))) return;
  const relayRefusal = findRelayRefusal(dependencies, relayTerms);
  if (relayRefusal !== undefined) {
    refuseRelayed(dependencies, exchange, relayRefusal);
    return;
  }
  const access = Access.checkAccess(dependencies, incoming, headers);
  if (access.kind === 'refused') {
    Replies.sendRefusal(dependencies, response, headers, access.refusal);
    return;
  }
  const request = createRequest(dependencies, access, {
    incoming,
    headers,
    body,
    arrivedAtMs,
    closed,
    calls,
    ...(relayTerms === undefined ? {} : { relayTerms }),
  });
  if (request === undefined) {
    const reason = 'the request has no id, or its route has no service';
    Replies.sendRefusal(dependencies, response, headers, { status: BAD_REQUEST, reason });
    return;
  }
  if (relayTerms !== undefined && dependencies.paths.getState(request.service) !== 'open') {
    refuseRelayed(dependencies, exchange, 'unreachable');
    return;
  }
  const timeRefusal = findTimeRefusal(dependencies, request, readDelayMs);
  if (timeRefusal !== undefined) {
    refuseLate(dependencies, exchange, timeRefusal);
    return;
  }
  setRequest(request);
  await sendAnswer(dependencies, { ...request, held }, response);
}

/** The whole body; undefined where the request was refused, or its caller has left. */
async function readAllowedBody(
  dependencies: ExchangeDependencies,
  exchange: Exchange,
  held: HeldExchange,
): Promise<Buffer | undefined> {
  const headRefusal = findHeadRefusal(dependencies, exchange);
  if (headRefusal !== undefined) {
    await RequestBodies.refuseUnread(dependencies, exchange, headRefusal);
    return undefined;
  }
  const body = await RequestBodies.readBody(exchange.incoming, {
    maxBytes: dependencies.directory.getConfiguration()?.limits.maxBodyBytes,
    budget: dependencies.heldBudget,
    held,
  });
  if (typeof body !== 'string') return body;
  if (body !== 'callerLeft') await RequestBodies.refuseBody(dependencies, exchange, body);
  return undefined;
}

/**
 * Failure: clients without a key fill the budget of held bytes by bodies that end only in a refusal. Requests of other
 * routers are refused after their body, since their terms go first.
 */
function findHeadRefusal(
  dependencies: ExchangeDependencies,
  { incoming, headers, relayTerms }: Exchange,
): Refusal | undefined {
  if (relayTerms !== undefined || !RequestBodies.hasLargeBody(incoming)) return undefined;
  const access = Access.checkAccess(dependencies, incoming, headers);
  return access.kind === 'refused' ? access.refusal : undefined;
}

/** Another router that sent the request on asks the next one. */
function refuseLate(
  dependencies: ExchangeDependencies,
  exchange: Exchange,
  refusal: Refusal,
): void {
  const { response, headers, relayTerms } = exchange;
  if (relayTerms !== undefined) refuseRelayed(dependencies, exchange, 'draining');
  else Replies.sendRefusal(dependencies, response, headers, refusal);
}

/** Undefined where there is time for the request on both sides. */
function findTimeRefusal(
  dependencies: ExchangeDependencies,
  request: ForwardRequest,
  readDelayMs: number,
): Refusal | undefined {
  if (request.expiresAtMs - request.arrivedAtMs <= readDelayMs) {
    const reason = 'its time may have been up before it was read';
    return { status: UNAVAILABLE, reason, retryAfterSeconds: LATE_RETRY_SECONDS };
  }
  if (dependencies.waits.hasTimeFor(request)) return undefined;
  const reason = 'this process is about to end';
  const retryAfterSeconds = OpenExchanges.STOPPING_RETRY_SECONDS;
  return { status: UNAVAILABLE, reason, retryAfterSeconds };
}

async function sendAnswer(
  dependencies: ExchangeDependencies,
  request: ForwardRequest,
  response: ServerResponse,
): Promise<void> {
  RelayAttempts.recordLeaving(dependencies.directory, request.relayTerms);
  if (request.route.isStream) {
    await Replies.relayStream(dependencies, request, response);
    return;
  }
  const sink = AnswerSinks.createAnswerSink(dependencies, request, response);
  const plain = { ...request, sink };
  const outcome = await FullAnswers.runFullAnswer(dependencies, plain);
  AnswerSinks.sendOutcome(dependencies, plain, response, outcome);
}

/** Undefined for requests of this router's own callers, and where the terms of another router are met. */
function findRelayRefusal(
  { directory, isDraining }: ExchangeDependencies,
  relayTerms: RelayTerms | undefined,
): RelayRefusalCause | undefined {
  if (relayTerms === undefined) return undefined;
  if (isDraining()) return 'draining';
  const version = directory.getConfiguration()?.version ?? 0;
  return version < relayTerms.version ? 'outdated' : undefined;
}

function refuseRelayed(
  dependencies: ExchangeDependencies,
  { response, headers }: Exchange,
  cause: RelayRefusalCause,
): void {
  response.setHeader(RelayHeaders.RELAY_HEADERS.refused, cause);
  const reason = `sent on by another router: ${cause}`;
  Replies.sendRefusal(dependencies, response, headers, { status: UNAVAILABLE, reason });
}

/** Whether the request will end before the process exits; no time is enough at silent targets. */
export function hasTimeFor(
  dependencies: ExchangeDependencies,
  drain: Pick<Drain, 'isDraining' | 'isNoticed' | 'hasTimeFor'>,
  request: ForwardRequest,
): boolean {
  if (!drain.isDraining()) return true;
  const { service, expiresAtMs } = request;
  const boundMs = findUpperBoundMs(dependencies, drain, request);
  const leftMs = expiresAtMs - dependencies.clock.getNowMs();
  if (!drain.hasTimeFor(Math.min(leftMs, boundMs))) return false;
  const isReached = dependencies.paths.getState(service) === 'open';
  return isReached && !Placement.isSuspected(dependencies, request);
}

/**
 * Once the load balancer sends no new connections, a refusal leads to another router, and only a time limit bounds an
 * answer. Until then a refusal may cost its caller the only try that it has left, so that what nearly all requests of the
 * route took is enough, unless the request may run only once: it could not be sent again after a cut.
 */
function findUpperBoundMs(
  { durations }: ExchangeDependencies,
  { isNoticed }: Pick<Drain, 'isNoticed'>,
  { route }: ForwardRequest,
): number {
  const isUnbounded = isNoticed() || route.retryPolicy === 'once';
  const boundMs = isUnbounded ? undefined : durations.findUpperBoundMs(route.name);
  return boundMs ?? Number.POSITIVE_INFINITY;
}

/**
 * Failure: a router that was paused or short of processor time reads requests whose callers have left since,
 * and would send them on: the end of each connection is read only after the request.
 */
async function hasDisconnected(incoming: IncomingMessage, closed: AbortSignal): Promise<boolean> {
  await new Promise<void>(Kernel.runAfterPendingReads);
  return closed.aborted || incoming.socket.readableEnded;
}

interface ReceivedRequest {
  readonly incoming: IncomingMessage;
  readonly headers: readonly RawHeader[];
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  readonly closed: AbortSignal;
  readonly calls: RequestCalls;
  readonly relayTerms?: RelayTerms;
}

function createRequest(
  dependencies: ExchangeDependencies,
  access: Extract<Access.AccessResult, { kind: 'allowed' }>,
  received: ReceivedRequest,
): ForwardRequest | undefined {
  const { organisation } = access;
  const { incoming, headers, arrivedAtMs, relayTerms } = received;
  const route = RelayAttempts.applyTerms(access.route, relayTerms);
  const { requestId, ...headerFields } = readHeaderFields(dependencies, received);
  const service = chooseService(route, dependencies.nextRandom);
  if (requestId === undefined || service === undefined) return undefined;
  const remainingMs = Number(
    Headers.findSingleValue(headers, dependencies.wire.headers.remainingMs),
  );
  const { name, objectiveMs } = route;
  // The time that another router has used would make its callers look like ones that come back.
  const isClientRetry =
    relayTerms === undefined &&
    remainingMs > 0 &&
    dependencies.clientRetries.isClientRetry({ kind: name, remainingMs, objectiveMs });
  const timeoutMs = remainingMs > 0 ? Math.min(remainingMs, route.timeoutMs) : route.timeoutMs;
  const content = {
    method: incoming.method ?? 'GET',
    path: Kernel.getRequestTarget(incoming),
    body: received.body,
    ...(organisation === undefined ? {} : { organisation: organisation.name }),
  };
  return {
    id: requestId,
    ...content,
    ...headerFields,
    contentKey: ContentKeys.computeContentKey({ ...content, host: route.host }),
    route,
    service,
    arrivedAtMs,
    expiresAtMs: arrivedAtMs + timeoutMs,
    isClientRetry,
    ...(relayTerms === undefined ? {} : { relayTerms }),
    versionDraw: dependencies.nextRandom(),
    closed: received.closed,
    calls: received.calls,
  };
}

type HeaderFields = Pick<
  ForwardRequest,
  | 'headers'
  | 'promptTokens'
  | 'outputTokens'
  | 'promptParts'
  | 'lastEventId'
  | 'resumedRequestId'
  | 'apiKey'
>;

function readHeaderFields(
  { wire }: ExchangeDependencies,
  { headers }: ReceivedRequest,
): HeaderFields & { readonly requestId: string | undefined } {
  const names = wire.headers;
  const lastEventId = Headers.findSingleValue(headers, names.lastEventId);
  const resumedRequestId = Headers.findSingleValue(headers, names.resumedRequestId);
  const apiKey = Headers.findSingleValue(headers, names.apiKey);
  const promptSize = Headers.findSingleValue(headers, names.promptSize);
  const outputHint = Headers.findSingleValue(headers, names.outputHint);
  const promptParts = Headers.findSingleValue(headers, names.promptParts) ?? '';
  return {
    requestId: Headers.findSingleValue(headers, names.requestId),
    headers: Headers.selectRequestHeaders(headers, wire).filter(
      ([name]) => !RelayHeaders.isRelayHeader(name),
    ),
    ...PromptSizes.decodeSizes(promptSize, outputHint),
    promptParts: wire.decodePromptParts(promptParts),
    ...(apiKey === undefined ? {} : { apiKey }),
    ...(lastEventId === undefined ? {} : { lastEventId }),
    ...(resumedRequestId === undefined ? {} : { resumedRequestId }),
  };
}

/** Chooses a service by weight; undefined when the route has no shares. */
function chooseService(route: ForwardingRoute, nextRandom: () => number): string | undefined {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let drawn = nextRandom() * total;
  for (const { service, weight } of route.shares) {
    drawn -= weight;
    if (drawn < 0) return service;
  }
  return route.shares.at(-1)?.service;
}
