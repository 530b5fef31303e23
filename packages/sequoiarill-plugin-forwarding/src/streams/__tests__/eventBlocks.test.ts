import { describe, it, mock } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as EventBlocks from '../eventBlocks';

const MEGABYTE = 1_048_576;

/** Runs the action and counts the bytes that it copies between buffers. */
function countCopied(action: () => void): number {
  let copied = 0;
  const concat = Buffer.concat.bind(Buffer);
  const copy = Reflect.get(Buffer.prototype, 'copy') as Buffer['copy'];
  const concatMock = mock.method(Buffer, 'concat', (...parts: Parameters<typeof concat>) => {
    const joined = concat(...parts);
    copied += joined.length;
    return joined;
  });
  const copyMock = mock.method(
    Buffer.prototype,
    'copy',
    function countCopy(this: Buffer, ...args: Parameters<Buffer['copy']>) {
      const bytes = copy.apply(this, args);
      copied += bytes;
      return bytes;
    },
  );
  try {
    action();
  } finally {
    concatMock.mock.restore();
    copyMock.mock.restore();
  }
  return copied;
}

describe('splitting an event stream', () => {
  it('does work linear in the bytes of an event that arrives in small chunks', () => {
    // Guards against a router that stands still while a target sends an event without end.
    const splitter = EventBlocks.createEventBlockSplitter();
    const chunk = Buffer.alloc(1_024, 'x');
    const copied = countCopied(() => {
      for (let bytes = 0; bytes < MEGABYTE; bytes += chunk.length) splitter.addBytes(chunk);
    });
    expect(splitter.countPartialBytes()).toEqual(MEGABYTE);
    expect(copied).toBeLessThan(MEGABYTE * 4);
    expect(splitter.addBytes(chunk)).toEqual(undefined);
  });

  it('returns the same events whatever the chunks', () => {
    const events = ['id: 1\ndata: a\n\n', '\n\n', 'data: \n \n\n', 'id: 2\n\n', '\n'];
    const sizes = FastCheck.array(FastCheck.integer({ min: 1, max: 5 }), { minLength: 60 });
    const text = FastCheck.array(FastCheck.constantFrom(...events), { maxLength: 8 });
    FastCheck.assert(
      FastCheck.property(text, sizes, (parts, lengths) => {
        const bytes = Buffer.from(parts.join(''));
        const whole = EventBlocks.createEventBlockSplitter();
        const split = EventBlocks.createEventBlockSplitter();
        const blocks = [];
        let start = 0;
        for (const length of [...lengths, bytes.length]) {
          blocks.push(...(split.addBytes(bytes.subarray(start, start + length)) ?? []));
          start += length;
        }
        const expected = whole.addBytes(bytes) ?? [];
        expect(blocks.map((block) => [block.id, block.bytes.toString()])).toEqual(
          expected.map((block) => [block.id, block.bytes.toString()]),
        );
        expect(split.countPartialBytes()).toEqual(whole.countPartialBytes());
      }),
      { seed: 8 },
    );
  });

  it('refuses events without ids that never end, and takes some between numbered ones', () => {
    // Guards against a stream that lasts as long as its target sends, and tells its caller nothing.
    const splitter = EventBlocks.createEventBlockSplitter();
    const comments = Buffer.from(': at work\n\n'.repeat(20_000));
    const numbered = Buffer.from('id: 1\n\n');
    const counts = [comments, numbered, comments, comments, numbered].map(
      (bytes) => splitter.addBytes(bytes)?.length,
    );
    expect(counts).toEqual([20_000, 1, 20_000, undefined, undefined]);
  });

  it('takes a numbered event after one large event without an id', () => {
    // Guards against a sound stream that is cut because its first event, which has no id, is large.
    const splitter = EventBlocks.createEventBlockSplitter();
    const large = Buffer.from(`data: ${'x'.repeat(MEGABYTE / 2)}\n\n`);
    const numbered = Buffer.from('id: 1\ndata: a\n\n');
    const counts = [large, numbered, large, numbered].map(
      (bytes) => splitter.addBytes(bytes)?.length,
    );
    expect(counts).toEqual([1, 1, 1, 1]);
    const joined = EventBlocks.createEventBlockSplitter().addBytes(
      Buffer.concat([large, numbered]),
    );
    expect(joined?.map(({ id }) => id)).toEqual([undefined, '1']);
  });

  it('takes an event just below the limit, and frees its bytes', () => {
    const splitter = EventBlocks.createEventBlockSplitter();
    const data = Buffer.alloc(MEGABYTE - 10, 'x');
    const blocks = [data, Buffer.from('\n'), Buffer.from('\nid')].flatMap(
      (bytes) => splitter.addBytes(bytes) ?? [],
    );
    expect(blocks.map(({ bytes }) => bytes.length)).toEqual([data.length + 2]);
    expect(splitter.countPartialBytes()).toEqual(2);
  });
});
