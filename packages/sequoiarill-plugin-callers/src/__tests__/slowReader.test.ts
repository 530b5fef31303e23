import { after, describe, it } from 'node:test';

import type { TokenBatch } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Calls from './calls';
import * as Fakes from './fakes';
import type { Script } from './fakes';

const BATCHES = 600;
/** In all 38 MB: far more than the socket buffers of both ends hold. */
const BATCH_BYTES = 65_536;

const started = Fakes.startRouter();
after(async () => (await started).stop());

/** A long answer that counts what was taken from the engine. */
function createLongScript(): { readonly script: Script; readonly getTaken: () => number } {
  let taken = 0;
  return {
    script: async function* runLong() {
      for (let index = 0; index < BATCHES; index += 1) {
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
    it(`slows its own answer only, and gets it whole: ${path}`, async () => {
      // A van in a tunnel stops reading in the middle of a long answer. Without back pressure the
      // router would take the whole answer from the engine and hold it in memory.
      const router = await started;
      const long = createLongScript();
      router.setScript(long.script);
      const slow = await Calls.openCall(router.url + path, { body });
      await Calls.waitForQuiet(long.getTaken);
      const held = long.getTaken();
      const dump = (await router.kernel.dumpProcess()).plugins.callers;
      expect(dump?.requests).toEqual({ waiting: 0, sending: 0, blocked: 1 });
      router.setScript(Fakes.createScript(['Hello']));
      const quick = await Calls.callOnce(router.url + path, { body });
      expect(quick.text.includes('Hello')).toEqual(true);
      expect(held < BATCHES).toEqual(true);
      expect(long.getTaken()).toEqual(held);
      const text = await slow.readUntil();
      expect(long.getTaken()).toEqual(BATCHES);
      const digits = [...text.matchAll(/"(?:delta|content)":"(\d)(\d+)"/g)].map(
        (match) => `${match[1]}x${(match[2] ?? '').length + 1}`,
      );
      const expected = Array.from({ length: BATCHES }, (_, one) => `${one % 10}x${BATCH_BYTES}`);
      expect(digits.slice(0, BATCHES)).toEqual(expected);
    });
  }

  it('is taken as gone when it reads nothing for long', async (test) => {
    // A caller's machine loses power; no packet tells the router. The stream must not hold its
    // engine and its place for ever.
    const router = await Fakes.startRouter({ writeTimeoutMs: 20, resumeGraceMs: 1 });
    test.after(router.stop);
    const long = createLongScript();
    let isStopped = false;
    router.setScript(async function* runWatched(request) {
      try {
        return yield* long.script(request);
      } finally {
        isStopped = true;
      }
    });
    const slow = await Calls.openCall(`${router.url}/v1/responses`, { body: Calls.RESPONSE_BODY });
    await Calls.waitUntil(() => isStopped);
    expect(long.getTaken() < BATCHES).toEqual(true);
    slow.leave();
  });
});
