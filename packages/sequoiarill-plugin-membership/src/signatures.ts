/** Signatures of calls between routers and of their responses. */
import { createHmac, timingSafeEqual } from 'node:crypto';

export const HEADERS = {
  from: 'x-sequoiarill-from',
  incarnation: 'x-sequoiarill-incarnation',
  counter: 'x-sequoiarill-counter',
  signature: 'x-sequoiarill-signature',
} as const;

export interface SignedCall {
  readonly method: string;
  /** `host:port` of the receiver, so that a call to one router is invalid at another. */
  readonly to: string;
  readonly path: string;
  readonly from: string;
  readonly incarnation: number;
  /** Increases with each call of an incarnation, so that a replayed call is detected. */
  readonly counter: number;
  readonly body: string;
}

export interface SignedResponse {
  /** Binds the response to its call, so that the response to an earlier call is invalid. */
  readonly callSignature: string;
  readonly status: number;
  readonly body: string;
}

/** Signs the fields as a JSON array, which keeps their boundaries unambiguous. */
export function signCall(key: Buffer, call: SignedCall): string {
  const { method, to, path, from, incarnation, counter, body } = call;
  return computeHmac(key, ['call', method, to, path, from, incarnation, counter, body]);
}

export function signResponse(key: Buffer, response: SignedResponse): string {
  return computeHmac(key, ['answer', response.callSignature, response.status, response.body]);
}

/** Compares in constant time, so that the duration reveals nothing about the expected signature. */
export function isSameSignature(received: string, expected: string): boolean {
  const left = Buffer.from(received);
  const right = Buffer.from(expected);
  return left.length === right.length && timingSafeEqual(left, right);
}

function computeHmac(key: Buffer, fields: readonly (string | number)[]): string {
  return createHmac('sha256', key).update(JSON.stringify(fields)).digest('base64url');
}
