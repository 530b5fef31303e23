/**
 * Rendezvous hashing: stable digests of names, so that all routers compute the same ranking without
 * communicating. Decisions need the ranks synchronously, so node:crypto hashes each name once and pairs
 * of names are combined by integer mixing instead of hashing each pair.
 */
/* eslint-disable no-bitwise -- integer mixing consists of bit operations */
import { createHash } from 'node:crypto';

/** Multipliers of the 32-bit finalizer published with MurmurHash3. */
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;

/** Names come from configuration and prompts; above this count the oldest digest is evicted. */
const MAX_CACHED_NAMES = 20_000;

const digestsByName = new Map<string, number>();

/** Returns the first 32 bits of the SHA-1 digest of a name, for even distribution and not for secrecy. */
export function hashName(name: string): number {
  const cached = digestsByName.get(name);
  if (cached !== undefined) return cached;
  const digest = createHash('sha1').update(name).digest().readUInt32LE(0);
  if (digestsByName.size >= MAX_CACHED_NAMES) {
    const oldest = digestsByName.keys().next();
    if (!oldest.done) digestsByName.delete(oldest.value);
  }
  digestsByName.set(name, digest);
  return digest;
}

/** Sorts names by their rank for a key. The order is the same on every router and differs between keys. */
export function sortByRank(names: readonly string[], key: string): readonly string[] {
  const digest = hashName(key);
  return names
    .map((name) => ({ name, rank: hashPair(hashName(name), digest) }))
    .sort((left, right) => right.rank - left.rank || left.name.localeCompare(right.name))
    .map(({ name }) => name);
}

/** Rank of a pair of digests as an unsigned 32-bit integer: the highest rank wins. */
export function hashPair(left: number, right: number): number {
  let mixed = Math.imul(left ^ Math.imul(right ^ (right >>> 15), MIX_1), MIX_2);
  mixed = Math.imul(mixed ^ (mixed >>> 16), MIX_1);
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_2);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
