/** Messages between routers; both sides check them. */
import type {
  ContentBlock,
  ObservedLimit,
  GrantedPermits,
  PermitsRequest,
  RolloutGuidance,
  RolloutReport,
} from '@sequoiarill/types';
import * as Zod from 'zod';

import type { DirectoryRecord } from './recordLog';

export const recordsQuestionSchema = Zod.object({
  /** Records above this revision are asked for. */
  afterRevision: Zod.number().int().min(0),
  /** The answer may wait this long for news, milliseconds. */
  waitMs: Zod.number().int().min(0).max(5_000).default(0),
});

/** Records of one answer, about 60 KB. */
export const MAX_RECORDS = 200;
/** Age of what was never told, milliseconds. */
export const MAX_AGE_MS = 3_600_000;

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

/** Most rows of one report: a router sees few targets of a version on probation. */
export const MAX_TALLIES = 200;
const MAX_CLASSES = 32;

const tallySchema = Zod.object({
  route: Zod.string(),
  target: Zod.string().optional(),
  failures: Zod.number().int().min(0),
  byLatency: Zod.array(Zod.number().int().min(0)).max(MAX_CLASSES),
  waiting: Zod.array(Zod.number().int().min(0)).max(MAX_CLASSES),
});

export const reportQuestionSchema = Zod.object({
  service: Zod.string().min(1),
  orderRevision: Zod.number().int().min(0),
  router: Zod.string().min(1),
  elapsedMs: Zod.number().min(0),
  leaving: Zod.number().int().min(0),
  tallies: Zod.array(tallySchema).max(MAX_TALLIES),
});

export const guidanceSchema = Zod.object({
  isHalted: Zod.boolean(),
  avoided: Zod.array(Zod.string()),
  state: Zod.object({ revision: Zod.number().int(), value: Zod.string() }).optional(),
});

/** Most crashes of one report, and most blocks of one exchange. */
export const MAX_CRASHES = 100;
export const MAX_BLOCKS = 200;
const MAX_NAME_LENGTH = 200;

const contentSchema = Zod.string().regex(/^[0-9a-f]{16}$/);

export const crashesQuestionSchema = Zod.object({
  crashes: Zod.array(
    Zod.object({
      content: contentSchema,
      target: Zod.string().max(MAX_NAME_LENGTH),
      ageMs: Zod.number().min(0),
    }),
  ).max(MAX_CRASHES),
});

export const answersQuestionSchema = Zod.object({
  answers: Zod.array(Zod.object({ content: contentSchema, ageMs: Zod.number().min(0) })).max(
    MAX_CRASHES,
  ),
});

export const blocksSchema = Zod.object({
  blocks: Zod.array(
    Zod.object({
      content: contentSchema,
      firstAgeMs: Zod.number().min(0),
      lastAgeMs: Zod.number().min(0),
    }),
  ).max(MAX_BLOCKS),
});

const knownLimitSchema = Zod.object({
  perSecond: Zod.number().min(0).optional(),
  ageMs: Zod.number().min(0),
});

export const permitsQuestionSchema = Zod.object({
  life: Zod.string().max(MAX_NAME_LENGTH),
  zone: Zod.string().max(MAX_NAME_LENGTH),
  wanted: Zod.number().int().min(0).max(1),
  known: knownLimitSchema,
});

export const lentPermitsSchema = Zod.object({
  permits: Zod.number().int().min(0).max(1),
  known: knownLimitSchema.optional(),
});

function decodeKnown({ ageMs, perSecond }: Zod.infer<typeof knownLimitSchema>): ObservedLimit {
  return perSecond === undefined ? { ageMs } : { ageMs, perSecond };
}

export function decodePermitsQuestion({
  known,
  ...question
}: Zod.infer<typeof permitsQuestionSchema>): PermitsRequest {
  return { ...question, known: decodeKnown(known) };
}

/** Throws on what is no answer. */
export function decodeLentPermits(answer: unknown): GrantedPermits {
  const { permits, known } = lentPermitsSchema.parse(answer);
  return known === undefined ? { permits } : { permits, known: decodeKnown(known) };
}

/** The newest are learned last, and matter most. */
export function encodeBlocks(blocks: readonly ContentBlock[]): Zod.infer<typeof blocksSchema> {
  return { blocks: blocks.slice(-MAX_BLOCKS) };
}

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

export function encodeReport(report: RolloutReport): Zod.infer<typeof reportQuestionSchema> {
  const tallies = report.tallies.slice(0, MAX_TALLIES);
  return {
    ...report,
    tallies: tallies.map((tally) => ({
      ...tally,
      byLatency: [...tally.byLatency],
      waiting: [...tally.waiting],
    })),
  };
}

export function decodeReport({
  tallies,
  ...report
}: Zod.infer<typeof reportQuestionSchema>): RolloutReport {
  return {
    ...report,
    tallies: tallies.map(({ target, ...tally }) =>
      target === undefined ? tally : { ...tally, target },
    ),
  };
}

/** Throws on what is no guidance. */
export function decodeGuidance(answer: unknown): RolloutGuidance {
  const { state, ...guidance } = guidanceSchema.parse(answer);
  return state === undefined ? guidance : { ...guidance, state };
}
