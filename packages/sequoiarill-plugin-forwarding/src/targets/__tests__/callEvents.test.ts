import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as CallEvents from '../callEvents';

const CHUNK_BYTES = 100;

async function countReads(timeoutMs: number, maxReads: number): Promise<number> {
  const queue = CallEvents.createEventQueue();
  for (let reads = 0; reads < maxReads; reads += 1) {
    const waiting = queue.waitForEvent(timeoutMs);
    queue.add({ kind: 'data', chunk: Buffer.alloc(CHUNK_BYTES) });
    await waiting;
    if (queue.take(timeoutMs <= 0) === undefined) return reads;
  }
  return maxReads;
}

describe('reading events of a call', () => {
  it('ends soon after the deadline where each wait brings a little data', async () => {
    // Guards against calls that last seconds longer, until they have read too much in small parts.
    expect(await countReads(0, 1_000)).toBeLessThan(100);
    expect(await countReads(10, 1_000)).toEqual(1_000);
  });

  it('takes what arrived in time in many small parts', async () => {
    // Guards against a whole answer that is dropped after a pause of this process.
    const queue = CallEvents.createEventQueue();
    for (let parts = 0; parts < 2_000; parts += 1) {
      queue.add({ kind: 'data', chunk: Buffer.alloc(CHUNK_BYTES) });
    }
    let reads = 0;
    while (queue.take(true) !== undefined) reads += 1;
    expect(reads).toEqual(2_000);
  });
});
