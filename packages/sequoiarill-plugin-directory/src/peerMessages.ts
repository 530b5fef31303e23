/** Messages between routers, validated on both sides. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  ContactReply,
  ContentBlock,
  ObservedLimit,
  OriginReply,
  GrantedPermits,
  PermitsRequest,
  RolloutGuidance,
  RolloutReport,
} from '@sequoiarill/types';
import * as Zod from 'zod';

import type { DirectoryRecord } from './recordCache';

export const recordsRequestSchema = Zod.object({
  /** Records above this revision number are requested. */
  afterRevision: Zod.number().int().min(0),
  /** Era of that number; routers of earlier builds know of no eras and send none. */
  afterEra: Zod.number().int().min(0).optional(),
  /** How long the response may wait for updates, in milliseconds. */
  waitMs: Zod.number().int().min(0).max(5_000).default(0),
  /**
   * Age of the confirmation that the requesting router has. A newer one is reported at once; routers of earlier
   * builds send none.
   */
  ageMs: Zod.number().min(0).optional(),
});

/** Limit of records in one response, about 60 KB. */
export const MAX_RECORDS = 200;
/** Reported as the age when no state was received from the store yet. */
export const MAX_REPORTED_AGE_MS = 3_600_000;

const recordSchema = Zod.object({
  key: Zod.string(),
  /** Number of the revision within its era. */
  revision: Zod.number().int(),
  era: Zod.number().int().min(0).default(0),
  /** Absent if the key was removed at that revision. */
  value: Zod.string().optional(),
});

export const recordsResponseSchema = Zod.object({
  records: Zod.array(recordSchema),
  /** The responding router has seen all changes up to this revision number of this era. */
  seenRevision: Zod.number().int().min(0),
  seenEra: Zod.number().int().min(0).default(0),
  /** Whether more records follow. */
  isTruncated: Zod.boolean().default(false),
  /** Time since the store last confirmed this to the responding router, in milliseconds. */
  ageMs: Zod.number().min(0),
  /** How long the request was held here; routers of earlier builds do not report it. */
  heldMs: Zod.number().min(0).optional(),
});

export type RecordsRequest = Zod.infer<typeof recordsRequestSchema>;
export type RecordsResponse = Zod.infer<typeof recordsResponseSchema>;

const { buildRevision, getEra, getNumber } = Kernel.Revisions;

/** What one router requests of another. */
export interface RecordsQuery {
  /** Records above this revision are requested. */
  readonly afterRevision: number;
  /** How long the peer may wait for updates, in milliseconds. */
  readonly waitMs?: number;
  /** Age of the confirmation here, in milliseconds; a newer one ends the wait. */
  readonly ageMs?: number;
}

export function encodeRecordsRequest(query: RecordsQuery): RecordsRequest {
  const { afterRevision, waitMs = 0, ageMs } = query;
  return {
    afterRevision: getNumber(afterRevision),
    afterEra: getEra(afterRevision),
    waitMs,
    ...(ageMs === undefined ? {} : { ageMs: Math.min(MAX_REPORTED_AGE_MS, ageMs) }),
  };
}

/** `seenRevision`: of this router, in whose era a request without one is meant. */
export function decodeAfterRevision(request: RecordsRequest, seenRevision: number): number {
  return buildRevision(request.afterEra ?? getEra(seenRevision), request.afterRevision);
}

export function encodeRecords(
  records: Omit<Extract<RecordsOutcome, { kind: 'records' }>, 'kind'>,
): RecordsResponse {
  const { seenRevision, ...rest } = records;
  return {
    ...rest,
    records: records.records.map(({ revision, ...record }) => ({
      ...record,
      revision: getNumber(revision),
      era: getEra(revision),
    })),
    seenRevision: getNumber(seenRevision),
    seenEra: getEra(seenRevision),
  };
}

/** Throws if the response is invalid. */
export function decodeRecords(response: unknown): RecordsOutcome {
  const { records, seenRevision, seenEra, heldMs, ...rest } = recordsResponseSchema.parse(response);
  return {
    ...rest,
    ...(heldMs === undefined ? {} : { heldMs }),
    kind: 'records',
    seenRevision: buildRevision(seenEra, seenRevision),
    records: records.map(({ key, revision: number, era, value }) => {
      const revision = buildRevision(era, number);
      return value === undefined ? { key, revision } : { key, revision, value };
    }),
  };
}

/**
 * Limit of retry quota granted per request: one retry, plus the reserve of a router for its running
 * streams.
 */
export const MAX_RETRY_QUOTA = 3;

export const retryQuotaRequestSchema = Zod.object({
  service: Zod.string().min(1),
  repeats: Zod.number().min(0).max(MAX_RETRY_QUOTA),
});

export const retryQuotaResponseSchema = Zod.object({
  repeats: Zod.number().min(0).max(MAX_RETRY_QUOTA),
});

/** Limit of rows in one report. A router uses few targets of a version that is being rolled out. */
export const MAX_TALLIES = 200;
const MAX_LATENCY_CLASSES = 32;

const tallySchema = Zod.object({
  route: Zod.string(),
  target: Zod.string().optional(),
  failures: Zod.number().int().min(0),
  byLatency: Zod.array(Zod.number().int().min(0)).max(MAX_LATENCY_CLASSES),
  waiting: Zod.array(Zod.number().int().min(0)).max(MAX_LATENCY_CLASSES),
});

export const reportRequestSchema = Zod.object({
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

/** Limits of crashes in one report and of blocks in one exchange. */
export const MAX_CRASHES = 100;
export const MAX_BLOCKS = 200;
const MAX_NAME_LENGTH = 200;

const contentSchema = Zod.string().regex(/^[0-9a-f]{16}$/);

export const crashesRequestSchema = Zod.object({
  crashes: Zod.array(
    Zod.object({
      content: contentSchema,
      target: Zod.string().max(MAX_NAME_LENGTH),
      ageMs: Zod.number().min(0),
    }),
  ).max(MAX_CRASHES),
});

export const answersRequestSchema = Zod.object({
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

export const brittleReportSchema = Zod.object({
  service: Zod.string().min(1).max(MAX_NAME_LENGTH),
  ageMs: Zod.number().min(0),
});

/** Limit of records in one report, about 40 KB. */
export const MAX_ORIGINS = 200;
const MAX_SERVICES = 50;
const MAX_MODELS_LENGTH = 2_000;

const originSchema = Zod.object({
  service: Zod.string().min(1).max(MAX_NAME_LENGTH),
  version: Zod.string().max(MAX_NAME_LENGTH),
  models: Zod.string().max(MAX_MODELS_LENGTH),
  /** Missing in messages of older versions. */
  target: Zod.string().max(MAX_NAME_LENGTH).optional(),
});

const streamKeySchema = Zod.object({
  organisation: Zod.string().max(MAX_NAME_LENGTH),
  requestId: Zod.string().max(MAX_NAME_LENGTH),
});

export const originsRequestSchema = Zod.object({
  records: Zod.array(
    streamKeySchema.extend({
      origin: originSchema,
      ageMs: Zod.number().min(0),
      leftMs: Zod.number().min(0),
    }),
  ).max(MAX_ORIGINS),
});

export const originQuerySchema = streamKeySchema.extend({
  services: Zod.array(Zod.string().max(MAX_NAME_LENGTH)).max(MAX_SERVICES),
});

export const originReplySchema = Zod.discriminatedUnion('kind', [
  Zod.object({ kind: Zod.literal('unknown') }),
  Zod.object({
    kind: Zod.literal('found'),
    origin: originSchema,
    source: Zod.enum(['memory', 'onlyBuild']),
    ageMs: Zod.number().min(0).optional(),
    isVerified: Zod.boolean().default(false),
  }),
]);

/** Throws if the response is invalid. */
export function decodeOriginReply(response: unknown): OriginReply {
  const reply = originReplySchema.parse(response);
  if (reply.kind === 'unknown') return reply;
  const { ageMs, ...found } = reply;
  return ageMs === undefined ? found : { ...found, ageMs };
}

export const contactQuerySchema = Zod.object({
  service: Zod.string().min(1).max(MAX_NAME_LENGTH),
});

const contactReplySchema = Zod.object({ heardAgeMs: Zod.number().min(0).optional() });

/** Throws if the response is invalid. */
export function decodeContactReply(response: unknown): ContactReply {
  const { heardAgeMs } = contactReplySchema.parse(response);
  return heardAgeMs === undefined ? {} : { heardAgeMs };
}

const observedLimitSchema = Zod.object({
  perSecond: Zod.number().min(0).optional(),
  ageMs: Zod.number().min(0),
});

export const permitsRequestSchema = Zod.object({
  life: Zod.string().max(MAX_NAME_LENGTH),
  zone: Zod.string().max(MAX_NAME_LENGTH),
  wanted: Zod.number().int().min(0).max(1),
  known: observedLimitSchema,
});

export const grantedPermitsSchema = Zod.object({
  permits: Zod.number().int().min(0).max(1),
  known: observedLimitSchema.optional(),
});

function decodeObservedLimit({
  ageMs,
  perSecond,
}: Zod.infer<typeof observedLimitSchema>): ObservedLimit {
  return perSecond === undefined ? { ageMs } : { ageMs, perSecond };
}

export function decodePermitsRequest({
  known,
  ...request
}: Zod.infer<typeof permitsRequestSchema>): PermitsRequest {
  return { ...request, known: decodeObservedLimit(known) };
}

/** Throws if the response is invalid. */
export function decodeGrantedPermits(response: unknown): GrantedPermits {
  const { permits, known } = grantedPermitsSchema.parse(response);
  return known === undefined ? { permits } : { permits, known: decodeObservedLimit(known) };
}

/** The last blocks are the ones learned most recently, and the most relevant. */
export function encodeBlocks(blocks: readonly ContentBlock[]): Zod.infer<typeof blocksSchema> {
  return { blocks: blocks.slice(-MAX_BLOCKS) };
}

export type RetryQuotaResponse = Zod.infer<typeof retryQuotaResponseSchema>;

/** Outcome of a request for the records of a peer. */
export type RecordsOutcome =
  | {
      readonly kind: 'records';
      readonly records: readonly DirectoryRecord[];
      readonly seenRevision: number;
      /** Age of the peer's confirmation when it responded, in milliseconds. */
      readonly ageMs: number;
      /** How long the peer held the request, in milliseconds; undefined if it does not report it. */
      readonly heldMs?: number;
      /** Whether the peer has more records for the same request. */
      readonly isTruncated: boolean;
    }
  | { readonly kind: 'failed'; readonly reason: string };

export function encodeReport(report: RolloutReport): Zod.infer<typeof reportRequestSchema> {
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
}: Zod.infer<typeof reportRequestSchema>): RolloutReport {
  return {
    ...report,
    tallies: tallies.map(({ target, ...tally }) =>
      target === undefined ? tally : { ...tally, target },
    ),
  };
}

/** Throws if the response is invalid. */
export function decodeGuidance(response: unknown): RolloutGuidance {
  const { state, ...guidance } = guidanceSchema.parse(response);
  return state === undefined ? guidance : { ...guidance, state };
}
