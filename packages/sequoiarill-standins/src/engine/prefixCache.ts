/** The prefix cache of an engine: blocks of tokens, evicted in least recently used order. */
import * as Hashes from './hashes';

/** Tokens in one block; only complete blocks are cached, as in published engines. */
export const BLOCK_TOKENS = 16;

const HEX_RADIX = 16;
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
  /** Counts the tokens at the start of the prompt that need no prefill. */
  readonly findCachedTokens: (model: string, ids: readonly number[]) => number;
  readonly addSequence: (model: string, ids: readonly number[]) => void;
  readonly clear: () => void;
}

/** Lists the complete blocks of a sequence; the hash of each covers all tokens up to its end. */
export function listBlocks(model: string, ids: readonly number[]): readonly CacheBlock[] {
  const blocks: CacheBlock[] = [];
  let firstHash = Hashes.hashText(model, 1);
  let secondHash = Hashes.hashText(model, SECOND_SEED);
  for (let end = BLOCK_TOKENS; end <= ids.length; end += BLOCK_TOKENS) {
    const tokenIds = ids.slice(end - BLOCK_TOKENS, end);
    for (const id of tokenIds) {
      firstHash = Hashes.hashNumber(firstHash, id);
      secondHash = Hashes.hashNumber(secondHash, id);
    }
    blocks.push({
      hash: formatHash(firstHash) + formatHash(secondHash),
      parentHash: blocks.at(-1)?.hash,
      tokenIds,
    });
  }
  return blocks;
}

function formatHash(hash: number): string {
  return hash.toString(HEX_RADIX).padStart(HASH_DIGITS, '0');
}

export function createPrefixCache(cacheTokens: number, listener: CacheListener): PrefixCache {
  const capacity = Math.floor(cacheTokens / BLOCK_TOKENS);
  /** Model of each cached block by its hash, ordered from least to most recently used. */
  const modelsByHash = new Map<string, string>();

  function markUsed(model: string, hash: string): void {
    modelsByHash.delete(hash);
    modelsByHash.set(hash, model);
  }

  function findCachedTokens(model: string, ids: readonly number[]): number {
    let cached = 0;
    for (const block of listBlocks(model, ids)) {
      if (!modelsByHash.has(block.hash)) break;
      markUsed(model, block.hash);
      cached += BLOCK_TOKENS;
    }
    return Math.max(0, Math.min(cached, ids.length - 1));
  }

  function removeOldest(): void {
    for (const [hash, model] of modelsByHash) {
      if (modelsByHash.size <= capacity) return;
      modelsByHash.delete(hash);
      listener.onRemoved(model, [hash]);
    }
  }

  function addSequence(model: string, ids: readonly number[]): void {
    const blocks = listBlocks(model, ids).slice(0, capacity);
    const added = blocks.filter((block) => !modelsByHash.has(block.hash));
    for (const block of blocks) markUsed(model, block.hash);
    if (added.length > 0) listener.onStored(model, added);
    removeOldest();
  }

  return { findCachedTokens, addSequence, clear: () => modelsByHash.clear() };
}
