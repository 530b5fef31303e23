import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as BlockBuffers from '../blockBuffer';

const MAX_BLOCK_BYTES = 65_536;

describe('a buffer of blocks', () => {
  it('returns the bytes that were added, whatever was expected', () => {
    const parts = FastCheck.array(FastCheck.uint8Array({ maxLength: 3_000 }), { maxLength: 30 });
    FastCheck.assert(
      FastCheck.property(parts, FastCheck.option(FastCheck.nat(60_000)), (chunks, expected) => {
        const buffer = BlockBuffers.createBlockBuffer(expected ?? undefined);
        chunks.forEach((chunk) => buffer.addBytes(Buffer.from(chunk)));
        expect(buffer.merge().equals(Buffer.concat(chunks))).toEqual(true);
      }),
    );
  });

  it('takes memory in proportion to the bytes, whatever the size of the chunks', () => {
    // Guards against bodies in chunks of a few bytes that take the memory of the process.
    for (const chunkBytes of [1, 16, 1_000, 65_536]) {
      const buffer = BlockBuffers.createBlockBuffer();
      const chunk = Buffer.alloc(chunkBytes, 'x');
      for (let bytes = 0; bytes < 500_000; bytes += chunkBytes) {
        buffer.addBytes(chunk);
        const bound = 2 * buffer.countBytes() + MAX_BLOCK_BYTES;
        if (buffer.countMemory() > bound) expect(buffer.countMemory()).toBeLessThanOrEqual(bound);
      }
    }
  });

  it('takes no more than was declared for a body that is complete', () => {
    const buffer = BlockBuffers.createBlockBuffer(10);
    buffer.addBytes(Buffer.alloc(4));
    buffer.addBytes(Buffer.alloc(6));
    expect([buffer.countBytes(), buffer.countMemory()]).toEqual([10, 10]);
  });
});
