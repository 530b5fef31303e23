/** `/v1/services/{service}/...`: requests to plain services. */
import type { ServerResponse } from 'node:http';

import * as Kernel from '@sequoiarill/kernel';
import type { OrderDone, OrderNotRun, OrderOutcome, OrderRequest } from '@sequoiarill/types';

import * as Bodies from './bodies';
import type { Exchange, Front } from './exchange';
import type { FaultCode } from './faultCodes';
import * as Faults from './faults';
import type { Fault } from './faults';
import * as Refusals from './refusals';

const BAD_GATEWAY = 502;
const OUTCOME_HEADER = 'x-sequoiarill-outcome';
const PATH_PATTERN = /^\/v1\/services\/([^/]+)(\/.*)?$/;

/** Set anew for the next connection, or meant for this router alone. */
const OWN_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'content-length',
  'expect',
  'host',
]);
/** The body is whole here, so its length is known anew. */
const OWN_ANSWER_HEADERS: ReadonlySet<string> = new Set(['content-length', OUTCOME_HEADER]);

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

/** Taken as a key, it would tie unrelated orders together; as none, it would drop the guard. */
const EMPTY_KEY: Fault = Faults.createInvalid(
  'invalid_value',
  'The header "Idempotency-Key" is empty; send a key of your own or leave it out.',
);

const CLIENT_ERROR = 400;
const SERVER_ERROR = 500;

export async function handleService(front: Front, exchange: Exchange): Promise<void> {
  const body = await Bodies.readBody(exchange.request, front.settings.maxBodyBytes);
  if (body.kind === 'fault') {
    markNotRun(exchange.response);
    Refusals.refuseRequest(front, exchange, body.fault);
    return;
  }
  const order = buildOrder(exchange, body.value);
  if (order.idempotencyKey === '') {
    markNotRun(exchange.response);
    Refusals.refuseRequest(front, exchange, EMPTY_KEY);
    return;
  }
  front.context.journal.recordDecision(exchange.requestId, 'accepted', 'order', {
    organisation: order.organisation.name,
    service: order.service,
    method: order.method,
  });
  const outcome = await runOrder(front, order);
  sendOutcome(front, exchange, outcome);
}

/** A service of another organisation and one that does not exist look alike. */
async function runOrder(front: Front, order: OrderRequest): Promise<OrderOutcome> {
  if (order.organisation.services.includes(order.service)) return front.orders.runOrder(order);
  const message = `The service "${order.service}" does not exist or your organisation may not use it.`;
  return { kind: 'notRun', reason: 'unknownService', message, retryAfterSeconds: 0 };
}

function buildOrder(exchange: Exchange, body: Buffer): OrderRequest {
  const { request, requestId, organisation, closed } = exchange;
  const match = PATH_PATTERN.exec(exchange.path);
  const headers = selectHeaders(request.headers, OWN_REQUEST_HEADERS);
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
  own: ReadonlySet<string>,
): Readonly<Record<string, string>> {
  const connection = String(headers.connection ?? '').toLowerCase();
  const named = new Set(connection.split(',').map((name) => name.trim()));
  const selected: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isOwn = Kernel.HOP_BY_HOP_HEADERS.has(name) || named.has(name) || own.has(name);
    if (value !== undefined && !isOwn) selected[name] = String(value);
  }
  return selected;
}

/**
 * Reasons that are true of this request only. An earlier one with the same key may have run or still
 * runs, and a caller who reads "not run" as true of the order would send it again under a new key.
 */
const NOT_SENT_REASONS: ReadonlySet<OrderNotRun['reason']> = new Set([
  'inProgress',
  'platformAway',
]);

function isNotSent(outcome: OrderNotRun): boolean {
  return NOT_SENT_REASONS.has(outcome.reason);
}

type NotRunMark = 'not-run' | 'not-sent';

function markNotRun(response: ServerResponse, mark: NotRunMark = 'not-run'): void {
  if (!response.headersSent) response.setHeader(OUTCOME_HEADER, mark);
}

function sendOutcome(front: Front, exchange: Exchange, outcome: OrderOutcome): void {
  if (outcome.kind === 'done') {
    front.context.journal.recordDecision(exchange.requestId, 'finished', 'done', {
      status: outcome.status,
    });
    sendDone(exchange.response, outcome);
    return;
  }
  if (outcome.kind === 'notRun') {
    markNotRun(exchange.response, isNotSent(outcome) ? 'not-sent' : 'not-run');
    Refusals.refuseRequest(front, exchange, createNotRunFault(outcome));
    return;
  }
  if (!exchange.response.headersSent) exchange.response.setHeader(OUTCOME_HEADER, 'unknown');
  Refusals.refuseRequest(front, exchange, {
    status: BAD_GATEWAY,
    type: 'server_error',
    code: 'outcome_unknown',
    message: `Outcome unknown, it ran once or not at all: ${outcome.message}`,
  });
}

function sendDone(response: ServerResponse, outcome: OrderDone): void {
  if (response.headersSent || response.destroyed) return;
  const headers = selectHeaders(outcome.headers, OWN_ANSWER_HEADERS);
  for (const [name, value] of Object.entries(headers)) {
    if (name !== 'x-request-id') response.setHeader(name, value);
  }
  response.setHeader(OUTCOME_HEADER, 'done');
  response.statusCode = outcome.status;
  response.end(outcome.body);
}

function createNotRunFault(outcome: OrderNotRun): Fault {
  const status = STATUS_BY_REASON[outcome.reason];
  const isCallers = status >= CLIENT_ERROR && status < SERVER_ERROR;
  const fault: Fault = {
    status,
    type: isCallers ? 'invalid_request_error' : 'server_error',
    code: CODE_BY_REASON[outcome.reason],
    message: `${isNotSent(outcome) ? 'Not sent' : 'Not run'}: ${outcome.message}`,
  };
  const { retryAfterSeconds } = outcome;
  return retryAfterSeconds > 0 ? { ...fault, retryAfterSeconds } : fault;
}
