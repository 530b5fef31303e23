/**
 * Classifies failed attempts: whether to retry, and with which outcome the response ends otherwise.
 */
import type { StreamRefused, StreamUnreachable } from './connection';
import type { ResponseOutcome } from './outcomes';
import type { Position } from './progress';

/** An attempt that ended before the response was complete. */
export interface AttemptFailure {
  readonly message: string;
  readonly retryAfterSeconds: number | undefined;
  /** Whether the server may have started to process the request in this attempt. */
  readonly mayHaveRun: boolean;
}

const HTTP_NOT_FOUND = 404;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVER_ERROR = 500;

/** Error codes with which a router guarantees that the request was not processed. */
const NOT_RUN_CODES: readonly string[] = [
  'rate_limit_exceeded',
  'overloaded',
  'no_target',
  'draining',
  'starting',
];

/**
 * Whether another attempt may succeed. A response that is not found may be stored at another router
 * behind the same address.
 */
function isRetryable(refused: StreamRefused, position: Position): boolean {
  const { status } = refused;
  const mayBeElsewhere = status === HTTP_NOT_FOUND && position.responseId !== undefined;
  const isBusy = status === HTTP_TOO_MANY_REQUESTS || status === HTTP_REQUEST_TIMEOUT;
  return mayBeElsewhere || isBusy || status >= HTTP_SERVER_ERROR;
}

/** Returns the outcome for a refusal that further attempts cannot change, or undefined to retry. */
export function findFinalOutcome(
  refused: StreamRefused,
  position: Position,
): ResponseOutcome | undefined {
  if (isRetryable(refused, position)) return undefined;
  const { code, message, status } = refused;
  if (position.responseId === undefined) return { kind: 'rejected', status, code, message };
  return { kind: 'lost', message, retryAfterSeconds: refused.retryAfterSeconds };
}

export function buildFailure(result: StreamRefused | StreamUnreachable): AttemptFailure {
  if (result.kind === 'unreached') {
    const { mayHaveArrived, message } = result;
    return { message, retryAfterSeconds: undefined, mayHaveRun: mayHaveArrived };
  }
  const { code, message, retryAfterSeconds } = result;
  return { message, retryAfterSeconds, mayHaveRun: !NOT_RUN_CODES.includes(code) };
}

/** Builds the failure of a stream that broke after it was opened, so the request may have run. */
export function buildStreamFailure(message: string): AttemptFailure {
  return { message, retryAfterSeconds: undefined, mayHaveRun: true };
}

/** Builds the outcome after the last attempt; `notRun` only if no attempt can have run. */
export function buildExhaustedOutcome(
  failure: AttemptFailure,
  mayHaveRun: boolean,
): ResponseOutcome {
  const { message, retryAfterSeconds } = failure;
  return { kind: mayHaveRun ? 'lost' : 'notRun', message, retryAfterSeconds };
}
