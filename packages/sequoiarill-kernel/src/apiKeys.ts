/** API keys of organisations: `sqr_<id>_<secret>`, of which only a salted hash is stored. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

import type { Configuration, KeyOwner, OrganisationKey } from '@sequoiarill/types';

/** Bounded, so that nobody has the router hash long texts. */
const KEY_PATTERN = /^sqr_([a-z0-9]{1,64})_(\S{1,256})$/;
const ID_BYTES = 8;
/** 256 random bits: guessing is hopeless, so a fast hash is enough and keeps a request cheap. */
const SECRET_BYTES = 32;
const SALT_BYTES = 16;

/** Compared with when the id is unknown, so that the time taken does not tell whether it exists. */
const DECOY: OrganisationKey = {
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
 * The owner of a presented key; undefined when it is malformed, unknown or wrong. Reads the snapshot
 * each time and keeps nothing, so that a key removed from the configuration is refused at once; one
 * SHA-256 a request costs about a microsecond.
 */
export function verifyKey(configuration: Configuration, presented: string): KeyOwner | undefined {
  const match = KEY_PATTERN.exec(presented);
  const owner = configuration.keysById.get(match?.[1] ?? '');
  const isValid = isSecretOf(owner?.key ?? DECOY, match?.[2] ?? '');
  return isValid ? owner : undefined;
}

export interface NewKey {
  /** Shown once to whoever will use it; not kept anywhere. */
  readonly presented: string;
  /** Goes into the organisation's `keys` in its section. */
  readonly record: OrganisationKey;
}

export function createKeyRecord(createBytes: (size: number) => Buffer = randomBytes): NewKey {
  const id = createBytes(ID_BYTES).toString('hex');
  const secret = createBytes(SECRET_BYTES).toString('hex');
  const salt = createBytes(SALT_BYTES).toString('hex');
  const hash = hashSecret(salt, secret).toString('hex');
  return { presented: `sqr_${id}_${secret}`, record: { id, salt, hash } };
}
