/**
 * Schemas of the request bodies of the gateway's calls.
 *
 * The gateway accepts field names in snake case and in camel case, 64-bit numbers as text or as
 * numbers, and enumerations by name or by number. An unknown field is refused, so that no test
 * passes because an option was silently ignored.
 */
import * as Zod from 'zod';

function formatSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

/** Converts field names to snake case; `ID` and `TTL` keep their published form. */
function decodeFieldNames(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(decodeFieldNames);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value).map(([name, inner]): [string, unknown] => [
    /^[A-Z]+$/.test(name) ? name : formatSnakeCase(name),
    decodeFieldNames(inner),
  ]);
  return Object.fromEntries(entries);
}

function parseBytes(text: string): Buffer {
  return Buffer.from(text, 'base64');
}

const bytesSchema = Zod.string().transform(parseBytes);
const keySchema = Zod.string().transform((text) => parseBytes(text).toString('latin1'));
const rangeEndSchema = keySchema.transform((key) => (key === '' ? undefined : key)).optional();
/** 64-bit numbers that are compared or counted; in the stand-in they stay far below 2^53. */
const numberSchema = Zod.union([Zod.string().regex(/^-?\d+$/), Zod.number().int()])
  .transform(Number)
  .default(0);
/** 64-bit ids, which exceed the safe integers of a number. */
const idSchema = Zod.union([Zod.string().regex(/^-?\d+$/), Zod.number().int()])
  .transform(String)
  .default('0');
const flagSchema = Zod.boolean().default(false);

/** Accepts an enumeration value by name or by number; the first name is the default. */
function createEnumSchema<const Names extends readonly [string, ...string[]]>(names: Names) {
  return Zod.union([
    Zod.enum(names),
    Zod.number()
      .int()
      .min(0)
      .max(names.length - 1)
      .transform((index) => names[index] as Names[number]),
  ]).default(names[0] as never);
}

const rangeSchema = Zod.strictObject({
  key: keySchema.default(''),
  range_end: rangeEndSchema,
  limit: numberSchema,
  revision: numberSchema,
  /** Accepted without effect, since the stand-in has one replica. */
  serializable: flagSchema,
  keys_only: flagSchema,
  count_only: flagSchema,
  min_mod_revision: numberSchema,
  max_mod_revision: numberSchema,
  sort_order: createEnumSchema(['NONE', 'ASCEND', 'DESCEND']),
  sort_target: createEnumSchema(['KEY', 'VERSION', 'CREATE', 'MOD', 'VALUE']),
});

const putSchema = Zod.strictObject({
  key: keySchema.default(''),
  value: bytesSchema.default(Buffer.alloc(0)),
  lease: idSchema,
  prev_kv: flagSchema,
});

const deleteSchema = Zod.strictObject({
  key: keySchema.default(''),
  range_end: rangeEndSchema,
  prev_kv: flagSchema,
});

const compareSchema = Zod.strictObject({
  key: keySchema.default(''),
  range_end: rangeEndSchema,
  result: createEnumSchema(['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL']),
  target: createEnumSchema(['VERSION', 'CREATE', 'MOD', 'VALUE', 'LEASE']),
  version: numberSchema,
  create_revision: numberSchema,
  mod_revision: numberSchema,
  value: bytesSchema.default(Buffer.alloc(0)),
  lease: idSchema,
});

const operationSchema = Zod.strictObject({
  request_range: rangeSchema.optional(),
  request_put: putSchema.optional(),
  request_delete_range: deleteSchema.optional(),
});

const transactionSchema = Zod.strictObject({
  compare: Zod.array(compareSchema).default([]),
  success: Zod.array(operationSchema).default([]),
  failure: Zod.array(operationSchema).default([]),
});

const watchSchema = Zod.strictObject({
  create_request: Zod.strictObject({
    key: keySchema.default(''),
    range_end: rangeEndSchema,
    start_revision: numberSchema,
    watch_id: idSchema,
    prev_kv: flagSchema,
    progress_notify: flagSchema,
  }),
});

/** Request schemas by path. */
export const SCHEMAS = {
  '/v3/kv/range': rangeSchema,
  '/v3/kv/put': putSchema,
  '/v3/kv/deleterange': deleteSchema,
  '/v3/kv/txn': transactionSchema,
  '/v3/kv/compaction': Zod.strictObject({ revision: numberSchema }),
  '/v3/lease/grant': Zod.strictObject({ TTL: numberSchema, ID: idSchema }),
  '/v3/lease/keepalive': Zod.strictObject({ ID: idSchema }),
  '/v3/lease/revoke': Zod.strictObject({ ID: idSchema }),
  '/v3/lease/timetolive': Zod.strictObject({ ID: idSchema, keys: flagSchema }),
  '/v3/watch': watchSchema,
} as const;

export type PlatformPath = keyof typeof SCHEMAS;
export type RangeRequest = Readonly<Zod.infer<typeof rangeSchema>>;
export type PutRequest = Readonly<Zod.infer<typeof putSchema>>;
export type DeleteRequest = Readonly<Zod.infer<typeof deleteSchema>>;
export type CompareRequest = Readonly<Zod.infer<typeof compareSchema>>;
export type OperationRequest = Readonly<Zod.infer<typeof operationSchema>>;
export type TransactionRequest = Readonly<Zod.infer<typeof transactionSchema>>;
export type WatchRequest = Readonly<Zod.infer<typeof watchSchema>>['create_request'];

export function isPlatformPath(path: string): path is PlatformPath {
  return Object.hasOwn(SCHEMAS, path);
}

export type ParsedBody<Path extends PlatformPath> =
  | { readonly kind: 'body'; readonly body: Zod.infer<(typeof SCHEMAS)[Path]> }
  | { readonly kind: 'invalid'; readonly message: string };

export function parseBody<Path extends PlatformPath>(path: Path, raw: unknown): ParsedBody<Path> {
  const result = SCHEMAS[path].safeParse(decodeFieldNames(raw));
  if (result.success) {
    return { kind: 'body', body: result.data as Zod.infer<(typeof SCHEMAS)[Path]> };
  }
  return { kind: 'invalid', message: Zod.prettifyError(result.error) };
}
