/** What a failed attempt means for the answer. */
import type { StreamRefused, StreamUnreached } from './connection';
import type { ResponseOutcome } from './outcomes';
import type { Position } from './progress';

/** One attempt that did not bring the answer to its end. */
export interface Failure {
  readonly message: string;
  readonly retryAfterSeconds: number | undefined;
  /** Whether the request may have begun to run in this attempt. */
  readonly mayHaveRun: boolean;
}

const NOT_FOUND = 404;
const REQUEST_TIMEOUT = 408;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;

/** Codes by which a router says that nothing ran. */
const NOT_RUN_CODES: readonly string[] = [
  'rate_limit_exceeded',
  'overloaded',
  'no_target',
  'draining',
  'starting',
];

/**
 * Whether another attempt may go better. A response that is not found may be kept by another router
 * behind the same address.
 */
function isTransient(refused: StreamRefused, position: Position): boolean {
  const { status } = refused;
  const isElsewhere = status === NOT_FOUND && position.responseId !== undefined;
  const isBusy = status === TOO_MANY_REQUESTS || status === REQUEST_TIMEOUT;
  return isElsewhere || isBusy || status >= SERVER_ERROR;
}

/** The outcome of a refusal that no further attempt will change. */
export function findFinalOutcome(
  refused: StreamRefused,
  position: Position,
): ResponseOutcome | undefined {
  if (isTransient(refused, position)) return undefined;
  const { code, message, status } = refused;
  if (position.responseId === undefined) return { kind: 'rejected', status, code, message };
  return { kind: 'lost', message, retryAfterSeconds: refused.retryAfterSeconds };
}

export function buildFailure(result: StreamRefused | StreamUnreached): Failure {
  if (result.kind === 'unreached') {
    const { mayHaveArrived, message } = result;
    return { message, retryAfterSeconds: undefined, mayHaveRun: mayHaveArrived };
  }
  const { code, message, retryAfterSeconds } = result;
  return { message, retryAfterSeconds, mayHaveRun: !NOT_RUN_CODES.includes(code) };
}

/** A stream that had begun, so that the request is running or ran. */
export function buildBreak(message: string): Failure {
  return { message, retryAfterSeconds: undefined, mayHaveRun: true };
}

/** The outcome after the last attempt: "not run" is said only when every attempt was refused so. */
export function buildGivenUp(failure: Failure, mayHaveRun: boolean): ResponseOutcome {
  const { message, retryAfterSeconds } = failure;
  return { kind: mayHaveRun ? 'lost' : 'notRun', message, retryAfterSeconds };
}
