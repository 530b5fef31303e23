/** What is kept of a claimed order in the key-value service. */
import * as Crypto from 'node:crypto';

import type { OrderDone, OrderRequest } from '@sequoiarill/types';
import * as Zod from 'zod';

/** Where one order is claimed. */
export interface ClaimPlace {
  readonly claimKey: string;
  readonly openKey: string;
}

/** What makes two orders the same one, or a wrong repeat of it. */
export interface ClaimIdentity {
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string;
  /** Digest of what would be sent. */
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
 * `sent` is written before the order is sent, so it says that the order may have run; `done` and
 * `unknown` say how it ended. `done` without an answer: the answer was too large to be kept.
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

/** Larger answers are not kept; see docs/callers/IDEMPOTENCY.md. */
const MAX_ANSWER_BYTES = 16_384;

/** The same for the same key of one organisation at one service, and for nothing else. */
export function hashClaimKey(identity: ClaimIdentity): string {
  const parts = [identity.organisation, identity.service, identity.idempotencyKey];
  return Crypto.createHash('sha256').update(JSON.stringify(parts)).digest('hex');
}

/** Covers what a service would act on: method, path, type of the body and the body. */
export function hashRequest(order: OrderRequest): string {
  const head = JSON.stringify([order.method, order.path, order.headers['content-type'] ?? '']);
  return Crypto.createHash('sha256').update(head).update(order.body).digest('hex');
}

export function encodeRecord(record: ClaimRecord): string {
  return JSON.stringify(record);
}

/** `undefined` for a record of another version: it may have run, and more cannot be known. */
export function decodeRecord(value: string): ClaimRecord | undefined {
  try {
    const result = recordSchema.safeParse(JSON.parse(value));
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}

/** The kept part of an answer; `undefined` if it is too large. */
export function encodeAnswer(done: OrderDone): ClaimRecord['answer'] {
  const body = Buffer.from(done.body).toString('base64');
  const answer = { status: done.status, headers: { ...done.headers }, body };
  return JSON.stringify(answer).length <= MAX_ANSWER_BYTES ? answer : undefined;
}

export function decodeAnswer(answer: NonNullable<ClaimRecord['answer']>): OrderDone {
  const body = Buffer.from(answer.body, 'base64');
  return { kind: 'done', status: answer.status, headers: answer.headers, body };
}
