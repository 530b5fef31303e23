/**
 * 32-bit hashes. Every engine of a fleet computes the same values, so that one engine can continue
 * exactly where another stopped.
 */
/* eslint-disable no-bitwise -- hashing is arithmetic on bits */

const MULTIPLIER_A = 0x85eb_ca6b;
const MULTIPLIER_B = 0xc2b2_ae35;
const UINT32_RANGE = 0x1_0000_0000;

/** Adds one number to a rolling hash; the result is an unsigned 32-bit number. */
export function hashNumber(hash: number, value: number): number {
  let mixed = Math.imul(hash ^ (value + 0x9e37_79b9), MULTIPLIER_A);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MULTIPLIER_B);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

export function hashText(text: string, seed: number): number {
  let hash = seed;
  for (let index = 0; index < text.length; index += 1) {
    hash = hashNumber(hash, text.charCodeAt(index));
  }
  return hash;
}

/** Maps the hash to a fraction in [0, 1). */
export function computeFraction(hash: number): number {
  return hash / UINT32_RANGE;
}
