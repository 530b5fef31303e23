/** Signatures of calls between routers and of their answers. */
import { createHmac, timingSafeEqual } from 'node:crypto';

export const HEADERS = {
  from: 'x-sequoiarill-from',
  incarnation: 'x-sequoiarill-incarnation',
  counter: 'x-sequoiarill-counter',
  signature: 'x-sequoiarill-signature',
} as const;

export interface SignedCall {
  readonly method: string;
  /** `host:port` that is called, so that a call to one router means nothing to another. */
  readonly to: string;
  readonly path: string;
  readonly from: string;
  readonly incarnation: number;
  /** Rises with each call of an incarnation, so that a repeated call is known as such. */
  readonly counter: number;
  readonly body: string;
}

export interface SignedAnswer {
  /** Binds the answer to its call: an older answer is no answer to this one. */
  readonly callSignature: string;
  readonly status: number;
  readonly body: string;
}

/** The array form keeps a field's end apart from the next one's beginning. */
export function signCall(key: Buffer, call: SignedCall): string {
  const { method, to, path, from, incarnation, counter, body } = call;
  return hashParts(key, ['call', method, to, path, from, incarnation, counter, body]);
}

export function signAnswer(key: Buffer, answer: SignedAnswer): string {
  return hashParts(key, ['answer', answer.callSignature, answer.status, answer.body]);
}

/** In constant time, so that a forger learns nothing from how long a refusal takes. */
export function isSameSignature(given: string, expected: string): boolean {
  const left = Buffer.from(given);
  const right = Buffer.from(expected);
  return left.length === right.length && timingSafeEqual(left, right);
}

function hashParts(key: Buffer, parts: readonly (string | number)[]): string {
  return createHmac('sha256', key).update(JSON.stringify(parts)).digest('base64url');
}
