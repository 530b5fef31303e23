/** Messages between routers; both sides check them. */
import * as Zod from 'zod';

import type { DirectoryRecord } from './recordLog';

export const recordsQuestionSchema = Zod.object({
  /** Records above this revision are asked for. */
  afterRevision: Zod.number().int().min(0),
  /** The answer may wait this long for news, milliseconds. */
  waitMs: Zod.number().int().min(0).max(5_000).default(0),
});

const recordSchema = Zod.object({
  key: Zod.string(),
  revision: Zod.number().int(),
  /** Absent: the key was removed at that revision. */
  value: Zod.string().optional(),
});

export const recordsAnswerSchema = Zod.object({
  records: Zod.array(recordSchema),
  /** Everything up to it was seen by the router that answers. */
  seenRevision: Zod.number().int().min(0),
  /** Time since the store last told that router so, milliseconds. */
  ageMs: Zod.number().min(0),
});

export type RecordsQuestion = Zod.infer<typeof recordsQuestionSchema>;
export type RecordsAnswer = Zod.infer<typeof recordsAnswerSchema>;

/** Most that is lent for one question: a repeat, and what a router keeps for its running streams. */
export const MAX_LOAN = 3;

export const loanQuestionSchema = Zod.object({
  service: Zod.string().min(1),
  repeats: Zod.number().min(0).max(MAX_LOAN),
});

export const loanAnswerSchema = Zod.object({
  repeats: Zod.number().min(0).max(MAX_LOAN),
});

export type LoanAnswer = Zod.infer<typeof loanAnswerSchema>;

/** What a question to a peer came to. */
export type PeerAnswer =
  | {
      readonly kind: 'records';
      readonly records: readonly DirectoryRecord[];
      readonly seenRevision: number;
      readonly ageMs: number;
    }
  | { readonly kind: 'failed'; readonly reason: string };
