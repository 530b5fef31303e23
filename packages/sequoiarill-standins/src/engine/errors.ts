/** Errors in the format of the published APIs. */
import type { ServerResponse } from 'node:http';

import * as Http from '../shared/http';

export interface EngineError {
  readonly status: number;
  readonly message: string;
  readonly type: string;
  readonly code: string;
  readonly param?: string;
  readonly retryAfterSeconds?: number;
}

export function sendError(response: ServerResponse, error: EngineError): void {
  const { status, message, type, code, param = null, retryAfterSeconds } = error;
  const headers: Http.Headers =
    retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) };
  Http.sendJson(response, status, { error: { message, type, param, code } }, headers);
}

export function buildInvalid(message: string, param: string): EngineError {
  return { status: 400, message, type: 'invalid_request_error', code: 'invalid_request', param };
}

export function buildContextExceeded(contextTokens: number, requestedTokens: number): EngineError {
  return {
    status: 400,
    message: `this model's context is ${contextTokens} tokens, but ${requestedTokens} were requested`,
    type: 'invalid_request_error',
    code: 'context_length_exceeded',
    param: 'messages',
  };
}

export function buildModelNotFound(model: string): EngineError {
  return {
    status: 404,
    message: `the model ${model} is not loaded`,
    type: 'invalid_request_error',
    code: 'model_not_found',
    param: 'model',
  };
}

export function buildRequestNotFound(requestId: string): EngineError {
  return {
    status: 404,
    message: `no generation has the request id ${requestId}`,
    type: 'invalid_request_error',
    code: 'request_not_found',
  };
}

export function buildStaleFencing(key: string): EngineError {
  return {
    status: 409,
    message: `the fencing number is stale: a higher one was received for ${key}`,
    type: 'conflict_error',
    code: 'stale_fencing_number',
    param: 'x-fencing-number',
  };
}

export function buildOverloaded(reason: string): EngineError {
  return {
    status: 503,
    message: `the engine accepts no new work: ${reason}`,
    type: 'service_unavailable',
    code: 'overloaded',
    retryAfterSeconds: 1,
  };
}
