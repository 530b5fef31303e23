import path from 'node:path';
import { describe, it } from 'node:test';
import { Worker } from 'node:worker_threads';

import { expect } from 'earl';

/** More than is buffered before reading pauses, so that the last bytes come right before the pause. */
const SIZES = [270_000, 300_000, 320_000];

/** Runs in a thread of its own, since an assertion in the HTTP client ends what it runs in. */
async function readSlowly(size: number): Promise<unknown> {
  const worker = new Worker(path.join(__dirname, 'slowReading.js'), { workerData: size });
  const result = await new Promise<unknown>((resolve) => {
    worker.once('message', resolve);
    worker.once('error', ({ message }: Error) => resolve(message));
  });
  await worker.terminate();
  return result;
}

describe('an answer without framing whose reader is slow', () => {
  it('ends while reading is paused, and does not end the process', async () => {
    // Failure: the HTTP client throws `assert(!this.paused)` outside of any call, which ends the router.
    const results: unknown[] = [];
    for (const size of SIZES) results.push(await readSlowly(size));
    expect(results).toEqual(SIZES);
  });
});
