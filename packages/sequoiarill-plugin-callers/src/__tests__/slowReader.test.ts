import { after, describe, it } from 'node:test';

import type { TokenBatch } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Calls from './calls';
import * as Fakes from './fakes';
import type { GenerationScript } from './fakes';

const BATCH_COUNT = 600;
/** 38 MB in total: far more than the socket buffers of both ends hold. */
const BATCH_BYTES = 65_536;

const started = Fakes.startRouter();
after(async () => (await started).stop());

/** Creates a long answer and counts the batches read from the engine. */
function createLongGeneration(): {
  readonly script: GenerationScript;
  readonly getTaken: () => number;
} {
  let taken = 0;
  return {
    script: async function* runLong() {
      for (let index = 0; index < BATCH_COUNT; index += 1) {
        taken += 1;
        const batch: TokenBatch = Fakes.createBatch(String(index % 10).repeat(BATCH_BYTES));
        yield batch;
      }
      return Fakes.COMPLETED;
    },
    getTaken: () => taken,
  };
}

describe('a caller that reads slowly', () => {
  for (const [path, body] of [
    ['/v1/chat/completions', Calls.CHAT_BODY],
    ['/v1/responses', Calls.RESPONSE_BODY],
  ] as const) {
    it(`slows down only its own answer, and receives it in full: ${path}`, async () => {
      // A caller stops reading in the middle of a long answer. Without backpressure the router
      // would read the full answer from the engine and hold it in memory.
      const router = await started;
      const longGeneration = createLongGeneration();
      router.setScript(longGeneration.script);
      const slowAnswer = await Calls.openCall(router.url + path, { body });
      await Calls.waitForIdle(longGeneration.getTaken);
      const takenWhileBlocked = longGeneration.getTaken();
      const dump = (await router.kernel.dumpProcess()).plugins.callers;
      expect(dump?.requests).toEqual({ waiting: 0, sending: 0, blocked: 1 });
      router.setScript(Fakes.createGenerationScript(['Hello']));
      const otherAnswer = await Calls.callOnce(router.url + path, { body });
      expect(otherAnswer.text.includes('Hello')).toEqual(true);
      expect(takenWhileBlocked < BATCH_COUNT).toEqual(true);
      expect(longGeneration.getTaken()).toEqual(takenWhileBlocked);
      const text = await slowAnswer.readUntil();
      expect(longGeneration.getTaken()).toEqual(BATCH_COUNT);
      const digits = [...text.matchAll(/"(?:delta|content)":"(\d)(\d+)"/g)].map(
        (match) => `${match[1]}x${(match[2] ?? '').length + 1}`,
      );
      const expected = Array.from(
        { length: BATCH_COUNT },
        (_, one) => `${one % 10}x${BATCH_BYTES}`,
      );
      expect(digits.slice(0, BATCH_COUNT)).toEqual(expected);
    });
  }

  it('is disconnected when it reads nothing until the write timeout', async (test) => {
    // A caller's machine loses power, and the router receives no packet about it. The stream must
    // not occupy its engine and its connection for ever.
    const router = await Fakes.startRouter({ writeTimeoutMs: 20, resumeGraceMs: 1 });
    test.after(router.stop);
    const longGeneration = createLongGeneration();
    let isStopped = false;
    router.setScript(async function* runMonitored(request) {
      try {
        return yield* longGeneration.script(request);
      } finally {
        isStopped = true;
      }
    });
    const slowAnswer = await Calls.openCall(`${router.url}/v1/responses`, {
      body: Calls.RESPONSE_BODY,
    });
    await Calls.waitUntil(() => isStopped);
    expect(longGeneration.getTaken() < BATCH_COUNT).toEqual(true);
    slowAnswer.disconnect();
  });
});
