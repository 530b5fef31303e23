/** Checks whether a response of a target is a complete answer of its own to the given request. */
import type { ForwardingTarget, HeaderNames } from '@sequoiarill/types';

import type { AnswerHead } from '../forwardRequest';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const BAD_REQUEST = 400;
const MISDIRECTED = 421;
/** Statuses that guarantee to a caller that its request did not run and never will. */
const NOT_RUN_CODES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const OTHER_REQUEST = 'answer to another request';
const NO_REQUEST = 'answer without a request id';

export type HeadCheckResult =
  | { readonly kind: 'valid' }
  | { readonly kind: 'notRun'; readonly status: number }
  /** Not the answer to this request, or damaged; the request itself may have run. */
  | { readonly kind: 'invalid'; readonly reason: string };

export function getHeader(head: AnswerHead, name: string): string | undefined {
  const value = head.headers[name];
  return typeof value === 'string' ? value : value?.[0];
}

/**
 * Whether the body has neither a length nor chunked encoding, so that the close of the connection ends it.
 * The target may have crashed, so the body must not be forwarded with a length, which would make it look
 * complete.
 */
export function isCloseDelimited(head: AnswerHead): boolean {
  const hasLength = getHeader(head, 'content-length') !== undefined;
  const isChunked = getHeader(head, 'transfer-encoding') !== undefined;
  return !hasLength && !isChunked && head.status !== NO_CONTENT && head.status !== NOT_MODIFIED;
}

/** Whether the target failed; a 4xx status is caused by the request. */
export function isServerError(status: number): boolean {
  return status >= 500;
}

export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Whether HTTP defines a class for the status of a final answer. */
export function isDefined(status: number): boolean {
  return status >= 200 && status < 600;
}

/** Whether the answer is the target's own, and not of another one that has its address now. */
export function isFromTarget(
  head: AnswerHead,
  { id }: Pick<ForwardingTarget, 'id'>,
  names: Pick<HeaderNames, 'targetId'>,
): boolean {
  if (head.status === MISDIRECTED) return false;
  const answeredBy = getHeader(head, names.targetId);
  return answeredBy === undefined || answeredBy === id;
}

/**
 * Failure: a target sends a second answer to a request in place of the answer to the next request on that
 * connection, and a caller would receive the answer to another caller's request. The echoed request id
 * reveals this. Without an id, only the first answer on a connection is known to belong to its request.
 *
 * Returns why the head belongs to another call; undefined where it may be the answer. `requestId` is undefined for calls
 * of the router itself, which carry none.
 */
export function findMismatch(
  head: AnswerHead,
  requestId: string | undefined,
  names: Pick<HeaderNames, 'requestId'>,
  isFirst: boolean,
): string | undefined {
  const echoed = getHeader(head, names.requestId);
  if (echoed !== undefined) return echoed === requestId ? undefined : OTHER_REQUEST;
  return isFirst || requestId === undefined ? undefined : NO_REQUEST;
}

/** Whether the head is that of a complete answer to the request, where it is the answer to this request at all. */
export function checkHead(
  head: AnswerHead,
  requestId: string,
  names: HeaderNames,
): HeadCheckResult {
  const { status } = head;
  const echoed = getHeader(head, names.requestId);
  if (echoed !== undefined && echoed !== requestId) {
    return { kind: 'invalid', reason: OTHER_REQUEST };
  }
  if (status === MISDIRECTED) return { kind: 'notRun', status };
  if (getHeader(head, names.notRun) !== undefined && status !== BAD_REQUEST) {
    return { kind: 'notRun', status };
  }
  if (!isDefined(status)) return { kind: 'invalid', reason: `undefined status ${status}` };
  if (getHeader(head, 'content-encoding') !== undefined) {
    return { kind: 'invalid', reason: 'encoded body that was not requested' };
  }
  if (echoed === undefined) return { kind: 'invalid', reason: NO_REQUEST };
  if (isSuccess(status) && getHeader(head, names.signature) === undefined) {
    return { kind: 'invalid', reason: 'success without a signature' };
  }
  // Forwarded, the status would give a guarantee that the target did not give.
  if (NOT_RUN_CODES.has(status)) return { kind: 'invalid', reason: `status ${status} after a run` };
  return { kind: 'valid' };
}
