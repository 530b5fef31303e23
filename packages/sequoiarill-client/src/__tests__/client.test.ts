import { once } from 'node:events';
import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as Client from '..';

/** How the fake server handles one request; the last behaviour is used for all further requests. */
type ServerBehaviour = (request: Http.IncomingMessage, response: Http.ServerResponse) => void;

const SEED = 20_261_202;
const WORDS = ['The', ' jacket', ' fits', ' – þú', ' ert', ' 42', '.'];
const TEXT = WORDS.join('');
/** Short, so that tests of silences end soon. */
const IDLE_TIMEOUT_MS = 100;
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
  let behaviours: ServerBehaviour[] = [];
  let requests: string[] = [];
  let cursors: (string | undefined)[] = [];
  let waitsMs: number[] = [];

  beforeEach(async () => {
    behaviours = [];
    requests = [];
    cursors = [];
    waitsMs = [];
    server = Http.createServer((request, response) => {
      requests.push(`${request.method} ${request.url}`);
      cursors.push(request.headers['last-event-id'] as string | undefined);
      request.resume();
      const behaviour = behaviours.length > 1 ? behaviours.shift() : behaviours[0];
      behaviour?.(request, response);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = createTestClient();
  });

  afterEach(async () => {
    await client.close();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  function createTestClient(idleTimeoutMs?: number): Client.Client {
    const { port } = server.address() as AddressInfo;
    return Client.createClient({
      baseUrl: `http://127.0.0.1:${port}`,
      apiKey: 'sqr_test',
      nextRandom: () => 0.5,
      ...(idleTimeoutMs !== undefined && { idleTimeoutMs }),
      clock: {
        async waitMs(ms) {
          waitsMs.push(ms);
        },
      },
      backoff: { maxAttempts: 3 },
    });
  }

  /** Sends events from the requested position up to index `end`, then ends or breaks the stream. */
  function sendEvents(
    events: readonly string[],
    end = events.length,
    isBroken = false,
  ): ServerBehaviour {
    return (request, response) => {
      const startingAfter = /starting_after=(\d+)/.exec(request.url ?? '')?.[1];
      const firstIndex = startingAfter === undefined ? 0 : Number(startingAfter) + 1;
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.write(events.slice(firstIndex, end).join(''), () => {
        if (isBroken) response.destroy();
        else response.end();
      });
    };
  }

  function refuseRequest(status: number, code: string, retryAfter?: number): ServerBehaviour {
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

  it('yields the complete text and returns the outcome', async () => {
    behaviours = [sendEvents(EVENTS)];
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

  // Guards against duplicated or missing text if the client trusts the server's resume position:
  // connections break at arbitrary events, and routers resume too early or skip events.
  it('yields each delta exactly once, wherever connections break and resume', async () => {
    const connection = FastCheck.record({
      end: FastCheck.integer({ min: 0, max: EVENTS.length - 1 }),
      isBroken: FastCheck.boolean(),
      isDuplicating: FastCheck.boolean(),
      omittedIndex: FastCheck.option(FastCheck.integer({ min: 1, max: EVENTS.length - 1 })),
    });
    const property = FastCheck.asyncProperty(
      FastCheck.array(connection, { maxLength: 2 }),
      async (connections) => {
        behaviours = connections.map(
          ({ omittedIndex, end, isBroken, isDuplicating }): ServerBehaviour => {
            const events = EVENTS.map((event, index) => (index === omittedIndex ? '' : event));
            const send = sendEvents(events, end, isBroken);
            const sendWithDuplicates = sendEvents(
              [...events.slice(0, 2), ...events],
              end + 2,
              isBroken,
            );
            return isDuplicating ? sendWithDuplicates : send;
          },
        );
        behaviours.push(sendEvents(EVENTS));
        const { outcome, text } = await readAnswer();
        expect([text, outcome.kind]).toEqual([TEXT, 'completed']);
      },
    );
    await FastCheck.assert(property, { seed: SEED, numRuns: 150 });
  });

  it('resumes after the last event received, with the cursor of that event', async () => {
    behaviours = [sendEvents(EVENTS, 4, true), sendEvents(EVENTS)];
    expect((await readAnswer()).text).toEqual(TEXT);
    expect(requests).toEqual([
      'POST /v1/responses',
      'GET /v1/responses/resp_1?stream=true&starting_after=3',
    ]);
    expect(cursors).toEqual([undefined, 'cursor-3']);
  });

  it('waits at least as long as Retry-After requests', async () => {
    behaviours = [refuseRequest(503, 'overloaded', 4), sendEvents(EVENTS)];
    expect((await readAnswer()).text).toEqual(TEXT);
    expect(waitsMs).toEqual([4_500]);
  });

  it('returns notRun only if no attempt can have run', async () => {
    behaviours = [refuseRequest(503, 'overloaded', 1)];
    expect((await readAnswer()).outcome).toEqual({
      kind: 'notRun',
      message: 'refused: overloaded',
      retryAfterSeconds: 1,
    });
    behaviours = [sendEvents([], 0, true), refuseRequest(503, 'overloaded', 1)];
    expect((await readAnswer()).outcome.kind).toEqual('lost');
  });

  it('does not retry after an excessive Retry-After or an invalid request', async () => {
    behaviours = [refuseRequest(429, 'rate_limit_exceeded', 3_600)];
    expect((await readAnswer()).outcome).toEqual({
      kind: 'notRun',
      message: 'refused: rate_limit_exceeded',
      retryAfterSeconds: 3_600,
    });
    behaviours = [refuseRequest(404, 'model_not_found')];
    expect((await readAnswer()).outcome.kind).toEqual('rejected');
    expect(requests.length).toEqual(2);
  });

  // Guards against partial text that is reported as complete: the router that stored the response
  // crashed, and no other router has it.
  it('returns lost if no router can resume the response', async () => {
    behaviours = [sendEvents(EVENTS, 4, true), refuseRequest(404, 'response_not_found')];
    const { outcome, text } = await readAnswer();
    expect([text, outcome.kind]).toEqual([WORDS.slice(0, 3).join(''), 'lost']);
    expect(requests.length).toEqual(3);
  });

  it('returns the error that the server reports for a failed response', async () => {
    const error = { code: 'server_error', message: 'no engine is left', retry_after_seconds: 5 };
    behaviours = [sendEvents(buildEvents('failed', error))];
    expect(await readAnswer()).toEqual({
      text: TEXT,
      outcome: { kind: 'lost', message: 'no engine is left', retryAfterSeconds: 5 },
    });
  });

  /** Sends the events up to index `end` and nothing more until `resume` is called. */
  function sendSilently(end: number): { readonly behaviour: ServerBehaviour; resume: () => void } {
    const silent = { behaviour: handleRequest, resume: () => undefined as void };
    function handleRequest(_request: Http.IncomingMessage, response: Http.ServerResponse): void {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.flushHeaders();
      response.write(EVENTS.slice(0, end).join(''));
      silent.resume = () => {
        response.end(EVENTS.slice(end).join(''));
      };
    }
    return silent;
  }

  // Guards against a client that closes its only connection to a paused router and then uses up its
  // attempts at routers that do not have the response.
  it('keeps a silent connection until another one to the response is open', async () => {
    client = createTestClient(IDLE_TIMEOUT_MS);
    const silent = sendSilently(3);
    const refuseResume = refuseRequest(404, 'not_found');
    behaviours = [
      silent.behaviour,
      refuseResume,
      (request, response) => {
        refuseResume(request, response);
        silent.resume();
      },
      refuseResume,
    ];
    const { text, outcome } = await readAnswer();
    expect(text).toEqual(TEXT);
    expect(outcome.kind).toEqual('completed');
  });

  // Guards against a client that counts silences of a response that is under way as failed attempts.
  it('does not count silences as failed attempts', async () => {
    client = createTestClient(IDLE_TIMEOUT_MS);
    const silences = Array.from({ length: 6 }, () => sendSilently(0).behaviour);
    behaviours = [sendSilently(3).behaviour, ...silences, sendEvents(EVENTS)];
    const { text, outcome } = await readAnswer();
    expect(text).toEqual(TEXT);
    expect(outcome.kind).toEqual('completed');
    expect(requests.length).toEqual(8);
  });

  // Guards against a client that waits forever for a router that is gone without closing connections.
  it('returns lost if a silent response cannot be resumed', async () => {
    client = createTestClient(IDLE_TIMEOUT_MS);
    behaviours = [sendSilently(3).behaviour, refuseRequest(404, 'not_found')];
    const { outcome } = await readAnswer();
    expect(outcome.kind).toEqual('lost');
  });

  it('cancels the response if the consumer returns early', async () => {
    behaviours = [sendEvents(EVENTS), refuseRequest(200, '')];
    const stream = client.streamResponse(REQUEST);
    await stream.next();
    await stream.return({ kind: 'cancelled' });
    expect(requests).toEqual(['POST /v1/responses', 'POST /v1/responses/resp_1/cancel']);
  });

  it('returns cancelled if its signal is aborted', async () => {
    const controller = new AbortController();
    behaviours = [sendEvents(EVENTS, 3, true), () => controller.abort(), refuseRequest(200, '')];
    const stream = client.streamResponse(REQUEST, controller.signal);
    let step = await stream.next();
    while (step.done !== true) step = await stream.next();
    expect(step.value).toEqual({ kind: 'cancelled' });
    expect(requests.at(-1)).toEqual('POST /v1/responses/resp_1/cancel');
  });
});
