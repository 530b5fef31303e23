/**
 * API keys of organisations, in the form `sqr_<id>_<secret>`; only a salted hash of the secret is
 * stored.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

import type { Configuration, KeyOwner, OrganisationKey } from '@sequoiarill/types';

/** Bounds the length of both parts, so that a client cannot make the router hash long strings. */
const KEY_PATTERN = /^sqr_([a-z0-9]{1,64})_(\S{1,256})$/;
const ID_BYTES = 8;
/** 256 random bits cannot be guessed, so one fast hash per request is sufficient protection. */
const SECRET_BYTES = 32;
const SALT_BYTES = 16;

/**
 * Compared with when the id is unknown, so that the response time does not reveal whether an id
 * exists.
 */
const DECOY_KEY: OrganisationKey = {
  id: '',
  salt: '00'.repeat(SALT_BYTES),
  hash: '00'.repeat(SECRET_BYTES),
};

function hashSecret(salt: string, secret: string): Buffer {
  return createHash('sha256').update(Buffer.from(salt, 'hex')).update(secret, 'utf8').digest();
}

function isSecretOf(key: OrganisationKey, secret: string): boolean {
  const expected = Buffer.from(key.hash, 'hex');
  const actual = hashSecret(key.salt, secret);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}

/**
 * Returns the owner of a presented key, or undefined when the key is malformed, unknown or wrong.
 * Results are not cached, so that a key removed from the configuration is refused at once; one
 * SHA-256 per request costs about a microsecond.
 */
export function verifyKey(configuration: Configuration, presented: string): KeyOwner | undefined {
  const match = KEY_PATTERN.exec(presented);
  const owner = configuration.keysById.get(match?.[1] ?? '');
  const isValid = isSecretOf(owner?.key ?? DECOY_KEY, match?.[2] ?? '');
  return isValid ? owner : undefined;
}

export interface NewKey {
  /** The complete key, shown once to its user and stored nowhere. */
  readonly presented: string;
  /** The entry for `keys` of the organisation in its configuration section. */
  readonly record: OrganisationKey;
}

export function createKeyRecord(createBytes: (size: number) => Buffer = randomBytes): NewKey {
  const id = createBytes(ID_BYTES).toString('hex');
  const secret = createBytes(SECRET_BYTES).toString('hex');
  const salt = createBytes(SALT_BYTES).toString('hex');
  const hash = hashSecret(salt, secret).toString('hex');
  return { presented: `sqr_${id}_${secret}`, record: { id, salt, hash } };
}
