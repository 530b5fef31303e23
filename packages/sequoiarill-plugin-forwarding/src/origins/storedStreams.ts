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

const nameSchema = Zod.string().max(1_000);

const valueSchema = Zod.object({
  builds: Zod.array(
    Zod.object({
      service: nameSchema,
      version: nameSchema,
      models: nameSchema,
      /** Digests of its streams, one after the other. */
      streams: Zod.string(),
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
  const builds = new Map<string, { readonly origin: StreamOrigin; readonly digests: string[] }>();
  for (const record of records) {
    const { service, version, models } = record.origin;
    const key = JSON.stringify([service, version, models]);
    const build = builds.get(key) ?? { origin: { service, version, models }, digests: [] };
    build.digests.push(computeDigest(record));
    builds.set(key, build);
  }
  return JSON.stringify({
    builds: [...builds.values()].map(({ origin, digests }) => ({
      ...origin,
      streams: digests.join(''),
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
  for (const { streams, ...origin } of parseValue(value)?.builds ?? []) {
    for (let start = 0; start + DIGEST_LENGTH <= streams.length; start += DIGEST_LENGTH) {
      yield { digest: streams.slice(start, start + DIGEST_LENGTH), origin };
    }
  }
}
