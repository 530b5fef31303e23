import { describe, it } from 'node:test';

import * as Client from '@sequoiarill/client';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

const REQUEST = { model: 'standin-model', input: 'Which size?' };
const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n';

async function readOutcome(address: string): Promise<string> {
  const client = Client.createClient({
    baseUrl: `http://${address}`,
    apiKey: 'sqr_test',
    headTimeoutMs: 2_000,
    idleTimeoutMs: 2_000,
    backoff: { maxAttempts: 1, firstDelayMs: 1 },
  });
  const stream = client.streamResponse(REQUEST);
  let step = await stream.next();
  while (step.done !== true) step = await stream.next();
  await client.close();
  return step.value.kind;
}

describe('a router that stops within the head of its answer', () => {
  it('loses the response of the client library', async () => {
    // Guards against a head that is completed from what has arrived, so that a response ends without text.
    const { taken, calls } = await Kernel.callCutHeads(HEAD, readOutcome, ['lost']);
    expect([taken, calls]).toEqual([[], 2 * HEAD.length]);
  });
});
