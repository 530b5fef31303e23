/**
 * Gathers received bytes in blocks.
 *
 * Failure: a body comes in chunks of a few bytes. Kept as it comes, each chunk costs some hundred bytes and holds on to the
 * read that it is a part of, so that a small body takes the memory of the process.
 */
export interface BlockBuffer {
  /** Copies the bytes. */
  readonly addBytes: (chunk: Buffer) => void;
  readonly countBytes: () => number;
  /** Bytes of memory that are taken. */
  readonly countMemory: () => number;
  /** All bytes, in one buffer. */
  readonly merge: () => Buffer;
  readonly clear: () => void;
}

const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/** `expectedBytes`: declared for all of them; no block is larger than what is left of it. */
export function createBlockBuffer(expectedBytes = Number.POSITIVE_INFINITY): BlockBuffer {
  let blocks: Buffer[] = [];
  let bytes = 0;
  let memoryBytes = 0;
  /** Bytes used of the last block. */
  let used = 0;

  /** Blocks grow with what has come, so that memory stays in proportion to it. */
  function addBlock(minBytes: number): void {
    const grown = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, bytes));
    const size = Math.max(minBytes, Math.min(grown, expectedBytes - bytes));
    blocks.push(Buffer.allocUnsafeSlow(size));
    memoryBytes += size;
    used = 0;
  }

  return {
    addBytes(chunk) {
      let taken = 0;
      while (taken < chunk.length) {
        const last = blocks.at(-1);
        if (last === undefined || used === last.length) addBlock(chunk.length - taken);
        else {
          const copied = chunk.copy(last, used, taken);
          used += copied;
          taken += copied;
          bytes += copied;
        }
      }
    },
    countBytes: () => bytes,
    countMemory: () => memoryBytes,
    merge() {
      const [first] = blocks;
      return first !== undefined && blocks.length === 1
        ? first.subarray(0, bytes)
        : Buffer.concat(blocks, bytes);
    },
    clear() {
      blocks = [];
      bytes = 0;
      memoryBytes = 0;
    },
  };
}
