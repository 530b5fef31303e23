/** Whether what came from a target is its own whole answer to this very request. */
import type { HeaderNames } from '@sequoiarill/types';

import type { AnswerHead } from '../forwardRequest';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const BAD_REQUEST = 400;
const MISDIRECTED = 421;
/** Statuses that promise a caller that its request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export type HeadVerdict =
  | { readonly kind: 'own' }
  | { readonly kind: 'notRun'; readonly status: number }
  /** Not this request's answer, or damaged; the request itself may have run. */
  | { readonly kind: 'spoiled'; readonly reason: string };

export function getHeader(head: AnswerHead, name: string): string | undefined {
  const value = head.headers[name];
  return typeof value === 'string' ? value : value?.[0];
}

/**
 * Whether the body has neither a length nor chunks and ends with its connection. Its end may be that of
 * a target that crashed, so it must not be passed on with a length, which would make it look whole.
 */
export function isCloseDelimited(head: AnswerHead): boolean {
  const hasLength = getHeader(head, 'content-length') !== undefined;
  const isChunked = getHeader(head, 'transfer-encoding') !== undefined;
  return !hasLength && !isChunked && head.status !== NO_CONTENT && head.status !== NOT_MODIFIED;
}

/** The target failed; 4xx answers lie in the request. */
export function isServerError(status: number): boolean {
  return status >= 500;
}

export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/**
 * Failure: a target sends a second answer later, where the answer to the next request on that
 * connection is due, and one caller would get another's answer. The echoed request id tells.
 */
export function checkHead(head: AnswerHead, requestId: string, names: HeaderNames): HeadVerdict {
  const { status } = head;
  const echoed = getHeader(head, names.requestId);
  if (echoed !== undefined && echoed !== requestId) {
    return { kind: 'spoiled', reason: 'answer to another request' };
  }
  if (status === MISDIRECTED) return { kind: 'notRun', status };
  if (getHeader(head, names.notRun) !== undefined && status !== BAD_REQUEST) {
    return { kind: 'notRun', status };
  }
  if (getHeader(head, 'content-encoding') !== undefined) {
    return { kind: 'spoiled', reason: 'encoded body, which was not asked for' };
  }
  if (echoed === undefined) return { kind: 'spoiled', reason: 'answer without a request id' };
  if (isSuccess(status) && getHeader(head, names.signature) === undefined) {
    return { kind: 'spoiled', reason: 'success without a signature' };
  }
  // Passed on it would promise what the target did not say.
  if (PROMISES.has(status)) return { kind: 'spoiled', reason: `status ${status} after a run` };
  return { kind: 'own' };
}
