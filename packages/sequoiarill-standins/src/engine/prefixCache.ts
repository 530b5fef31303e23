/** The prefix cache of an engine: blocks of tokens, least recently used forgotten first. */
import * as Hashes from './hashes';

/** Tokens in one block; only whole blocks are cached, as published engines do. */
export const BLOCK_TOKENS = 16;

const HEX = 16;
const HASH_DIGITS = 8;
const SECOND_SEED = 0x2545_f491;

export interface CacheBlock {
  readonly hash: string;
  readonly parentHash: string | undefined;
  readonly tokenIds: readonly number[];
}

export interface CacheListener {
  readonly onStored: (model: string, blocks: readonly CacheBlock[]) => void;
  readonly onRemoved: (model: string, hashes: readonly string[]) => void;
}

export interface PrefixCache {
  /** Tokens at the front of the prompt that need no prefill. */
  readonly findCachedTokens: (model: string, ids: readonly number[]) => number;
  readonly addSequence: (model: string, ids: readonly number[]) => void;
  readonly clear: () => void;
}

/** Hashes of the whole blocks of a sequence; each one stands for all tokens up to its end. */
export function listBlocks(model: string, ids: readonly number[]): readonly CacheBlock[] {
  const blocks: CacheBlock[] = [];
  let first = Hashes.hashText(model, 1);
  let second = Hashes.hashText(model, SECOND_SEED);
  for (let end = BLOCK_TOKENS; end <= ids.length; end += BLOCK_TOKENS) {
    const tokenIds = ids.slice(end - BLOCK_TOKENS, end);
    for (const id of tokenIds) {
      first = Hashes.hashNumber(first, id);
      second = Hashes.hashNumber(second, id);
    }
    blocks.push({
      hash: formatHash(first) + formatHash(second),
      parentHash: blocks.at(-1)?.hash,
      tokenIds,
    });
  }
  return blocks;
}

function formatHash(hash: number): string {
  return hash.toString(HEX).padStart(HASH_DIGITS, '0');
}

export function createPrefixCache(cacheTokens: number, listener: CacheListener): PrefixCache {
  const capacity = Math.floor(cacheTokens / BLOCK_TOKENS);
  /** Hash to model, in the order of use. */
  const stored = new Map<string, string>();

  function markUsed(model: string, hash: string): void {
    stored.delete(hash);
    stored.set(hash, model);
  }

  function findCachedTokens(model: string, ids: readonly number[]): number {
    let cached = 0;
    for (const block of listBlocks(model, ids)) {
      if (!stored.has(block.hash)) break;
      markUsed(model, block.hash);
      cached += BLOCK_TOKENS;
    }
    return Math.max(0, Math.min(cached, ids.length - 1));
  }

  function removeOldest(): void {
    for (const [hash, model] of stored) {
      if (stored.size <= capacity) return;
      stored.delete(hash);
      listener.onRemoved(model, [hash]);
    }
  }

  function addSequence(model: string, ids: readonly number[]): void {
    const blocks = listBlocks(model, ids).slice(0, capacity);
    const added = blocks.filter((block) => !stored.has(block.hash));
    for (const block of blocks) markUsed(model, block.hash);
    if (added.length > 0) listener.onStored(model, added);
    removeOldest();
  }

  return { findCachedTokens, addSequence, clear: () => stored.clear() };
}
