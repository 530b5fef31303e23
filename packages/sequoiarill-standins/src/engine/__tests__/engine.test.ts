import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import * as Calls from '../../shared/__tests__/calls';
import * as Engine from '..';

const MODEL = 'standin-model';

describe('engine', () => {
  let engine: Engine.EngineStandin;
  let url = '';

  async function startEngine(settings: Engine.EngineSettingsInput = {}): Promise<void> {
    engine = Engine.createEngineStandin({ stepMs: 1, eosProbability: 0, ...settings });
    url = `http://${(await engine.start()).address}`;
  }

  afterEach(async () => engine.stop());

  function sendPrompt(
    fields: Readonly<Record<string, unknown>> = {},
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Calls.StreamResponse> {
    const body = { model: MODEL, prompt: [11, 12, 13], max_tokens: 50, stream: true };
    return Calls.sendJson(
      `${url}/v1/completions`,
      { ...body, return_token_ids: true, stream_options: { include_usage: true }, ...fields },
      headers,
    );
  }

  async function resumeStream(requestId: string, startingAfter: number, fencingNumber = 0) {
    return Calls.readGet(
      `${url}/v1/completions/${requestId}?stream=true&starting_after=${startingAfter}`,
      { 'x-fencing-number': String(fencingNumber) },
    );
  }

  it('continues without its reader and resumes after the last received token', async () => {
    await startEngine();
    const broken = await sendPrompt({ max_tokens: 200 }, { 'x-request-id': 'r1' });
    const part = await Calls.readStream(broken, 20);
    const rest = await Calls.readStream(await resumeStream('r1', part.ids.length));
    const expected = Engine.computeOutput(
      { model: MODEL, seed: 1, endProbability: 0 },
      [11, 12, 13],
      200,
    );
    expect([...part.ids, ...rest.ids]).toEqual([...expected.ids]);
    expect(part.text + rest.text).toEqual(expected.text);
    expect(rest.usage?.completion_tokens).toEqual(200);
    expect(engine.getCounters().tokensGenerated).toEqual(200);
  });

  it('ends a generation if no reader reconnects in time', async () => {
    await startEngine({ holdMs: 5 });
    await Calls.readStream(await sendPrompt({ max_tokens: 9_999 }, { 'x-request-id': 'r1' }), 2);
    await Calls.waitUntil(() => engine.getCounters().abandoned === 1);
    expect((await resumeStream('r1', 2)).statusCode).toEqual(404);
  });

  // Guards against mixing two generations of one request into one answer: a router is paused,
  // another takes over with a higher fencing number, then the first resumes. Without fencing, an
  // engine would serve whichever router sent the last request.
  it('ends the older generation and refuses a stale fencing number', async () => {
    await startEngine({ checksFencing: true });
    const longRequest = { max_tokens: 9_999 };
    const older = await sendPrompt(longRequest, { 'x-request-id': 'r1', 'x-fencing-number': '1' });
    const newer = await sendPrompt(longRequest, { 'x-request-id': 'r1', 'x-fencing-number': '2' });
    const olderEnd = await Calls.readStream(older);
    expect([olderEnd.finishReason, olderEnd.isDone, olderEnd.isBroken]).toEqual([
      null,
      false,
      false,
    ]);
    const stale = await sendPrompt(longRequest, { 'x-request-id': 'r1', 'x-fencing-number': '1' });
    const body = await Calls.readJson<{ error: { code: string } }>(stale);
    expect([stale.statusCode, body.error.code]).toEqual([409, 'stale_fencing_number']);
    expect((await resumeStream('r1', 0, 1)).statusCode).toEqual(409);
    expect(engine.getCounters().staleRefused).toEqual(2);
    newer.body.destroy();
  });

  it('ignores fencing numbers if it is not configured to check them', async () => {
    await startEngine();
    const headers = { 'x-request-id': 'r1' };
    const newer = await sendPrompt({}, { ...headers, 'x-fencing-number': '2' });
    const older = await sendPrompt({}, { ...headers, 'x-fencing-number': '1' });
    const ends = [await Calls.readStream(newer), await Calls.readStream(older)];
    expect(ends.map((end) => end.isDone)).toEqual([true, true]);
  });

  it('stops at a cancel command and reports the tokens produced', async () => {
    await startEngine();
    const response = await sendPrompt({ max_tokens: 9_999 }, { 'x-request-id': 'r1' });
    const events = Calls.readEvents(response);
    await events.next();
    const cancel = await Calls.sendJson(`${url}/v1/completions/r1/cancel`, {});
    const body = await Calls.readJson<{ usage: { completion_tokens: number } }>(cancel);
    expect(cancel.statusCode).toEqual(200);
    expect(body.usage.completion_tokens).toEqual(engine.getCounters().tokensGenerated);
    await events.return();
    await Calls.waitUntil(() => engine.getLoad().running === 0);
    expect(engine.getCounters().cancelled).toEqual(1);
  });

  it('crashes after a number of tokens and restarts without its state', async () => {
    await startEngine();
    const { incarnation } = engine.getLoad();
    await engine.setFault({ kind: 'dieAfterTokens', count: 7 });
    const end = await Calls.readStream(await sendPrompt({}, { 'x-request-id': 'r1' }));
    expect([end.ids.length, end.isBroken, end.finishReason]).toEqual([7, true, null]);
    await expect(sendPrompt()).toBeRejected();
    await engine.setFault({ kind: 'revive' });
    expect((await resumeStream('r1', 7)).statusCode).toEqual(404);
    expect(engine.getLoad().incarnation > incarnation).toEqual(true);
    expect((await Calls.readStream(await sendPrompt())).isDone).toEqual(true);
  });

  it('accepts faults over HTTP and responds before it crashes', async () => {
    await startEngine();
    const { incarnation } = engine.getLoad();
    const refused = await Calls.sendJson(`${url}/standin/fault`, { kind: 'nap' });
    expect(refused.statusCode).toEqual(400);
    await refused.body.dump();
    const fault = { kind: 'die', reviveAfterMs: 1 };
    const answer = await Calls.sendJson(`${url}/standin/fault`, fault);
    expect(answer.statusCode).toEqual(200);
    await answer.body.dump();
    await Calls.waitUntil(() => engine.getLoad().incarnation > incarnation);
    await Calls.waitUntil(() =>
      Calls.readGet(`${url}/health`).then(
        (response) => response.statusCode === 200,
        () => false,
      ),
    );
  });

  it('keeps connections open during a pause and continues afterwards', async () => {
    await startEngine();
    const events = Calls.readEvents(await sendPrompt({ max_tokens: 500 }));
    await events.next();
    await engine.setFault({ kind: 'pause' });
    const generated = engine.getCounters().tokensGenerated;
    const health = Calls.readGet(`${url}/health`);
    await new Promise(setImmediate);
    expect(engine.getCounters().tokensGenerated).toEqual(generated);
    await engine.setFault({ kind: 'unpause' });
    expect((await health).statusCode).toEqual(200);
    let last = '';
    for await (const event of events) last = event;
    expect(last).toEqual('[DONE]');
  });

  it('stalls its streams while other requests are answered', async () => {
    await startEngine();
    await engine.setFault({ kind: 'stallAfterTokens', count: 3 });
    const response = await sendPrompt();
    await Calls.waitUntil(() => engine.getCounters().tokensGenerated === 3);
    expect((await Calls.readGet(`${url}/health`)).statusCode).toEqual(200);
    expect(engine.getCounters().tokensGenerated).toEqual(3);
    await engine.setFault({ kind: 'heal' });
    expect((await Calls.readStream(response)).ids.length).toEqual(50);
  });

  it('queues requests beyond its slots, runs the lowest priority number first and refuses the rest', async () => {
    await startEngine({ slots: 1, maxWaiting: 2 });
    const running = await sendPrompt({ max_tokens: 100 });
    const late = sendPrompt({ priority: 9, max_tokens: 1 }).then(Calls.readStream);
    await Calls.waitUntil(() => engine.getLoad().waiting === 1);
    const urgent = sendPrompt({ priority: 0, max_tokens: 2 }).then(Calls.readStream);
    await Calls.waitUntil(() => engine.getLoad().waiting === 2);
    const refused = await sendPrompt();
    expect([refused.statusCode, refused.headers['retry-after']]).toEqual([503, '1']);
    const endOrder: string[] = [];
    await Promise.all([
      Calls.readStream(running).then(() => endOrder.push('running')),
      late.then(() => endOrder.push('late')),
      urgent.then(() => endOrder.push('urgent')),
    ]);
    expect(endOrder).toEqual(['running', 'urgent', 'late']);
  });

  it('reports cached prompt tokens, and publishes stored blocks with gaps', async () => {
    await startEngine({ cacheEventDelayMs: 0, cacheEventGapEvery: 2 });
    const prompt = Array.from({ length: 40 }, (unused, index) => 100 + index);
    await Calls.readStream(await sendPrompt({ prompt, max_tokens: 1 }));
    const again = await Calls.readStream(await sendPrompt({ prompt, max_tokens: 20 }));
    expect(again.usage?.prompt_tokens_details.cached_tokens).toEqual(32);
    await Calls.waitUntil(() => engine.getLoad().running === 0);
    await Calls.readStream(await sendPrompt({ prompt: [...prompt, 7, 8], max_tokens: 9 }));
    const response = await Calls.readGet(`${url}/cache_events?after=0`);
    const { events } = await Calls.readJson<{ events: readonly { sequence: number }[] }>(response);
    expect(events[0]?.sequence).toEqual(1);
    expect(events.every((event) => event.sequence % 2 === 1)).toEqual(true);
  });

  it('refuses an unknown model and a prompt that exceeds the context', async () => {
    await startEngine({ contextTokens: 60, loadMs: 0 });
    const unknown = await sendPrompt({ model: 'other' });
    expect(unknown.statusCode).toEqual(404);
    const long = await sendPrompt({ max_tokens: 58 });
    const { error } = await Calls.readJson<{ error: { code: string } }>(long);
    expect([long.statusCode, error.code]).toEqual([400, 'context_length_exceeded']);
    await Calls.sendJson(`${url}/v1/models/load`, { model: 'other' });
    expect((await Calls.readStream(await sendPrompt({ model: 'other' }))).isDone).toEqual(true);
  });

  it('finishes generations in progress while it drains', async () => {
    await startEngine();
    const response = await sendPrompt();
    await engine.setFault({ kind: 'drain' });
    expect((await Calls.readGet(`${url}/health`)).statusCode).toEqual(503);
    expect((await sendPrompt()).statusCode).toEqual(503);
    expect((await Calls.readStream(response)).isDone).toEqual(true);
  });
});
