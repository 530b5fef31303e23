import { once } from 'node:events';
import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as Client from '..';

/** What the fake server does with the next request; after the last one, the last goes on. */
type Play = (request: Http.IncomingMessage, response: Http.ServerResponse) => void;

const SEED = 20_261_202;
const WORDS = ['The', ' jacket', ' fits', ' – þú', ' ert', ' 42', '.'];
const TEXT = WORDS.join('');
const REQUEST = { model: 'standin-model', input: 'Which size?' };

function formatEvent(type: string, sequence: number, fields: object): string {
  const data = JSON.stringify({ type, ...fields, sequence_number: sequence });
  return `event: ${type}\nid: cursor-${sequence}\ndata: ${data}\n\n`;
}

function buildEvents(status = 'completed', error: object | null = null): readonly string[] {
  const response = { id: 'resp_1', status, error, usage: { input_tokens: 3, output_tokens: 7 } };
  const deltas = WORDS.map((delta, index) =>
    formatEvent('response.output_text.delta', index + 1, { delta }),
  );
  const created = formatEvent('response.created', 0, { response });
  const end = formatEvent(`response.${status}`, WORDS.length + 1, { response });
  return [created, ...deltas, end];
}

const EVENTS = buildEvents();

describe('client', () => {
  let server: Http.Server;
  let client: Client.Client;
  let plays: Play[] = [];
  let requests: string[] = [];
  let cursors: (string | undefined)[] = [];
  let waits: number[] = [];

  beforeEach(async () => {
    plays = [];
    requests = [];
    cursors = [];
    waits = [];
    server = Http.createServer((request, response) => {
      requests.push(`${request.method} ${request.url}`);
      cursors.push(request.headers['last-event-id'] as string | undefined);
      request.resume();
      const play = plays.length > 1 ? plays.shift() : plays[0];
      play?.(request, response);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = createTestClient((server.address() as AddressInfo).port);
  });

  afterEach(async () => {
    await client.close();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  function createTestClient(port: number): Client.Client {
    return Client.createClient({
      baseUrl: `http://127.0.0.1:${port}`,
      apiKey: 'sqr_test',
      nextRandom: () => 0.5,
      clock: {
        async waitMs(ms) {
          waits.push(ms);
        },
      },
      backoff: { maxAttempts: 3 },
    });
  }

  /** Sends events from where the request asks, up to the number `end`, then ends or breaks. */
  function sendEvents(events: readonly string[], end = events.length, isBroken = false): Play {
    return (request, response) => {
      const after = /starting_after=(\d+)/.exec(request.url ?? '')?.[1];
      const from = after === undefined ? 0 : Number(after) + 1;
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.write(events.slice(from, end).join(''), () => {
        if (isBroken) response.destroy();
        else response.end();
      });
    };
  }

  function refuse(status: number, code: string, retryAfter?: number): Play {
    return (request, response) => {
      const headers = retryAfter === undefined ? {} : { 'retry-after': String(retryAfter) };
      response.writeHead(status, headers);
      response.end(JSON.stringify({ error: { code, message: `refused: ${code}` } }));
    };
  }

  async function readAnswer() {
    const stream = client.streamResponse(REQUEST);
    let text = '';
    for (;;) {
      const step = await stream.next();
      if (step.done === true) return { text, outcome: step.value };
      text += step.value.text;
    }
  }

  it('yields the whole answer and how it ended', async () => {
    plays = [sendEvents(EVENTS)];
    expect(await readAnswer()).toEqual({
      text: TEXT,
      outcome: {
        kind: 'completed',
        finishReason: 'stop',
        usage: { promptTokens: 3, completionTokens: 7 },
      },
    });
    expect(requests).toEqual(['POST /v1/responses']);
  });

  // A shopper would see words twice, or a sentence with a hole.
  // The connection breaks at any events, and routers resume too early or skip events.
  // Cause: trusting the server's idea of where the reader is.
  it('never repeats or drops a delta, wherever connections break and resume', async () => {
    const cut = FastCheck.record({
      end: FastCheck.integer({ min: 0, max: EVENTS.length - 1 }),
      isBroken: FastCheck.boolean(),
      isRepeating: FastCheck.boolean(),
      dropped: FastCheck.option(FastCheck.integer({ min: 1, max: EVENTS.length - 1 })),
    });
    const property = FastCheck.asyncProperty(
      FastCheck.array(cut, { maxLength: 2 }),
      async (cuts) => {
        plays = cuts.map(({ dropped, end, isBroken, isRepeating }): Play => {
          const events = EVENTS.map((event, index) => (index === dropped ? '' : event));
          const send = sendEvents(events, end, isBroken);
          const repeat = sendEvents([...events.slice(0, 2), ...events], end + 2, isBroken);
          return isRepeating ? repeat : send;
        });
        plays.push(sendEvents(EVENTS));
        const { outcome, text } = await readAnswer();
        expect([text, outcome.kind]).toEqual([TEXT, 'completed']);
      },
    );
    await FastCheck.assert(property, { seed: SEED, numRuns: 150 });
  });

  it('resumes after the last event it has, with the cursor of that event', async () => {
    plays = [sendEvents(EVENTS, 4, true), sendEvents(EVENTS)];
    expect((await readAnswer()).text).toEqual(TEXT);
    expect(requests).toEqual([
      'POST /v1/responses',
      'GET /v1/responses/resp_1?stream=true&starting_after=3',
    ]);
    expect(cursors).toEqual([undefined, 'cursor-3']);
  });

  it('waits as long as the server asks, and no less', async () => {
    plays = [refuse(503, 'overloaded', 4), sendEvents(EVENTS)];
    expect((await readAnswer()).text).toEqual(TEXT);
    expect(waits).toEqual([4_500]);
  });

  it('says "not run" only when every attempt was refused so', async () => {
    plays = [refuse(503, 'overloaded', 1)];
    expect((await readAnswer()).outcome).toEqual({
      kind: 'notRun',
      message: 'refused: overloaded',
      retryAfterSeconds: 1,
    });
    plays = [sendEvents([], 0, true), refuse(503, 'overloaded', 1)];
    expect((await readAnswer()).outcome.kind).toEqual('lost');
  });

  it('gives up a wait that is too long at once, and a request that is wrong', async () => {
    plays = [refuse(429, 'rate_limit_exceeded', 3_600)];
    expect((await readAnswer()).outcome).toEqual({
      kind: 'notRun',
      message: 'refused: rate_limit_exceeded',
      retryAfterSeconds: 3_600,
    });
    plays = [refuse(404, 'model_not_found')];
    expect((await readAnswer()).outcome.kind).toEqual('rejected');
    expect(requests.length).toEqual(2);
  });

  // A reader would take half an answer for a whole one.
  // The router died with what it kept, and no other has the response.
  it('tells that an answer is lost when nobody can resume it', async () => {
    plays = [sendEvents(EVENTS, 4, true), refuse(404, 'response_not_found')];
    const { outcome, text } = await readAnswer();
    expect([text, outcome.kind]).toEqual([WORDS.slice(0, 3).join(''), 'lost']);
    expect(requests.length).toEqual(3);
  });

  it('tells what the server says of a failed answer', async () => {
    const error = { code: 'server_error', message: 'no engine is left', retry_after_seconds: 5 };
    plays = [sendEvents(buildEvents('failed', error))];
    expect(await readAnswer()).toEqual({
      text: TEXT,
      outcome: { kind: 'lost', message: 'no engine is left', retryAfterSeconds: 5 },
    });
  });

  it('cancels a response whose reader returns early', async () => {
    plays = [sendEvents(EVENTS), refuse(200, '')];
    const stream = client.streamResponse(REQUEST);
    await stream.next();
    await stream.return({ kind: 'cancelled' });
    expect(requests).toEqual(['POST /v1/responses', 'POST /v1/responses/resp_1/cancel']);
  });

  it('ends as cancelled when its signal is aborted', async () => {
    const controller = new AbortController();
    plays = [sendEvents(EVENTS, 3, true), () => controller.abort(), refuse(200, '')];
    const stream = client.streamResponse(REQUEST, controller.signal);
    let step = await stream.next();
    while (step.done !== true) step = await stream.next();
    expect(step.value).toEqual({ kind: 'cancelled' });
    expect(requests.at(-1)).toEqual('POST /v1/responses/resp_1/cancel');
  });
});
