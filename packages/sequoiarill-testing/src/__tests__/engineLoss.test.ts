import { after, before, describe, it } from 'node:test';

import * as Demo from '@sequoiarill/demo';
import { expect } from 'earl';
import OpenAI from 'openai';

import * as Answers from '../answers';
import * as Fleets from '../fleet';
import type { Fleet } from '../fleet';
import * as Journals from '../journals';

const MAX_TOKENS = 150;
const LOSS_AFTER_PIECES = 30;
const PROMPT = 'Which size fits a narrow foot?';

describe('loss of an engine process', () => {
  let fleet: Fleet;
  let calm: Answers.ReadAnswer;

  before(async () => {
    fleet = await Fleets.startFleet({
      engines: 3,
      engineSettings: { stepMs: 8, eosProbability: 0 },
    });
    calm = await readAnswer();
  });

  after(() => fleet.stop());

  async function readAnswer(
    onPiece?: (requestId: string) => void,
    stop?: readonly string[],
  ): Promise<Answers.ReadAnswer> {
    return Answers.readAnswer({
      url: fleet.routers[0]!.callers,
      apiKey: fleet.apiKey,
      prompt: PROMPT,
      maxTokens: MAX_TOKENS,
      ...(stop && { stop }),
      onText(_text, count, requestId) {
        if (count === LOSS_AFTER_PIECES) onPiece?.(requestId);
      },
    });
  }

  async function sendToEngine(requestId: string, signal: NodeJS.Signals): Promise<number> {
    const engine = await Journals.findEngine(fleet.routers[0]!, requestId);
    fleet.engines[engine]!.send(signal);
    return engine;
  }

  it('continues the open stream with the very next token after SIGKILL', async () => {
    // A shopper reads a recommendation when its engine's machine loses power. The stream goes on
    // from another engine; the whole text, the count of tokens and the finish reason are those of
    // an undisturbed run. Cause: the engine's process is killed deep into the answer.
    let killed: Promise<number> | undefined;
    const answer = await readAnswer((requestId) => {
      killed = sendToEngine(requestId, 'SIGKILL');
    });
    const engine = await killed!;
    await fleet.startEngine(engine);
    expect(answer.text).toEqual(calm.text);
    expect(answer.completionTokens).toEqual(MAX_TOKENS);
    expect(answer.promptTokens).toEqual(calm.promptTokens);
    expect(answer.finishReason).toEqual('length');
    expect(answer.error).toEqual(undefined);
    const journal = await Journals.readJournal(fleet.routers[0]!, answer.requestId!);
    expect(journal.filter(({ kind }) => kind === 'dispatched').length).toEqual(2);
  });

  it('ends before a stop sequence as if no engine had died', async () => {
    // The answer has a stop sequence some tokens after the kill. The part before the kill came
    // from the first engine, and neither engine alone knows the whole text.
    const stop = [calm.text.slice(-60, -48)];
    const undisturbed = await readAnswer(undefined, stop);
    let killed: Promise<number> | undefined;
    const answer = await readAnswer((requestId) => {
      killed = sendToEngine(requestId, 'SIGKILL');
    }, stop);
    await fleet.startEngine(await killed!);
    expect(answer.text).toEqual(undisturbed.text);
    expect(answer.finishReason).toEqual('stop');
    expect(answer.completionTokens).toEqual(undisturbed.completionTokens);
  });

  it('goes on without an engine that is paused, and ignores what it sends when woken', async () => {
    // An engine's machine freezes in the middle of an answer and wakes after another engine has
    // taken over. The caller gets each token once; what the woken engine still sends goes nowhere.
    let paused: Promise<number> | undefined;
    const answer = await readAnswer((requestId) => {
      paused = sendToEngine(requestId, 'SIGSTOP');
    });
    fleet.engines[await paused!]!.send('SIGCONT');
    expect(answer.text).toEqual(calm.text);
    expect(answer.completionTokens).toEqual(MAX_TOKENS);
    const again = await readAnswer();
    expect(again.text).toEqual(calm.text);
  });

  it('serves the official client, streaming and not, through a kill', async () => {
    // A web shop uses the published client unchanged while an engine dies under its stream.
    const client = new OpenAI({
      apiKey: fleet.apiKey,
      baseURL: `${fleet.routers[0]!.callers}/v1`,
      maxRetries: 0,
    });
    const stream = await client.responses.create({
      model: Demo.MODEL,
      input: PROMPT,
      max_output_tokens: MAX_TOKENS,
      stream: true,
    });
    let text = '';
    let pieces = 0;
    let responseId = '';
    let killed: Promise<number> | undefined;
    for await (const event of stream) {
      if (event.type === 'response.created') responseId = event.response.id;
      if (event.type === 'response.output_text.delta') {
        text += event.delta;
        pieces += 1;
        if (pieces === LOSS_AFTER_PIECES) killed = sendToEngine(responseId, 'SIGKILL');
      }
    }
    await fleet.startEngine(await killed!);
    const whole = await client.responses.create({
      model: Demo.MODEL,
      input: PROMPT,
      max_output_tokens: MAX_TOKENS,
    });
    expect(text).toEqual(calm.text);
    expect(whole.output_text).toEqual(calm.text);
  });

  it('tells the caller at once when no engine is left', async () => {
    // Every engine is gone in the middle of an answer. The caller keeps what stands and hears at
    // once that it can't be continued, instead of waiting for its own timeout.
    const answer = await readAnswer(() => {
      fleet.engines.forEach((engine) => engine.send('SIGKILL'));
    });
    expect(answer.finishReason).toEqual(undefined);
    expect(calm.text.startsWith(answer.text)).toEqual(true);
    expect(answer.error === undefined).toEqual(false);
    const refused = await readAnswer();
    expect(refused.status).toEqual(503);
    expect(refused.retryAfter === undefined).toEqual(false);
  });
});
