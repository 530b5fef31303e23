/** Records of claimed orders, as stored in the key-value service. */
import * as Crypto from 'node:crypto';

import type { OrderDone, OrderRequest } from '@sequoiarill/types';
import * as Zod from 'zod';

/** The two keys under which an order is claimed. */
export interface ClaimKeys {
  readonly claimKey: string;
  /** Exists while the order may still be in progress. */
  readonly openMarkerKey: string;
}

/** Identifies an order, and detects the reuse of its key for another request. */
export interface ClaimIdentity {
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string;
  /** Hash of the request that is sent to the service. */
  readonly requestHash: string;
  readonly requestId: string;
}

const answerSchema = Zod.strictObject({
  status: Zod.number().int(),
  headers: Zod.record(Zod.string(), Zod.string()),
  /** Base64. */
  body: Zod.string(),
});

/**
 * `sent` is written before the order is sent and means that the order may have run; `done` and
 * `unknown` are its outcomes. `done` without `answer` means that the answer was too large to store.
 */
const recordSchema = Zod.strictObject({
  claimId: Zod.string(),
  requestHash: Zod.string(),
  requestId: Zod.string(),
  router: Zod.string(),
  state: Zod.enum(['sent', 'done', 'unknown']),
  answer: answerSchema.optional(),
});

export type ClaimRecord = Readonly<Zod.infer<typeof recordSchema>>;

/** Larger answers are not stored; see docs/callers/IDEMPOTENCY.md. */
const MAX_STORED_ANSWER_BYTES = 16_384;

/**
 * Hashes the organisation, the service and the idempotency key, which together identify a claim.
 */
export function hashClaimKey(identity: ClaimIdentity): string {
  const parts = [identity.organisation, identity.service, identity.idempotencyKey];
  return Crypto.createHash('sha256').update(JSON.stringify(parts)).digest('hex');
}

/** Covers what a service acts on: method, path, content type and body. */
export function hashRequest(order: OrderRequest): string {
  const head = JSON.stringify([order.method, order.path, order.headers['content-type'] ?? '']);
  return Crypto.createHash('sha256').update(head).update(order.body).digest('hex');
}

export function encodeRecord(record: ClaimRecord): string {
  return JSON.stringify(record);
}

/**
 * `undefined` for a record in another format; its order may have run, and its state is not known.
 */
export function decodeRecord(value: string): ClaimRecord | undefined {
  try {
    const result = recordSchema.safeParse(JSON.parse(value));
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}

/** The part of an answer that is stored; `undefined` if it is too large. */
export function encodeAnswer(done: OrderDone): ClaimRecord['answer'] {
  const body = Buffer.from(done.body).toString('base64');
  const answer = { status: done.status, headers: { ...done.headers }, body };
  return JSON.stringify(answer).length <= MAX_STORED_ANSWER_BYTES ? answer : undefined;
}

export function decodeAnswer(answer: NonNullable<ClaimRecord['answer']>): OrderDone {
  const body = Buffer.from(answer.body, 'base64');
  return { kind: 'done', status: answer.status, headers: answer.headers, body };
}
