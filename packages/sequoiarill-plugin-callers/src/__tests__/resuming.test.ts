import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';
import OpenAI from 'openai';

import * as Calls from './calls';
import type { OpenAnswer } from './calls';
import * as Fakes from './fakes';
import type { Router, StepScript } from './fakes';

let router: Router;
let steps: StepScript;

beforeEach(async () => {
  router = await Fakes.startRouter();
  steps = Fakes.createStepScript();
  router.setScript(steps.script);
});
afterEach(async () => router.stop());

async function openStream(): Promise<OpenAnswer> {
  steps.sendText('Size ');
  return Calls.openCall(`${router.url}/v1/responses`, { body: Calls.RESPONSE_BODY });
}

function getId(answer: OpenAnswer): string {
  return String(answer.headers['x-request-id']);
}

/** The `id:` of the last whole event. */
function getLastEventId(stream: string): string {
  const whole = stream.slice(0, stream.lastIndexOf('\n\n'));
  return [...whole.matchAll(/^id: (.*)$/gm)].at(-1)?.[1] ?? '';
}

function selectWholeEvents(stream: string): string {
  return stream.slice(0, stream.lastIndexOf('\n\n') + 2);
}

describe('resuming a response', () => {
  async function playDisconnect(way: 'starting_after' | 'Last-Event-ID'): Promise<void> {
    // A shopper's phone changes networks in the middle of an answer. The connection breaks, the
    // engine goes on, and the phone asks for the rest: no event may be missing or repeated.
    const first = await openStream();
    const url = `${router.url}/v1/responses/${getId(first)}?stream=true`;
    const read = selectWholeEvents(await first.readUntil('"delta":"Size "'));
    const whole = selectWholeEvents(await first.readUntil('"sequence_number":4}'));
    first.leave();
    steps.sendText('42 ');
    steps.sendText('fits.');
    steps.finish(Fakes.COMPLETED);
    const options =
      way === 'starting_after' ? {} : { headers: { 'last-event-id': getLastEventId(whole) } };
    const query = way === 'starting_after' ? '&starting_after=4' : '';
    const rest = await Calls.callOnce(`${url}${query}`, options);
    const undisturbed = await Calls.callOnce(url);
    expect(read.length > 0).toEqual(true);
    expect(whole + rest.text).toEqual(undisturbed.text);
    expect(Calls.getDeltas(undisturbed.text)).toEqual('Size 42 fits.');
  }

  it('goes on byte for byte after a disconnect, by starting_after', async () =>
    playDisconnect('starting_after'));
  it('goes on byte for byte after a disconnect, by Last-Event-ID', async () =>
    playDisconnect('Last-Event-ID'));

  it('works with the openai client', async () => {
    const first = await openStream();
    await first.readUntil('"delta":"Size "');
    first.leave();
    const client = new OpenAI({ baseURL: `${router.url}/v1`, apiKey: Fakes.SHOP_KEY });
    const rest = await client.responses.retrieve(getId(first), { stream: true, starting_after: 4 });
    steps.sendText('42.');
    steps.finish(Fakes.COMPLETED);
    const types: string[] = [];
    for await (const event of rest) types.push(event.type);
    expect([types[0], types.at(-1)]).toEqual(['response.output_text.delta', 'response.completed']);
    const kept = await client.responses.retrieve(getId(first));
    expect([kept.status, kept.output_text]).toEqual(['completed', 'Size 42.']);
  });

  it('gives two readers the whole stream each', async () => {
    const first = await openStream();
    await first.readUntil('"delta":"Size "');
    const second = await Calls.openCall(`${router.url}/v1/responses/${getId(first)}?stream=true`);
    steps.sendText('42.');
    steps.finish(Fakes.COMPLETED);
    const texts = await Promise.all([first.readUntil(), second.readUntil()]);
    expect(texts[0]).toEqual(texts[1]);
    expect(Calls.getDeltas(texts[0])).toEqual('Size 42.');
  });

  it('is refused to another organisation, as if nothing were there', async () => {
    // The id of a response leaks to another organisation, which must learn nothing by it.
    const first = await openStream();
    await first.readUntil('"delta":"Size "');
    const url = `${router.url}/v1/responses/${getId(first)}`;
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
    first.leave();
  });

  it('refuses a place that is malformed, past the end, forged or of another response', async () => {
    // A caller with a broken or copied cursor would otherwise get a stream that silently starts at
    // the wrong place.
    const first = await openStream();
    const cursor = getLastEventId(await first.readUntil('"sequence_number":4}\n\n'));
    const url = `${router.url}/v1/responses/${getId(first)}?stream=true`;
    const other = Fakes.createStepScript();
    router.setScript(other.script);
    other.sendText('Other');
    const second = await Calls.openCall(`${router.url}/v1/responses`, {
      body: Calls.RESPONSE_BODY,
    });
    const foreign = getLastEventId(await second.readUntil('"sequence_number":4}\n\n'));
    const codes: unknown[] = [];
    for (const after of ['5', '-1', '1.5', 'x', '99999999999999999999']) {
      const answer = await Calls.callOnce(`${url}&starting_after=${after}`);
      codes.push(Calls.getError(answer)[1]);
    }
    for (const forged of [`${cursor}A`, cursor.replace(/^./, 'f'), 'x.y', foreign]) {
      const answer = await Calls.callOnce(url, { headers: { 'last-event-id': forged } });
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
    first.leave();
    second.leave();
  });

  it('ends with the status "cancelled" after a cancel', async () => {
    const first = await openStream();
    await first.readUntil('"delta":"Size "');
    const client = new OpenAI({ baseURL: `${router.url}/v1`, apiKey: Fakes.SHOP_KEY });
    const cancelled = await client.responses.cancel(getId(first));
    expect(cancelled.status).toEqual('cancelled');
    await steps.stopped;
    const last = Calls.listEvents(await first.readUntil()).at(-1);
    expect(last?.type).toEqual('response.incomplete');
    expect((last?.response as Readonly<Record<string, unknown>>).status).toEqual('cancelled');
  });
});

describe('kept responses', () => {
  it('are dropped, oldest first, when they are over the bound in all', async (test) => {
    // Thousands of answers in one piece end within a minute. Each is kept for the caller to read
    // again, but never so many that the router runs out of memory.
    const bounded = await Fakes.startRouter({ maxRetainedBytes: 25 });
    test.after(bounded.stop);
    const body = { ...Calls.RESPONSE_BODY, stream: false };
    const statuses: number[] = [];
    const urls: string[] = [];
    for (let count = 0; count < 3; count += 1) {
      const answer = await Calls.callOnce(`${bounded.url}/v1/responses`, { body });
      urls.push(`${bounded.url}/v1/responses/${String(answer.headers['x-request-id'])}`);
    }
    for (const url of urls) statuses.push((await Calls.callOnce(url)).status);
    expect(statuses).toEqual([404, 200, 200]);
    const dump = (await bounded.kernel.dumpProcess()).plugins.callers;
    expect((dump?.responses as Readonly<Record<string, number>>).bytes).toEqual(22);
  });
});

describe('a caller that leaves', () => {
  it('has its chat completion cancelled at once', async () => {
    steps.sendText('Size ');
    const answer = await Calls.openCall(`${router.url}/v1/chat/completions`, {
      body: Calls.CHAT_BODY,
    });
    await answer.readUntil('Size ');
    answer.leave();
    await steps.stopped;
  });

  it('has a response cancelled at once that may not be kept', async () => {
    steps.sendText('Size ');
    const body = { ...Calls.RESPONSE_BODY, store: false };
    const answer = await Calls.openCall(`${router.url}/v1/responses`, { body });
    await answer.readUntil('Size ');
    answer.leave();
    await steps.stopped;
  });

  it('has a response cancelled when nobody comes back for it', async (test) => {
    // A shopper closes the page. The engine must not write the rest of the answer for nobody, but
    // must not be stopped either while the page might only be reloading.
    const short = await Fakes.startRouter({ resumeGraceMs: 20 });
    test.after(short.stop);
    short.setScript(steps.script);
    steps.sendText('Size ');
    const answer = await Calls.openCall(`${short.url}/v1/responses`, { body: Calls.RESPONSE_BODY });
    await answer.readUntil('Size ');
    answer.leave();
    await steps.stopped;
  });

  it('has its queued request cancelled before the first token', async () => {
    // The caller gives up while its request still waits. Nothing was written yet, so nothing tells
    // the router but the closed connection.
    const call = Calls.openCall(`${router.url}/v1/responses`, { body: Calls.RESPONSE_BODY });
    call.catch(() => undefined);
    await Calls.waitUntil(() => steps.getRequest() !== undefined);
    const client = new OpenAI({ baseURL: `${router.url}/v1`, apiKey: Fakes.SHOP_KEY });
    const queued = Fakes.createStepScript();
    router.setScript(queued.script);
    const controller = new AbortController();
    const { signal } = controller;
    const second = client.responses.create({ model: 'advisor', input: 'x' }, { signal });
    second.catch(() => undefined);
    await Calls.waitUntil(() => queued.getRequest() !== undefined);
    controller.abort();
    await queued.stopped;
    steps.finish(Fakes.COMPLETED);
    expect((await call).status).toEqual(200);
  });
});
