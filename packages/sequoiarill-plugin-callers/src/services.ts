/** `/v1/services/{service}/...`: forwards requests to plain services. */
import type { ServerResponse } from 'node:http';

import * as Kernel from '@sequoiarill/kernel';
import type { OrderDone, OrderNotRun, OrderOutcome, OrderRequest } from '@sequoiarill/types';

import * as Bodies from './bodies';
import type { Exchange, HandlerDependencies } from './exchange';
import type { FaultCode } from './faultCodes';
import * as Faults from './faults';
import type { Fault } from './faults';
import * as Refusals from './refusals';

const HTTP_BAD_GATEWAY = 502;
const OUTCOME_HEADER = 'x-sequoiarill-outcome';
const PATH_PATTERN = /^\/v1\/services\/([^/]+)(\/.*)?$/;

/** Request headers set again for the next connection, or meant for this router only. */
const UNFORWARDED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'content-length',
  'expect',
  'host',
]);
/** Answer headers that are set again; the full body is available, so its length is computed. */
const UNFORWARDED_ANSWER_HEADERS: ReadonlySet<string> = new Set(['content-length', OUTCOME_HEADER]);

const STATUS_BY_REASON = {
  unknownService: 404,
  noTarget: 503,
  overloaded: 503,
  organisationLimit: 429,
  keyReused: 422,
  inProgress: 409,
  platformAway: 503,
  draining: 503,
} as const satisfies Record<OrderNotRun['reason'], number>;

const CODE_BY_REASON = {
  unknownService: 'unknown_service',
  noTarget: 'no_target',
  overloaded: 'overloaded',
  organisationLimit: 'rate_limit_exceeded',
  keyReused: 'idempotency_key_reused',
  inProgress: 'in_progress',
  platformAway: 'platform_away',
  draining: 'draining',
} as const satisfies Record<OrderNotRun['reason'], FaultCode>;

/**
 * An empty key is refused: used as a key, it would match unrelated orders; ignored, it would
 * disable the protection against duplicate execution.
 */
const EMPTY_KEY_FAULT: Fault = Faults.createBadRequest(
  'invalid_value',
  'The header "Idempotency-Key" is empty; send a key of your own or leave it out.',
);

const MIN_CLIENT_ERROR_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;

export async function handleService(deps: HandlerDependencies, exchange: Exchange): Promise<void> {
  const body = await Bodies.readBody(exchange.request, deps.settings.maxBodyBytes);
  if (body.kind === 'fault') {
    markNotRun(exchange.response);
    Refusals.refuseRequest(deps, exchange, body.fault);
    return;
  }
  const order = buildOrder(exchange, body.value);
  if (order.idempotencyKey === '') {
    markNotRun(exchange.response);
    Refusals.refuseRequest(deps, exchange, EMPTY_KEY_FAULT);
    return;
  }
  deps.context.journal.recordDecision(exchange.requestId, 'accepted', 'order', {
    organisation: order.organisation.name,
    service: order.service,
    method: order.method,
  });
  const outcome = await runOrder(deps, order);
  sendOutcome(deps, exchange, outcome);
}

/** Refuses a service of another organisation exactly like one that does not exist. */
async function runOrder(deps: HandlerDependencies, order: OrderRequest): Promise<OrderOutcome> {
  if (order.organisation.services.includes(order.service)) return deps.orders.runOrder(order);
  const message = `The service "${order.service}" does not exist or your organisation may not use it.`;
  return { kind: 'notRun', reason: 'unknownService', message, retryAfterSeconds: 0 };
}

function buildOrder(exchange: Exchange, body: Buffer): OrderRequest {
  const { request, requestId, organisation, closed } = exchange;
  const match = PATH_PATTERN.exec(exchange.path);
  const headers = selectHeaders(request.headers, UNFORWARDED_REQUEST_HEADERS);
  const idempotencyKey = headers['idempotency-key'];
  return {
    requestId,
    organisation,
    service: match?.[1] ?? '',
    method: request.method ?? 'GET',
    path: `${match?.[2] ?? '/'}${exchange.search}`,
    headers,
    body,
    signal: closed,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
  };
}

type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

function selectHeaders(
  headers: HeaderValues,
  unforwarded: ReadonlySet<string>,
): Readonly<Record<string, string>> {
  const connection = String(headers.connection ?? '').toLowerCase();
  const connectionHeaders = new Set(connection.split(',').map((name) => name.trim()));
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isUnforwarded =
      Kernel.HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name) || unforwarded.has(name);
    if (value !== undefined && !isUnforwarded) selected[name] = String(value);
  }
  return selected;
}

/**
 * Reasons that apply to this request only: an earlier request with the same key may have run or may
 * still be running. Told "not run", a caller could send the order again with a new key.
 */
const NOT_SENT_REASONS: ReadonlySet<OrderNotRun['reason']> = new Set([
  'inProgress',
  'platformAway',
]);

function isNotSent(outcome: OrderNotRun): boolean {
  return NOT_SENT_REASONS.has(outcome.reason);
}

type OutcomeMark = 'not-run' | 'not-sent';

function markNotRun(response: ServerResponse, mark: OutcomeMark = 'not-run'): void {
  if (!response.headersSent) response.setHeader(OUTCOME_HEADER, mark);
}

function sendOutcome(deps: HandlerDependencies, exchange: Exchange, outcome: OrderOutcome): void {
  if (outcome.kind === 'done') {
    deps.context.journal.recordDecision(exchange.requestId, 'finished', 'done', {
      status: outcome.status,
    });
    sendDone(exchange.response, outcome);
    return;
  }
  if (outcome.kind === 'notRun') {
    markNotRun(exchange.response, isNotSent(outcome) ? 'not-sent' : 'not-run');
    Refusals.refuseRequest(deps, exchange, createNotRunFault(outcome));
    return;
  }
  refuseUnknown(deps, exchange, outcome.message);
}

/** Tells the caller that its order may have run. */
export function refuseUnknown(
  deps: HandlerDependencies,
  exchange: Exchange,
  message: string,
): void {
  if (!exchange.response.headersSent) exchange.response.setHeader(OUTCOME_HEADER, 'unknown');
  Refusals.refuseRequest(deps, exchange, {
    status: HTTP_BAD_GATEWAY,
    type: 'server_error',
    code: 'outcome_unknown',
    message: `Outcome unknown, it ran once or not at all: ${message}`,
  });
}

export function isServicePath(path: string): boolean {
  return PATH_PATTERN.test(path);
}

function sendDone(response: ServerResponse, outcome: OrderDone): void {
  if (response.headersSent || response.destroyed) return;
  const headers = selectHeaders(outcome.headers, UNFORWARDED_ANSWER_HEADERS);
  for (const [name, value] of Object.entries(headers)) {
    if (name !== 'x-request-id') response.setHeader(name, value);
  }
  response.setHeader(OUTCOME_HEADER, 'done');
  response.statusCode = outcome.status;
  response.end(outcome.body);
}

function createNotRunFault(outcome: OrderNotRun): Fault {
  const status = STATUS_BY_REASON[outcome.reason];
  const isClientError = status >= MIN_CLIENT_ERROR_STATUS && status < MIN_SERVER_ERROR_STATUS;
  const fault: Fault = {
    status,
    type: isClientError ? 'invalid_request_error' : 'server_error',
    code: CODE_BY_REASON[outcome.reason],
    message: `${isNotSent(outcome) ? 'Not sent' : 'Not run'}: ${outcome.message}`,
  };
  const { retryAfterSeconds } = outcome;
  return retryAfterSeconds > 0 ? { ...fault, retryAfterSeconds } : fault;
}
