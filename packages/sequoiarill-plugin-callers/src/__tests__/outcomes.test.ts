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

function createNotRunOutcome(reason: 'organisationLimit' | 'overloaded'): GenerationOutcome {
  return { kind: 'notRun', reason, message: 'Too much.', retryAfterSeconds: 3 };
}

describe('an answer that does not complete', () => {
  for (const [path, streamed] of PATHS) {
    for (const stream of [true, false]) {
      const body = { ...streamed, stream };

      it(`has an error status when nothing was run: ${path}, stream ${stream}`, async () => {
        // The system is overloaded. A stream that starts with 200 and then ends would look like a
        // truncated answer, and the caller could not tell that a retry is safe.
        const router = await started;
        router.setScript(
          Fakes.createGenerationScript([], createNotRunOutcome('organisationLimit')),
        );
        const limited = await Calls.callOnce(router.url + path, { body });
        router.setScript(Fakes.createGenerationScript([], createNotRunOutcome('overloaded')));
        const overloaded = await Calls.callOnce(router.url + path, { body });
        expect(Calls.getError(limited)).toEqual([429, 'rate_limit_exceeded', null]);
        expect(Calls.getError(overloaded)).toEqual([503, 'overloaded', null]);
        expect([limited.headers['retry-after'], overloaded.headers['retry-after']]).toEqual([
          '3',
          '3',
        ]);
      });

      it(`reports the parameter that an engine rejects: ${path}, stream ${stream}`, async () => {
        const router = await started;
        const message = 'The prompt is too long.';
        router.setScript(
          Fakes.createGenerationScript([], { kind: 'rejected', message, parameter: 'messages' }),
        );
        const answer = await Calls.callOnce(router.url + path, { body });
        expect(Calls.getError(answer)).toEqual([400, 'request_rejected', 'messages']);
      });
    }
  }

  it('ends a chat stream with an error and without [DONE]', async () => {
    // All engines of a model fail in the middle of an answer. The caller must be notified at once
    // that it is truncated, and when to retry; silence would look like a slow engine.
    const router = await started;
    router.setScript(Fakes.createGenerationScript(['Size '], LOST));
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
    // The same failure through the Responses API.
    const router = await started;
    router.setScript(Fakes.createGenerationScript(['Size '], LOST));
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

  it('fails a non-streaming answer that was lost in the middle', async () => {
    // A caller of a non-streaming answer must not get a partial one with status 200.
    const router = await started;
    for (const [path, streamed] of PATHS) {
      router.setScript(Fakes.createGenerationScript(['Size '], LOST));
      const body = { ...streamed, stream: false };
      const answer = await Calls.callOnce(router.url + path, { body });
      expect(Calls.getError(answer)).toEqual([503, 'generation_lost', null]);
      expect(answer.headers['retry-after']).toEqual('4');
    }
  });

  it('has the status "length" or "incomplete" when the output limit ends it', async () => {
    const router = await started;
    const outcome: GenerationOutcome = { kind: 'completed', finishReason: 'length', usage: USAGE };
    router.setScript(Fakes.createGenerationScript(['Size '], outcome));
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
