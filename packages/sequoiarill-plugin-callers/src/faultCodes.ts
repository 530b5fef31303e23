/** All codes of error responses; a test checks that docs/callers/ERRORS.md documents each. */
export const FAULT_CODES = [
  'invalid_json',
  'invalid_value',
  'unsupported_parameter',
  'request_rejected',
  'malformed_request',
  'broken_body',
  'invalid_cursor',
  'past_the_end',
  'events_not_kept',
  'not_streamed',
  'invalid_api_key',
  'model_not_found',
  'unknown_service',
  'response_not_found',
  'unknown_path',
  'method_not_allowed',
  'request_timeout',
  'in_progress',
  'body_too_large',
  'idempotency_key_reused',
  'rate_limit_exceeded',
  'headers_too_large',
  'request_cancelled',
  'internal_error',
  'outcome_unknown',
  'overloaded',
  'no_target',
  'platform_away',
  'draining',
  'starting',
  'generation_lost',
] as const;

export type FaultCode = (typeof FAULT_CODES)[number];

/** Codes in a failed response object; the published API defines a closed set of them. */
export const RESPONSE_ERROR_CODES = ['server_error', 'invalid_prompt'] as const;

export type ResponseErrorCode = (typeof RESPONSE_ERROR_CODES)[number];
