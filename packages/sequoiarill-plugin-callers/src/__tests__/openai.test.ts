import { after, before, describe, it } from 'node:test';

import { expect } from 'earl';
import OpenAI from 'openai';

import * as Fakes from './fakes';
import type { Router } from './fakes';

let router: Router;
let client: OpenAI;

before(async () => {
  router = await Fakes.startRouter();
  client = new OpenAI({ baseURL: `${router.url}/v1`, apiKey: Fakes.SHOP_KEY, maxRetries: 0 });
});
after(async () => router.stop());

describe('the unmodified openai client', () => {
  it('gets a non-streaming chat completion', async () => {
    const answer = await client.chat.completions.create({
      model: 'advisor',
      messages: [{ role: 'user', content: [{ type: 'text', text: 'Which size?' }] }],
      stop: '\n',
      max_tokens: 20,
    });
    expect(answer.choices[0]?.message.content).toEqual('Hello world');
    expect(answer.choices[0]?.finish_reason).toEqual('stop');
    expect(answer.usage?.total_tokens).toEqual(10);
  });

  it('gets a chat completion as a stream with its usage', async () => {
    const stream = await client.chat.completions.create({
      model: 'advisor',
      messages: [{ role: 'user', content: 'Which size?' }],
      stream: true,
      stream_options: { include_usage: true },
    });
    const texts: string[] = [];
    let total = 0;
    for await (const chunk of stream) {
      texts.push(chunk.choices[0]?.delta.content ?? '');
      total = chunk.usage?.total_tokens ?? total;
    }
    expect(texts.join('')).toEqual('Hello world');
    expect(total).toEqual(10);
  });

  it('gets a non-streaming response', async () => {
    const answer = await client.responses.create({
      model: 'advisor',
      input: 'Which size?',
      instructions: 'Be brief.',
    });
    expect(answer.output_text).toEqual('Hello world');
    expect(answer.status).toEqual('completed');
    expect(answer.usage?.output_tokens).toEqual(3);
  });

  it('gets a response as a stream with consecutive sequence numbers', async () => {
    const stream = client.responses.stream({ model: 'advisor', input: 'Which size?' });
    const types: string[] = [];
    const numbers: number[] = [];
    for await (const event of stream) {
      types.push(event.type);
      numbers.push(event.sequence_number);
    }
    const final = await stream.finalResponse();
    // The client computes `output_text` for non-streaming answers only.
    const texts = final.output.flatMap((item) =>
      item.type === 'message'
        ? item.content.map((part) => (part.type === 'output_text' ? part.text : ''))
        : [],
    );
    expect(texts).toEqual(['Hello world']);
    expect(numbers).toEqual(types.map((_, index) => index));
    expect(types).toEqual([
      'response.created',
      'response.in_progress',
      'response.output_item.added',
      'response.content_part.added',
      'response.output_text.delta',
      'response.output_text.delta',
      'response.output_text.delta',
      'response.output_text.done',
      'response.content_part.done',
      'response.output_item.done',
      'response.completed',
    ]);
  });

  it('raises an error when an answer is lost in the middle', async () => {
    // The last engine of a model fails in the middle of an answer. If the stream ended normally,
    // the client would treat the partial answer as complete.
    router.setScript(
      Fakes.createGenerationScript(['Half'], {
        kind: 'lost',
        message: 'No engine is left.',
        usage: { promptTokens: 1, completionTokens: 1 },
        retryAfterSeconds: 2,
      }),
    );
    const stream = await client.chat.completions.create({
      model: 'advisor',
      messages: [{ role: 'user', content: 'Which size?' }],
      stream: true,
    });
    let code: unknown;
    try {
      for await (const chunk of stream) expect(chunk.model).toEqual('advisor');
    } catch (error) {
      code = (error as InstanceType<typeof OpenAI.APIError>).code;
    }
    router.setScript(Fakes.createGenerationScript(['Hello', ' wor', 'ld']));
    expect(code).toEqual('generation_lost');
  });

  it('lists only the models of its organisation', async () => {
    const models = await client.models.list();
    expect(models.data.map((model) => model.id)).toEqual(['advisor']);
  });

  it('is refused with a wrong key', async () => {
    const wrong = client.withOptions({ apiKey: 'sqr_k1_wrong' });
    const error = await wrong.models.list().then(
      () => undefined,
      (reason: unknown) => reason as InstanceType<typeof OpenAI.APIError>,
    );
    expect([error?.status, error?.code]).toEqual([401, 'invalid_api_key']);
  });
});
