/** API keys of organisations: `sqr_<id>_<secret>`, of which only a salted hash is known. */
import * as Crypto from 'node:crypto';

import type { Configuration, KeyOwner, OrganisationKey } from '@sequoiarill/types';

const KEY_PATTERN = /^sqr_([^_\s]+)_(\S+)$/;
const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Stands in for an unknown key, so that its check takes as long as that of a known one. */
const UNKNOWN_KEY: OrganisationKey = { id: '', salt: '00'.repeat(16), hash: '00'.repeat(32) };

function hashSecret(salt: string, secret: string): Buffer {
  return Crypto.createHash('sha256')
    .update(Buffer.from(salt, 'hex'))
    .update(secret, 'utf8')
    .digest();
}

function isSecret(key: OrganisationKey, secret: string): boolean {
  const expected = Buffer.from(key.hash, 'hex');
  const actual = hashSecret(key.salt, secret);
  return expected.length === actual.length && Crypto.timingSafeEqual(expected, actual);
}

/**
 * The owner of a key, or `undefined` if it is malformed, unknown or wrong. Reads the snapshot each
 * time and keeps nothing, so a key that is removed from the configuration is refused at once; one
 * SHA-256 a request costs about a microsecond.
 */
export function verifyKey(configuration: Configuration, presented: string): KeyOwner | undefined {
  const match = KEY_PATTERN.exec(presented);
  const id = match?.[1] ?? '';
  const secret = match?.[2] ?? '';
  const owner = configuration.keysById.get(id);
  const isRight = isSecret(owner?.key ?? UNKNOWN_KEY, secret);
  return isRight ? owner : undefined;
}

/** The key in an `Authorization` header. */
export function parseBearer(header: string | undefined): string | undefined {
  return BEARER_PATTERN.exec(header ?? '')?.[1];
}
