/**
 * Stable digests of names, so that every router ranks targets alike without talking. Needed
 * synchronously in the middle of a decision, hence node:crypto once for each name and integer mixing
 * for pairs of names, instead of one digest for each pair.
 */
/* eslint-disable no-bitwise -- integer mixing is made of bit operations */
import { createHash } from 'node:crypto';

/** Multipliers of the 32-bit finalizer published with MurmurHash3. */
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;

/** Names come from configuration and prompts; beyond this many the oldest digest is computed anew. */
const MAX_CACHED_NAMES = 20_000;

const digestsByName = new Map<string, number>();

/** The first 32 bits of SHA-1 of a name; not a secret, only well spread. */
export function hashName(name: string): number {
  const known = digestsByName.get(name);
  if (known !== undefined) return known;
  const digest = createHash('sha1').update(name).digest().readUInt32LE(0);
  if (digestsByName.size >= MAX_CACHED_NAMES) {
    const oldest = digestsByName.keys().next();
    if (!oldest.done) digestsByName.delete(oldest.value);
  }
  digestsByName.set(name, digest);
  return digest;
}

/** Names by their rank for a key, the same on every router; those for another key are in another order. */
export function sortByRank(names: readonly string[], key: string): readonly string[] {
  const digest = hashName(key);
  return names
    .map((name) => ({ name, rank: hashPair(hashName(name), digest) }))
    .sort((left, right) => right.rank - left.rank || left.name.localeCompare(right.name))
    .map(({ name }) => name);
}

/** Rank of a pair of digests for rendezvous hashing: the highest wins. Unsigned 32 bits. */
export function hashPair(left: number, right: number): number {
  let mixed = Math.imul(left ^ Math.imul(right ^ (right >>> 15), MIX_1), MIX_2);
  mixed = Math.imul(mixed ^ (mixed >>> 16), MIX_1);
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_2);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
