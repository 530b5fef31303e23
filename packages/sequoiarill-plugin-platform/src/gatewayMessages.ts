/**
 * Messages of the etcd v3 JSON gateway, as published in its API reference. Keys and values are
 * base64, 64-bit integers are strings, and responses omit fields that have their default value.
 */
import type { KeyChange, KeyValueEntry } from '@sequoiarill/types';
import * as Zod from 'zod';

/**
 * Numbers lose precision from 16 digits on. Lease ids reach that length; revisions stay far below.
 */
const int64Schema = Zod.union([Zod.string(), Zod.number()]).transform(String);
const revisionSchema = int64Schema.transform(Number).default(0);

const headerSchema = Zod.object({ revision: revisionSchema }).default({ revision: 0 });

const entrySchema = Zod.object({
  key: Zod.string(),
  value: Zod.string().default(''),
  mod_revision: revisionSchema,
  create_revision: revisionSchema,
});

export type WireEntry = Readonly<Zod.infer<typeof entrySchema>>;

export const rangeSchema = Zod.object({
  header: headerSchema,
  kvs: Zod.array(entrySchema).default([]),
  more: Zod.boolean().default(false),
});

export const transactionSchema = Zod.object({
  header: headerSchema,
  succeeded: Zod.boolean().default(false),
  responses: Zod.array(
    Zod.object({
      response_range: Zod.object({ kvs: Zod.array(entrySchema).default([]) }).optional(),
    }),
  ).default([]),
});

export const leaseSchema = Zod.object({
  ID: int64Schema.default('0'),
  TTL: int64Schema.transform(Number).default(0),
});

export const keepAliveSchema = Zod.object({ result: leaseSchema.optional() });

export const authenticationSchema = Zod.object({ token: Zod.string() });

const eventSchema = Zod.object({
  type: Zod.enum(['PUT', 'DELETE']).default('PUT'),
  kv: entrySchema,
});

export const watchSchema = Zod.object({
  result: Zod.object({
    header: headerSchema,
    created: Zod.boolean().default(false),
    canceled: Zod.boolean().default(false),
    compact_revision: revisionSchema,
    events: Zod.array(eventSchema).default([]),
  }).optional(),
});

export type WireWatch = NonNullable<Readonly<Zod.infer<typeof watchSchema>>['result']>;

export function encodeText(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

export function decodeText(base64: string): string {
  return Buffer.from(base64, 'base64').toString('utf8');
}

/** End of the range of all keys with the prefix: the prefix with its last byte incremented. */
export function encodePrefixEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  const last = bytes.length - 1;
  bytes.writeUInt8(bytes.readUInt8(last) + 1, last);
  return bytes.toString('base64');
}

/** Decodes an entry and strips the key prefix of this installation. */
export function decodeEntry(entry: WireEntry, keyPrefix: string): KeyValueEntry {
  return {
    key: decodeText(entry.key).slice(keyPrefix.length),
    value: decodeText(entry.value),
    revision: entry.mod_revision,
    createRevision: entry.create_revision,
  };
}

export function decodeChanges(message: WireWatch, keyPrefix: string): readonly KeyChange[] {
  return message.events.map(({ type, kv }) => {
    const entry = decodeEntry(kv, keyPrefix);
    const change = { key: entry.key, revision: entry.revision };
    return type === 'DELETE' ? change : { ...change, entry };
  });
}

export const revokeSchema = Zod.object({});
