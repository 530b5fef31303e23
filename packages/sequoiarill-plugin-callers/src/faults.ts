/** Error responses to callers, in the published format `{error: {message, type, param, code}}`. */
import type { FaultCode } from './faultCodes';

export type FaultType =
  | 'invalid_request_error'
  | 'authentication_error'
  | 'permission_error'
  | 'rate_limit_error'
  | 'server_error';

/** An error response. */
export interface Fault {
  readonly status: number;
  readonly type: FaultType;
  readonly code: FaultCode;
  /** What is wrong and how to fix it. */
  readonly message: string;
  /** Name of the invalid request parameter. */
  readonly param?: string;
  readonly retryAfterSeconds?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A valid value, or the error response to send instead. */
export type ValidationResult<Value> =
  | { readonly kind: 'value'; readonly value: Value }
  | { readonly kind: 'fault'; readonly fault: Fault };

export function createBadRequest(code: FaultCode, message: string, param?: string): Fault {
  const base: Fault = { status: 400, type: 'invalid_request_error', code, message };
  return param === undefined ? base : { ...base, param };
}

/** Identical for a model that does not exist and for one that the organisation may not use. */
export function createUnknownModel(model: string): Fault {
  return {
    status: 404,
    type: 'invalid_request_error',
    code: 'model_not_found',
    message: `The model "${model}" does not exist or your organisation may not use it.`,
    param: 'model',
  };
}

export function createUnknownResponse(id: string): Fault {
  return {
    status: 404,
    type: 'invalid_request_error',
    code: 'response_not_found',
    message: `No response "${id}" is kept here for your organisation.`,
  };
}

export const UNAUTHORISED: Fault = {
  status: 401,
  type: 'authentication_error',
  code: 'invalid_api_key',
  message: 'The API key is missing or wrong; send "Authorization: Bearer sqr_<id>_<secret>".',
  headers: { 'www-authenticate': 'Bearer' },
};

export const UNKNOWN_PATH: Fault = {
  status: 404,
  type: 'invalid_request_error',
  code: 'unknown_path',
  message: 'There is nothing at this path; see docs/callers/API.md.',
};

export const INTERNAL: Fault = {
  status: 500,
  type: 'server_error',
  code: 'internal_error',
  message: 'The router met a fault of its own; the outcome of the request is not known.',
};

export const DRAINING: Fault = {
  status: 503,
  type: 'server_error',
  code: 'draining',
  message: 'This router is stopping; nothing was run. Send the request again.',
  retryAfterSeconds: 1,
  headers: { connection: 'close' },
};

export const STARTING: Fault = {
  status: 503,
  type: 'server_error',
  code: 'starting',
  message: 'This router is starting; nothing was run. Send the request again.',
  retryAfterSeconds: 1,
  headers: { connection: 'close' },
};

export function createMethodNotAllowed(allowed: readonly string[]): Fault {
  return {
    status: 405,
    type: 'invalid_request_error',
    code: 'method_not_allowed',
    message: `Use ${allowed.join(' or ')} at this path.`,
    headers: { allow: allowed.join(', ') },
  };
}

/** Formats the body of an error response, or the `data` of an error event in a stream. */
export function formatFault(fault: Fault): string {
  const { message, type, code, retryAfterSeconds } = fault;
  const error = { message, type, param: fault.param ?? null, code };
  const timed =
    retryAfterSeconds === undefined ? error : { ...error, retry_after_seconds: retryAfterSeconds };
  return JSON.stringify({ error: timed });
}

/** Formats an error with its stack for logs; must not be sent to callers. */
export function formatStack(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
