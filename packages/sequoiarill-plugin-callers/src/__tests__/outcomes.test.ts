import { after, describe, it } from 'node:test';

import type { GenerationOutcome } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Calls from './calls';
import * as Fakes from './fakes';

const started = Fakes.startRouter();
after(async () => (await started).stop());

const USAGE = { promptTokens: 7, completionTokens: 1 };
const LOST: GenerationOutcome = {
  kind: 'lost',
  message: 'No engine can go on with it.',
  usage: USAGE,
  retryAfterSeconds: 4,
};
const PATHS = [
  ['/v1/chat/completions', Calls.CHAT_BODY],
  ['/v1/responses', Calls.RESPONSE_BODY],
] as const;

function createNotRun(reason: 'organisationLimit' | 'overloaded'): GenerationOutcome {
  return { kind: 'notRun', reason, message: 'Too much.', retryAfterSeconds: 3 };
}

describe('an answer that does not come whole', () => {
  for (const [path, streamed] of PATHS) {
    for (const stream of [true, false]) {
      const body = { ...streamed, stream };

      it(`has its own status when nothing ran: ${path}, stream ${stream}`, async () => {
        // The system is full. A stream that opens with 200 and then breaks off would look like an
        // answer cut short, and the caller could not tell that trying again is safe.
        const router = await started;
        router.setScript(Fakes.createScript([], createNotRun('organisationLimit')));
        const limited = await Calls.callOnce(router.url + path, { body });
        router.setScript(Fakes.createScript([], createNotRun('overloaded')));
        const full = await Calls.callOnce(router.url + path, { body });
        expect(Calls.getError(limited)).toEqual([429, 'rate_limit_exceeded', null]);
        expect(Calls.getError(full)).toEqual([503, 'overloaded', null]);
        expect([limited.headers['retry-after'], full.headers['retry-after']]).toEqual(['3', '3']);
      });

      it(`names the parameter that an engine refuses: ${path}, stream ${stream}`, async () => {
        const router = await started;
        const message = 'The prompt is too long.';
        router.setScript(
          Fakes.createScript([], { kind: 'rejected', message, parameter: 'messages' }),
        );
        const answer = await Calls.callOnce(router.url + path, { body });
        expect(Calls.getError(answer)).toEqual([400, 'request_rejected', 'messages']);
      });
    }
  }

  it('ends a chat stream with an error and without [DONE]', async () => {
    // All engines of a model die in the middle of an answer. The caller must learn at once that it
    // is cut, and when to come back; silence would look like a slow engine.
    const router = await started;
    router.setScript(Fakes.createScript(['Size '], LOST));
    const { text } = await Calls.callOnce(`${router.url}/v1/chat/completions`, {
      body: Calls.CHAT_BODY,
    });
    const last = Calls.listEvents(text).at(-1);
    expect(last).toEqual({
      error: {
        message: 'No engine can go on with it. Come back in 4 s.',
        type: 'server_error',
        param: null,
        code: 'generation_lost',
        retry_after_seconds: 4,
      },
    });
    expect(text.includes('[DONE]')).toEqual(false);
  });

  it('ends a response stream with response.failed', async () => {
    // The same loss, seen through the Responses API.
    const router = await started;
    router.setScript(Fakes.createScript(['Size '], LOST));
    const { text } = await Calls.callOnce(`${router.url}/v1/responses`, {
      body: Calls.RESPONSE_BODY,
    });
    const last = Calls.listEvents(text).at(-1);
    const response = last?.response as Readonly<Record<string, unknown>>;
    expect([last?.type, response.status]).toEqual(['response.failed', 'failed']);
    expect(response.error).toEqual({
      code: 'server_error',
      message: 'No engine can go on with it. Come back in 4 s.',
      retry_after_seconds: 4,
    });
  });

  it('fails an answer in one piece that was lost half-way', async () => {
    // A caller that asked for one piece gets no half of it with status 200.
    const router = await started;
    for (const [path, streamed] of PATHS) {
      router.setScript(Fakes.createScript(['Size '], LOST));
      const body = { ...streamed, stream: false };
      const answer = await Calls.callOnce(router.url + path, { body });
      expect(Calls.getError(answer)).toEqual([503, 'generation_lost', null]);
      expect(answer.headers['retry-after']).toEqual('4');
    }
  });

  it('says "length" and "incomplete" when the output limit ends it', async () => {
    const router = await started;
    const outcome: GenerationOutcome = { kind: 'completed', finishReason: 'length', usage: USAGE };
    router.setScript(Fakes.createScript(['Size '], outcome));
    const chat = await Calls.callOnce(`${router.url}/v1/chat/completions`, {
      body: { ...Calls.CHAT_BODY, stream: false },
    });
    const response = await Calls.callOnce(`${router.url}/v1/responses`, {
      body: { ...Calls.RESPONSE_BODY, stream: false },
    });
    expect(chat.text.includes('"finish_reason":"length"')).toEqual(true);
    expect(JSON.parse(response.text)).toLooseEqual({
      ...(JSON.parse(response.text) as object),
      status: 'incomplete',
      incomplete_details: { reason: 'max_output_tokens' },
    });
  });
});
