import { after, before, describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import * as Demo from '@sequoiarill/demo';
import { expect } from 'earl';
import OpenAI from 'openai';

import * as Answers from '../answers';
import * as Fleets from '../fleet';
import type { Fleet } from '../fleet';
import * as Journals from '../journals';

const MAX_TOKENS = 150;
const LOSS_AFTER_PIECES = 30;
const PAUSE_BETWEEN_SILENCES_MS = 200;
const PROMPT = 'Which size fits a narrow foot?';

describe('loss of an engine process', () => {
  let fleet: Fleet;
  let baseline: Answers.ReadAnswer;

  before(async () => {
    fleet = await Fleets.startFleet({
      engines: 3,
      engineSettings: { stepMs: 8, eosProbability: 0 },
    });
    baseline = await readAnswer();
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

  it('continues the stream with the next token after SIGKILL', async () => {
    // The engine's process is killed in the middle of an answer. Another engine must continue the stream,
    // with the text, token count and finish reason of an undisturbed run.
    let killed: Promise<number> | undefined;
    const answer = await readAnswer((requestId) => {
      killed = sendToEngine(requestId, 'SIGKILL');
    });
    const engine = await killed!;
    await fleet.startEngine(engine);
    expect(answer.text).toEqual(baseline.text);
    expect(answer.completionTokens).toEqual(MAX_TOKENS);
    expect(answer.promptTokens).toEqual(baseline.promptTokens);
    expect(answer.finishReason).toEqual('length');
    expect(answer.error).toEqual(undefined);
    const journal = await Journals.readJournal(fleet.routers[0]!, answer.requestId!);
    expect(journal.filter(({ kind }) => kind === 'dispatched').length).toEqual(2);
  });

  it('finds a stop sequence in the text of two engines', async () => {
    // The stop sequence begins some tokens after the kill. The text before the kill came from the first
    // engine, so neither engine alone has the complete text in which to find it.
    const stop = [baseline.text.slice(-60, -48)];
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

  it('continues without a paused engine and discards its output after it resumes', async () => {
    // An engine's process is paused in the middle of an answer and resumes after another engine has taken
    // over. The caller must get each token once; late output of the first engine is discarded.
    let paused: Promise<number> | undefined;
    const answer = await readAnswer((requestId) => {
      paused = sendToEngine(requestId, 'SIGSTOP');
    });
    fleet.engines[await paused!]!.send('SIGCONT');
    expect(answer.text).toEqual(baseline.text);
    expect(answer.completionTokens).toEqual(MAX_TOKENS);
    const again = await readAnswer();
    expect(again.text).toEqual(baseline.text);
  });

  it('keeps the stream while all engine processes are paused together', async () => {
    // The kernel still accepts connections for a paused process. Giving up one engine after another for
    // its silence would leave none, although all of them are sound.
    const silencesMs = [1_300, 3_000, 1_300];
    let silences: Promise<void> | undefined;
    async function injectSilences(): Promise<void> {
      for (const ms of silencesMs) {
        fleet.engines.forEach((engine) => engine.send('SIGSTOP'));
        await startTimeout(ms);
        fleet.engines.forEach((engine) => engine.send('SIGCONT'));
        await startTimeout(PAUSE_BETWEEN_SILENCES_MS);
      }
    }
    const answer = await readAnswer(() => {
      silences = injectSilences();
    });
    await silences;
    expect(answer.error).toEqual(undefined);
    expect(answer.text).toEqual(baseline.text);
    expect(answer.completionTokens).toEqual(MAX_TOKENS);
  });

  it('serves the official client during the loss of an engine, streaming and not', async () => {
    // Uses the published client unchanged while an engine is killed during its stream.
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
    const nonStreaming = await client.responses.create({
      model: Demo.MODEL,
      input: PROMPT,
      max_output_tokens: MAX_TOKENS,
    });
    expect(text).toEqual(baseline.text);
    expect(nonStreaming.output_text).toEqual(baseline.text);
  });

  it('reports an error at once when no engine is left', async () => {
    // All engines are killed in the middle of an answer. The caller keeps the text so far and must get an
    // error at once, instead of waiting for its own timeout.
    const answer = await readAnswer(() => {
      fleet.engines.forEach((engine) => engine.send('SIGKILL'));
    });
    expect(answer.finishReason).toEqual(undefined);
    expect(baseline.text.startsWith(answer.text)).toEqual(true);
    expect(answer.error === undefined).toEqual(false);
    const refused = await readAnswer();
    expect(refused.status).toEqual(503);
    expect(refused.retryAfter === undefined).toEqual(false);
  });
});
