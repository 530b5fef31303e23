import { describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';

import * as WatchedStreams from '../watchedStream';

describe('a watched stream that breaks while another connection opens', () => {
  it('closes the other connection', async () => {
    // Guards against a connection over which a router sends the rest of a response that nobody reads.
    async function* sendBreak(): AsyncGenerator<Uint8Array, void, void> {
      await startTimeout(30);
      yield await Promise.reject(new Error('reset'));
    }
    let isClosed = false;
    const { bytes } = WatchedStreams.createWatchedStream({
      stream: { kind: 'opened', bytes: sendBreak(), close: () => undefined },
      idleTimeoutMs: 10,
      maxFailures: 3,
      getSequenceNumber: () => 0,
      async openRest() {
        await startTimeout(60);
        return {
          kind: 'opened',
          bytes: sendBreak(),
          close() {
            isClosed = true;
          },
        };
      },
    });
    await expect(bytes[Symbol.asyncIterator]().next()).toBeRejectedWith('reset');
    await startTimeout(100);
    expect(isClosed).toEqual(true);
  });
});
