/** Format in which routers store what began the streams of their callers. */
import * as Crypto from 'node:crypto';

import type { OriginRecord, StreamKey, StreamOrigin } from '@sequoiarill/types';
import * as Zod from 'zod';

/** Bytes of a digest: two of a million streams are equal with a probability of one in 10^9. */
const DIGEST_BYTES = 9;
/** Characters of a digest in base64. */
export const DIGEST_LENGTH = 12;
/** Builds that serve side by side are few; further ones of a damaged entry are ignored. */
const MAX_BUILDS = 64;
const MAX_TARGETS = 1_000;

const nameSchema = Zod.string().max(1_000);

const valueSchema = Zod.object({
  builds: Zod.array(
    Zod.object({
      service: nameSchema,
      version: nameSchema,
      models: nameSchema,
      /** Each: id of a target, which is empty where it is not known, and the digests of its streams, joined. */
      targets: Zod.array(Zod.tuple([nameSchema, Zod.string()])).max(MAX_TARGETS),
    }),
  ).max(MAX_BUILDS),
});

export interface StoredStream {
  readonly digest: string;
  readonly origin: StreamOrigin;
}

/** Tells the stream apart from all others; nobody learns an organisation or an id from it. */
export function computeDigest({ organisation, requestId }: StreamKey): string {
  const hash = Crypto.createHash('sha256').update(`${requestId}\n${organisation}`).digest();
  return hash.subarray(0, DIGEST_BYTES).toString('base64url');
}

export function encodeStreams(records: readonly OriginRecord[]): string {
  const builds = new Map<string, Map<string, string>>();
  for (const record of records) {
    const { service, version, models, target = '' } = record.origin;
    const key = JSON.stringify({ service, version, models });
    const targets = builds.get(key) ?? new Map<string, string>();
    targets.set(target, (targets.get(target) ?? '') + computeDigest(record));
    builds.set(key, targets);
  }
  return JSON.stringify({
    builds: [...builds].map(([key, targets]) => ({
      ...(JSON.parse(key) as Omit<StreamOrigin, 'target'>),
      targets: [...targets],
    })),
  });
}

function parseValue(value: string): Zod.infer<typeof valueSchema> | undefined {
  try {
    return valueSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/** Nothing for a value that no router wrote. */
export function* decodeStreams(value: string): Generator<StoredStream, void, void> {
  for (const { targets, ...build } of parseValue(value)?.builds ?? []) {
    for (const [target, streams] of targets) {
      const origin = target === '' ? build : { ...build, target };
      for (let start = 0; start + DIGEST_LENGTH <= streams.length; start += DIGEST_LENGTH) {
        yield { digest: streams.slice(start, start + DIGEST_LENGTH), origin };
      }
    }
  }
}
