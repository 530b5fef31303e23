import { once } from 'node:events';
import * as Http from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Client from '..';
import * as BlockSplitters from '../blockSplitter';

const REQUEST = { model: 'standin-model', input: 'Which size?' };
const IDLE_TIMEOUT_MS = 50;
const HEAD_TIMEOUT_MS = 500;
const MAX_ATTEMPTS = 2;
/** Longer than any answer of these tests takes. */
const LONG_MS = 30_000;
/** Far above all bounds of the client. */
const MAX_BYTES = 256 * 1_048_576;
const CREATED = formatEvent(0, { type: 'response.created', response: { id: 'resp_1' } });
const FILLER = 'a'.repeat(1_000);

interface EndlessForm {
  readonly status: number;
  readonly start: string;
  readonly part: string;
  readonly pauseMs?: number;
}

function formatEvent(sequence: number, fields: object): string {
  return `data: ${JSON.stringify({ ...fields, sequence_number: sequence })}\n\n`;
}

const FORMS: Readonly<Record<string, EndlessForm>> = {
  'an error body': { status: 500, start: '', part: FILLER },
  'an event': { status: 200, start: `${CREATED}data: `, part: FILLER },
  comments: { status: 200, start: CREATED, part: `: ${FILLER}\n\n` },
  'comments before the first event': { status: 200, start: '', part: `: ${FILLER}\n\n` },
  'a comment now and then': { status: 200, start: CREATED, part: ':\n\n', pauseMs: 10 },
};

async function sendEndless(response: ServerResponse, form: EndlessForm): Promise<number> {
  const { status, start, part, pauseMs = 0 } = form;
  response.writeHead(status).write(start);
  let bytes = 0;
  while (!response.destroyed && bytes < MAX_BYTES) {
    bytes += part.length;
    const isDrained = response.write(part);
    if (pauseMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, pauseMs);
      });
    } else if (!isDrained) await Promise.race([once(response, 'drain'), once(response, 'close')]);
  }
  response.destroy();
  return bytes;
}

async function runWithServer(
  handle: (response: ServerResponse) => void,
  run: (client: Client.Client) => Promise<void>,
  timeouts = { idleTimeoutMs: IDLE_TIMEOUT_MS, headTimeoutMs: HEAD_TIMEOUT_MS },
): Promise<void> {
  const server = Http.createServer((request, response) => {
    request.resume();
    handle(response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = Client.createClient({
    baseUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    apiKey: 'sqr_test',
    ...timeouts,
    backoff: { maxAttempts: MAX_ATTEMPTS, firstDelayMs: 1 },
  });
  await run(client);
  await client.close();
  server.closeAllConnections();
  server.close();
}

async function readOutcome(client: Client.Client): Promise<string> {
  const stream = client.streamResponse(REQUEST);
  for (;;) {
    const step = await stream.next();
    if (step.done === true) return step.value.kind;
  }
}

describe('a response without end', () => {
  for (const [name, form] of Object.entries(FORMS)) {
    it(`ends as lost, over connections that are closed (${name})`, async () => {
      // Guards against bytes without a meaning that take the memory of the process, or keep a caller waiting for ever.
      const sent: Promise<number>[] = [];
      const handle = (response: ServerResponse) => {
        sent.push(sendEndless(response, form));
      };
      await runWithServer(handle, async (client) => {
        expect(await readOutcome(client)).toEqual('lost');
        const bytes = await Promise.all(sent);
        expect(bytes.every((count) => count < MAX_BYTES)).toEqual(true);
      });
    });
  }

  it('ends as lost where interim responses do not end', async () => {
    const handle = (response: ServerResponse) => {
      const timer = setInterval(() => response.writeEarlyHints({ link: '</a>; rel=preload' }), 5);
      response.once('close', () => clearInterval(timer));
    };
    await runWithServer(handle, async (client) => {
      expect(await readOutcome(client)).toEqual('lost');
    });
  });

  it('is read whole where one event is long and arrives in small parts', async () => {
    // Guards against bounds that cut the event at the end of a long response, and against a search that is quadratic.
    const text = 'b'.repeat(8_000_000);
    const response = { id: 'resp_1', status: 'completed', text };
    const end = formatEvent(1, { type: 'response.completed', response });
    const handle = async (outgoing: ServerResponse) => {
      outgoing.writeHead(200).write(CREATED);
      for (let sent = 0; sent < end.length; sent += 1_000) {
        if (!outgoing.write(end.slice(sent, sent + 1_000))) await once(outgoing, 'drain');
      }
      outgoing.end();
    };
    await runWithServer(
      (outgoing) => {
        handle(outgoing).catch(() => outgoing.destroy());
      },
      async (client) => {
        expect(await readOutcome(client)).toEqual('completed');
      },
      { idleTimeoutMs: LONG_MS, headTimeoutMs: LONG_MS },
    );
  });
});

describe('blocks of an event stream', () => {
  it('are the same wherever the text is cut', () => {
    const text = 'a\nb\n\n\n\nc\n\n\nd\n\n: e\n\nf';
    const whole = [...BlockSplitters.createBlockSplitter().addText(text)];
    expect(whole).toEqual(text.split('\n\n').slice(0, -1));
    for (let first = 0; first <= text.length; first += 1) {
      for (let second = first; second <= text.length; second += 1) {
        const splitter = BlockSplitters.createBlockSplitter();
        const parts: readonly string[] = [
          text.slice(0, first),
          text.slice(first, second),
          text.slice(second),
        ];
        expect(parts.flatMap((part) => [...splitter.addText(part)])).toEqual(whole);
      }
    }
  });
});
