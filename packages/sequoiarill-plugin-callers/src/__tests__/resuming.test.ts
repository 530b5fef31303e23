import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';
import OpenAI from 'openai';

import * as Calls from './calls';
import type { StreamingAnswer } from './calls';
import * as Fakes from './fakes';
import type { Router, ControlledGeneration } from './fakes';

let router: Router;
let generation: ControlledGeneration;

beforeEach(async () => {
  router = await Fakes.startRouter();
  generation = Fakes.createControlledGeneration();
  router.setScript(generation.script);
});
afterEach(async () => router.stop());

async function openStream(): Promise<StreamingAnswer> {
  generation.sendText('Size ');
  return Calls.openCall(`${router.url}/v1/responses`, { body: Calls.RESPONSE_BODY });
}

function getResponseId(answer: StreamingAnswer): string {
  return String(answer.headers['x-request-id']);
}

/** Returns the `id:` of the last complete event. */
function getLastEventId(stream: string): string {
  const completeEvents = stream.slice(0, stream.lastIndexOf('\n\n'));
  return [...completeEvents.matchAll(/^id: (.*)$/gm)].at(-1)?.[1] ?? '';
}

function selectCompleteEvents(stream: string): string {
  return stream.slice(0, stream.lastIndexOf('\n\n') + 2);
}

describe('resuming a response', () => {
  async function simulateDisconnect(method: 'starting_after' | 'Last-Event-ID'): Promise<void> {
    // The caller's connection breaks in the middle of an answer while the engine continues. The
    // caller resumes the stream: no event may be missing or repeated.
    const first = await openStream();
    const url = `${router.url}/v1/responses/${getResponseId(first)}?stream=true`;
    const firstEvents = selectCompleteEvents(await first.readUntil('"delta":"Size "'));
    const eventsBeforeDisconnect = selectCompleteEvents(
      await first.readUntil('"sequence_number":4}'),
    );
    first.disconnect();
    generation.sendText('42 ');
    generation.sendText('fits.');
    generation.finish(Fakes.COMPLETED);
    const options =
      method === 'starting_after'
        ? {}
        : { headers: { 'last-event-id': getLastEventId(eventsBeforeDisconnect) } };
    const query = method === 'starting_after' ? '&starting_after=4' : '';
    const resumedStream = await Calls.callOnce(`${url}${query}`, options);
    const fullStream = await Calls.callOnce(url);
    expect(firstEvents.length > 0).toEqual(true);
    expect(eventsBeforeDisconnect + resumedStream.text).toEqual(fullStream.text);
    expect(Calls.getDeltas(fullStream.text)).toEqual('Size 42 fits.');
  }

  it('continues byte for byte after a disconnect, by starting_after', async () =>
    simulateDisconnect('starting_after'));
  it('continues byte for byte after a disconnect, by Last-Event-ID', async () =>
    simulateDisconnect('Last-Event-ID'));

  it('works with the openai client', async () => {
    const first = await openStream();
    await first.readUntil('"delta":"Size "');
    first.disconnect();
    const client = new OpenAI({ baseURL: `${router.url}/v1`, apiKey: Fakes.SHOP_KEY });
    const resumedStream = await client.responses.retrieve(getResponseId(first), {
      stream: true,
      starting_after: 4,
    });
    generation.sendText('42.');
    generation.finish(Fakes.COMPLETED);
    const types: string[] = [];
    for await (const event of resumedStream) types.push(event.type);
    expect([types[0], types.at(-1)]).toEqual(['response.output_text.delta', 'response.completed']);
    const retained = await client.responses.retrieve(getResponseId(first));
    expect([retained.status, retained.output_text]).toEqual(['completed', 'Size 42.']);
  });

  it('sends the full stream to each of two readers', async () => {
    const first = await openStream();
    await first.readUntil('"delta":"Size "');
    const second = await Calls.openCall(
      `${router.url}/v1/responses/${getResponseId(first)}?stream=true`,
    );
    generation.sendText('42.');
    generation.finish(Fakes.COMPLETED);
    const texts = await Promise.all([first.readUntil(), second.readUntil()]);
    expect(texts[0]).toEqual(texts[1]);
    expect(Calls.getDeltas(texts[0])).toEqual('Size 42.');
  });

  it('is refused to another organisation as if the response did not exist', async () => {
    // A response id leaks to another organisation; the error must not reveal that it exists.
    const first = await openStream();
    await first.readUntil('"delta":"Size "');
    const url = `${router.url}/v1/responses/${getResponseId(first)}`;
    const key = Fakes.DOORS_KEY;
    const answers = [
      await Calls.callOnce(url, { key }),
      await Calls.callOnce(`${url}?stream=true`, { key }),
      await Calls.callOnce(`${url}/cancel`, { key, method: 'POST' }),
      await Calls.callOnce(`${router.url}/v1/responses/resp_none`, { key }),
    ];
    expect(answers.map(Calls.getError)).toEqual(
      answers.map(() => [404, 'response_not_found', null]),
    );
    first.disconnect();
  });

  it('refuses a position that is malformed, past the end, forged or of another response', async () => {
    // Otherwise a caller with a corrupted or copied cursor would get a stream that silently starts
    // at the wrong event.
    const first = await openStream();
    const cursor = getLastEventId(await first.readUntil('"sequence_number":4}\n\n'));
    const url = `${router.url}/v1/responses/${getResponseId(first)}?stream=true`;
    const otherGeneration = Fakes.createControlledGeneration();
    router.setScript(otherGeneration.script);
    otherGeneration.sendText('Other');
    const second = await Calls.openCall(`${router.url}/v1/responses`, {
      body: Calls.RESPONSE_BODY,
    });
    const foreignCursor = getLastEventId(await second.readUntil('"sequence_number":4}\n\n'));
    const codes: unknown[] = [];
    for (const after of ['5', '-1', '1.5', 'x', '99999999999999999999']) {
      const answer = await Calls.callOnce(`${url}&starting_after=${after}`);
      codes.push(Calls.getError(answer)[1]);
    }
    for (const invalidCursor of [`${cursor}A`, cursor.replace(/^./, 'f'), 'x.y', foreignCursor]) {
      const answer = await Calls.callOnce(url, { headers: { 'last-event-id': invalidCursor } });
      codes.push(Calls.getError(answer)[1]);
    }
    expect(codes).toEqual([
      'past_the_end',
      'invalid_value',
      'invalid_value',
      'invalid_value',
      'invalid_value',
      'invalid_cursor',
      'invalid_cursor',
      'invalid_cursor',
      'invalid_cursor',
    ]);
    first.disconnect();
    second.disconnect();
  });

  it('ends with the status "cancelled" after a cancel', async () => {
    const first = await openStream();
    await first.readUntil('"delta":"Size "');
    const client = new OpenAI({ baseURL: `${router.url}/v1`, apiKey: Fakes.SHOP_KEY });
    const cancelled = await client.responses.cancel(getResponseId(first));
    expect(cancelled.status).toEqual('cancelled');
    await generation.stopped;
    const last = Calls.listEvents(await first.readUntil()).at(-1);
    expect(last?.type).toEqual('response.incomplete');
    expect((last?.response as Readonly<Record<string, unknown>>).status).toEqual('cancelled');
  });
});

describe('retained responses', () => {
  it('are dropped, oldest first, when they exceed the total limit', async (test) => {
    // Thousands of non-streaming answers end within a minute. Each is retained so that the caller
    // can read it again, but their total size must not exhaust the router's memory.
    const limitedRouter = await Fakes.startRouter({ maxRetainedBytes: 25 });
    test.after(limitedRouter.stop);
    const body = { ...Calls.RESPONSE_BODY, stream: false };
    const statuses: number[] = [];
    const urls: string[] = [];
    for (let count = 0; count < 3; count += 1) {
      const answer = await Calls.callOnce(`${limitedRouter.url}/v1/responses`, { body });
      urls.push(`${limitedRouter.url}/v1/responses/${String(answer.headers['x-request-id'])}`);
    }
    for (const url of urls) statuses.push((await Calls.callOnce(url)).status);
    expect(statuses).toEqual([404, 200, 200]);
    const dump = (await limitedRouter.kernel.dumpProcess()).plugins.callers;
    expect((dump?.responses as Readonly<Record<string, number>>).bytes).toEqual(22);
  });
});

describe('a caller that disconnects', () => {
  it('has its chat completion cancelled at once', async () => {
    generation.sendText('Size ');
    const answer = await Calls.openCall(`${router.url}/v1/chat/completions`, {
      body: Calls.CHAT_BODY,
    });
    await answer.readUntil('Size ');
    answer.disconnect();
    await generation.stopped;
  });

  it('has a response with "store": false cancelled at once', async () => {
    generation.sendText('Size ');
    const body = { ...Calls.RESPONSE_BODY, store: false };
    const answer = await Calls.openCall(`${router.url}/v1/responses`, { body });
    await answer.readUntil('Size ');
    answer.disconnect();
    await generation.stopped;
  });

  it('has a response cancelled when it does not reconnect in time', async (test) => {
    // A user closes the page. The engine must not generate the rest of the answer for nobody, but
    // must not be stopped at once either, since the page may only be reloading.
    const shortGraceRouter = await Fakes.startRouter({ resumeGraceMs: 20 });
    test.after(shortGraceRouter.stop);
    shortGraceRouter.setScript(generation.script);
    generation.sendText('Size ');
    const answer = await Calls.openCall(`${shortGraceRouter.url}/v1/responses`, {
      body: Calls.RESPONSE_BODY,
    });
    await answer.readUntil('Size ');
    answer.disconnect();
    await generation.stopped;
  });

  it('has its queued request cancelled before the first token', async () => {
    // The caller gives up while its request is still queued. Nothing has been written yet, so the
    // closed connection is the router's only indication.
    const call = Calls.openCall(`${router.url}/v1/responses`, { body: Calls.RESPONSE_BODY });
    call.catch(() => undefined);
    await Calls.waitUntil(() => generation.getRequest() !== undefined);
    const client = new OpenAI({ baseURL: `${router.url}/v1`, apiKey: Fakes.SHOP_KEY });
    const queuedGeneration = Fakes.createControlledGeneration();
    router.setScript(queuedGeneration.script);
    const controller = new AbortController();
    const { signal } = controller;
    const second = client.responses.create({ model: 'advisor', input: 'x' }, { signal });
    second.catch(() => undefined);
    await Calls.waitUntil(() => queuedGeneration.getRequest() !== undefined);
    controller.abort();
    await queuedGeneration.stopped;
    generation.finish(Fakes.COMPLETED);
    expect((await call).status).toEqual(200);
  });
});
