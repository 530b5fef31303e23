import { after, before, describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';
import { OpenAI } from 'openai';

import * as Calls from '../../shared/__tests__/calls';
import * as Engine from '..';

const SEED = 20_261_202;
const MODEL = 'standin-model';
const END_PROBABILITY = 1 / 60;
const OPTIONS = { model: MODEL, seed: 1, endProbability: END_PROBABILITY };
const MAX_TOKENS = 80;

describe('continuation on another engine', () => {
  const settings = { stepMs: 1, eosProbability: END_PROBABILITY };
  const first = Engine.createEngineStandin(settings);
  const second = Engine.createEngineStandin(settings);
  let firstUrl = '';
  let secondUrl = '';

  before(async () => {
    firstUrl = `http://${(await first.start()).address}`;
    secondUrl = `http://${(await second.start()).address}`;
  });

  after(async () => {
    await first.stop();
    await second.stop();
  });

  async function readCompletion(url: string, prompt: readonly number[], maxTokens: number) {
    const response = await Calls.sendJson(`${url}/v1/completions`, {
      model: MODEL,
      prompt,
      max_tokens: maxTokens,
      stream: true,
      return_token_ids: true,
    });
    return Calls.readStream(response);
  }

  // Guards against an answer with a duplicate or missing token or of another length: the first
  // engine crashes at some token, and the second receives the prompt and all tokens emitted so far.
  // It can only continue exactly if each token depends on nothing but the tokens before it.
  it('generates the same tokens wherever the output is cut', async () => {
    const prompts = FastCheck.array(FastCheck.integer({ min: 10, max: 50_000 }), {
      minLength: 1,
      maxLength: 40,
    });
    const property = FastCheck.asyncProperty(prompts, FastCheck.nat(), async (prompt, nat) => {
      const fullRun = await readCompletion(firstUrl, prompt, MAX_TOKENS);
      expect(fullRun.isDone).toEqual(true);
      if (fullRun.ids.length < 2) return;
      const cut = 1 + (nat % (fullRun.ids.length - 1));
      const received = fullRun.ids.slice(0, cut);
      const rest = await readCompletion(secondUrl, [...prompt, ...received], MAX_TOKENS - cut);
      expect([...received, ...rest.ids]).toEqual([...fullRun.ids]);
      expect(rest.finishReason).toEqual(fullRun.finishReason);
    });
    await FastCheck.assert(property, { seed: SEED, numRuns: 40 });
  });

  it('generates what the exported reference computes, also for chat', async () => {
    const messages = [{ role: 'user', content: 'Which size of the wool jacket?' }] as const;
    const response = await Calls.sendJson(`${firstUrl}/v1/chat/completions`, {
      model: MODEL,
      messages,
      max_tokens: MAX_TOKENS,
      stream: true,
      return_token_ids: true,
      stream_options: { include_usage: true },
    });
    const answer = await Calls.readStream(response);
    const promptIds = Engine.encodeMessages(messages);
    const expected = Engine.computeOutput(OPTIONS, promptIds, MAX_TOKENS);
    expect([...answer.promptIds]).toEqual([...promptIds]);
    expect([...answer.ids]).toEqual([...expected.ids]);
    expect(answer.text).toEqual(expected.text);
    expect(answer.finishReason).toEqual(expected.finishReason);
    expect(answer.usage?.completion_tokens).toEqual(expected.ids.length);
  });

  it('serves the published client of the API', async () => {
    const openai = new OpenAI({ baseURL: `${firstUrl}/v1`, apiKey: 'none', maxRetries: 0 });
    const messages = [{ role: 'user', content: 'Renew the contract.' }] as const;
    const stream = await openai.chat.completions.create({
      model: MODEL,
      messages: [...messages],
      max_tokens: MAX_TOKENS,
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = '';
    let tokens = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      tokens = chunk.usage?.completion_tokens ?? tokens;
    }
    const expected = Engine.computeOutput(OPTIONS, Engine.encodeMessages(messages), MAX_TOKENS);
    expect([text, tokens]).toEqual([expected.text, expected.ids.length]);
    const models = await openai.models.list();
    expect(models.data.map((model) => model.id)).toEqual([MODEL]);
  });

  // Reproduces how U+FFFD gets into the middle of a word: an engine crashes between the two tokens
  // of one character, and the continuation starts there. Engines decode only their own output, so a
  // router has to cut before the character.
  it('decodes the second half of a character to U+FFFD if its first half is in the prompt', async () => {
    const prompt = [11, 12, 13];
    const options = { ...OPTIONS, endProbability: 0 };
    const fullOutput = Engine.computeOutput(options, prompt, 400);
    const lead = fullOutput.ids.findIndex(Engine.isLeadToken);
    expect(lead >= 0).toEqual(true);
    const beforeCharacter = fullOutput.ids.slice(0, lead);
    const replaced = await readCompletion(
      secondUrl,
      [...prompt, ...beforeCharacter, fullOutput.ids[lead] ?? 0],
      1,
    );
    expect(replaced.text).toEqual('\uFFFD');
    const clean = await readCompletion(secondUrl, [...prompt, ...beforeCharacter], 2);
    expect(clean.text).toEqual(
      Engine.computeOutput(options, [...prompt, ...beforeCharacter], 2).text,
    );
    expect(clean.text).not.toEqual('\uFFFD');
  });
});
