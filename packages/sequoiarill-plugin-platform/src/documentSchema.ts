/**
 * Schema of one section of the configuration document. A section belongs to one team and consists
 * of maps by name instead of lists, so that changing one entry changes one key path.
 */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

/** Priorities range from 0, served first, to 9, refused first under overload. */
const PRIORITY_MAX = 9;
const WEIGHT_MAX = 1_000;
const TOKENS_MAX = 10_000_000;
const SLOTS_MAX = 100_000;
const TIMEOUT_MAX_MS = 600_000;

/** Medium priority, for organisations that set none. */
const DEFAULT_PRIORITY = 5;
const DEFAULT_WEIGHT = 1;
/** Enough for a few pages of text. */
const DEFAULT_OUTPUT_TOKENS = 4_096;
const DEFAULT_SERVICE_TIMEOUT_MS = 10_000;
/** Methods that the HTTP specification defines as idempotent. */
const IDEMPOTENT_METHODS = ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'];

const NAME_HINT =
  'use letters, digits and . _ : / -, at most 128, beginning with a letter or digit';
const nameSchema = Zod.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$/, NAME_HINT);
const SECTION_HINT = 'use lower-case letters, digits and dashes, at most 64';

/** Section names are used in keys and on command lines. */
export const sectionNameSchema = Zod.string().regex(/^[a-z0-9][a-z0-9-]{0,63}$/, SECTION_HINT);

const hexSchema = Zod.string().regex(/^([0-9a-f]{2})+$/, 'use lower-case hexadecimal');
const HASH_HINT = 'use the hexadecimal SHA-256 that "sequoiarill config key" prints';
const hashSchema = Zod.string().regex(/^[0-9a-f]{64}$/, HASH_HINT);

const modelSchema = Zod.strictObject({
  version: Zod.string().min(1),
  adapter: Zod.string().min(1).optional(),
  contextTokens: Zod.int().min(1).max(TOKENS_MAX),
  maxOutputTokens: Zod.int().min(1).max(TOKENS_MAX).default(DEFAULT_OUTPUT_TOKENS),
});

const keySchema = Zod.strictObject({
  id: Zod.string().regex(/^[a-z0-9]{1,64}$/, 'use lower-case letters and digits'),
  salt: hexSchema,
  hash: hashSchema,
});

const limitsSchema = Zod.strictObject({
  tokensPerSecond: Zod.number().positive().optional(),
  concurrentRequests: Zod.int().min(1).optional(),
});

const organisationSchema = Zod.strictObject({
  models: Zod.array(nameSchema).default([]),
  services: Zod.array(nameSchema).default([]),
  keys: Zod.array(keySchema).default([]),
  priority: Zod.int().min(0).max(PRIORITY_MAX).default(DEFAULT_PRIORITY),
  weight: Zod.number().positive().max(WEIGHT_MAX).default(DEFAULT_WEIGHT),
  limits: limitsSchema.default({}),
  preference: Zod.enum(['resumeLatency', 'resourceUse']).default('resumeLatency'),
});

const serviceSchema = Zod.strictObject({
  checksIdempotencyKey: Zod.boolean().default(false),
  idempotentMethods: Zod.array(
    Zod.string().regex(/^[A-Z]+$/, 'use an upper-case HTTP method'),
  ).default(IDEMPOTENT_METHODS),
  timeoutMs: Zod.int().min(1).max(TIMEOUT_MAX_MS).default(DEFAULT_SERVICE_TIMEOUT_MS),
});

const engineSchema = Zod.strictObject({
  address: Kernel.addressSchema,
  models: Zod.array(nameSchema).min(1),
  slots: Zod.int().min(1).max(SLOTS_MAX),
  checksFencing: Zod.boolean().default(false),
});

const serviceTargetSchema = Zod.strictObject({
  address: Kernel.addressSchema,
  service: nameSchema,
});

const vmSchema = Zod.strictObject({
  zone: nameSchema,
  state: Zod.enum(['live', 'leaving']).default('live'),
  engines: Zod.record(nameSchema, engineSchema).default({}),
  services: Zod.record(nameSchema, serviceTargetSchema).default({}),
});

export const sectionSchema = Zod.strictObject({
  models: Zod.record(nameSchema, modelSchema).default({}),
  organisations: Zod.record(nameSchema, organisationSchema).default({}),
  services: Zod.record(nameSchema, serviceSchema).default({}),
  vms: Zod.record(nameSchema, vmSchema).default({}),
});

export type SectionContent = Readonly<Zod.infer<typeof sectionSchema>>;

/** Record of the platform's own list of VMs. */
export const vmRecordSchema = Zod.object({ state: Zod.enum(['live', 'leaving']) });
