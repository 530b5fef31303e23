import * as Net from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { settingsSchema } from '../settings';
import * as Calls from './calls';
import * as Fakes from './fakes';
import type { Router } from './fakes';

const routers: Router[] = [];

async function startRouter(...settings: Parameters<typeof Fakes.startRouter>): Promise<Router> {
  const router = await Fakes.startRouter(...settings);
  routers.push(router);
  return router;
}
afterEach(async () => {
  while (routers.length > 0) await routers.pop()?.stop();
});

/** Sends raw bytes and reads until the router closes the connection. */
async function sendRaw(url: string, text: string): Promise<string> {
  const { hostname, port } = new URL(url);
  const socket = Net.connect(Number(port), hostname);
  let answer = '';
  socket.setEncoding('utf8').on('data', (chunk: string) => {
    answer += chunk;
  });
  socket.write(text);
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  return answer;
}

describe('the HTTP server', () => {
  it('reports which address is in use and how to fix it', async () => {
    // Two routers on one VM are configured with the same port. The second one must fail to start.
    const router = await startRouter();
    const listen = router.url.replace('http://', '');
    const error = await Fakes.startRouter({ listen }).then(
      () => undefined,
      (reason: unknown) => reason as Error,
    );
    expect(error?.message).toEqual(
      `[callers] listen: ${listen} is in use by another process; choose another address or port`,
    );
  });

  it('answers invalid HTTP in the usual error format', async () => {
    const router = await startRouter();
    const answer = await sendRaw(router.url, 'HELLO\r\n\r\n');
    expect(answer.startsWith('HTTP/1.1 400 ')).toEqual(true);
    expect(answer.includes('"code":"malformed_request"')).toEqual(true);
    expect(/x-request-id: req_/.test(answer)).toEqual(true);
  });

  it('answers headers that are too large in the usual error format', async () => {
    const router = await startRouter();
    const answer = await sendRaw(router.url, `GET / HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`);
    expect(answer.startsWith('HTTP/1.1 431 ')).toEqual(true);
    expect(answer.includes('"code":"headers_too_large"')).toEqual(true);
  });

  it('answers an incomplete request after a timeout and frees its connection', async () => {
    // A caller's connection fails in the middle of the headers or body. Without a timeout, such
    // connections would use up the connection limit.
    const router = await startRouter({ headersTimeoutMs: 1, requestTimeoutMs: 1 });
    const key = `authorization: Bearer ${Fakes.SHOP_KEY}\r\n`;
    const head = `POST /v1/responses HTTP/1.1\r\nhost: x\r\n${key}`;
    const answers = await Promise.all([
      sendRaw(router.url, 'GET / HTTP/1.1\r\nhost'),
      sendRaw(router.url, `${head}content-length: 9\r\n\r\n{`),
    ]);
    const codes = answers.map((answer) => answer.includes('"code":"request_timeout"'));
    expect(codes).toEqual([true, true]);
  });

  it('refuses a headers timeout above the request timeout', () => {
    const result = settingsSchema.safeParse({ headersTimeoutMs: '2', requestTimeoutMs: '1' });
    const [issue] = result.error?.issues ?? [];
    expect([issue?.path, issue?.message]).toEqual([
      ['headersTimeoutMs'],
      'use at most requestTimeoutMs',
    ]);
  });

  it('shows connections, streams and responses in its state, but no secrets', async () => {
    const router = await startRouter();
    const steps = Fakes.createControlledGeneration();
    router.setScript(steps.script);
    steps.sendText('Secret answer');
    const stream = await Calls.openCall(`${router.url}/v1/responses`, {
      body: Calls.RESPONSE_BODY,
    });
    await stream.readUntil('Secret answer');
    const dump = (await router.kernel.dumpProcess()).plugins.callers;
    const responses = dump?.responses as Readonly<Record<string, number>>;
    expect([dump?.openConnections, responses.running, responses.unread]).toEqual([1, 1, 0]);
    expect(dump?.requests).toEqual({ waiting: 0, sending: 1, blocked: 0 });
    expect((responses.bytes ?? 0) > 0).toEqual(true);
    const dumpText = JSON.stringify(dump);
    expect(/Secret|Which size|shop-secret/.test(dumpText)).toEqual(false);
    stream.disconnect();
  });

  it('does not refuse a key as invalid before the first configuration', async () => {
    // A router starts while the platform is unavailable. A caller with a valid key would stop
    // retrying on a 401; it must be told that the router is starting and when to retry.
    const router = await startRouter();
    router.setConfiguration({ ...Fakes.createConfiguration(), revision: 0, keysById: new Map() });
    const refused = await Calls.callOnce(`${router.url}/v1/responses`, {
      body: Calls.RESPONSE_BODY,
    });
    expect(Calls.getError(refused)).toEqual([503, 'starting', null]);
    expect(refused.headers['retry-after']).toEqual('1');
  });

  it('drains: refuses new requests and completes open ones', async () => {
    // An operator replaces the VM. Streams in progress must complete, even if the caller has to
    // reconnect meanwhile; a new request must be refused without being run.
    const router = await startRouter();
    const steps = Fakes.createControlledGeneration();
    router.setScript(steps.script);
    steps.sendText('Hello');
    const open = await Calls.openCall(`${router.url}/v1/responses`, { body: Calls.RESPONSE_BODY });
    await open.readUntil('Hello');
    let isDrained = false;
    const limitMs = 3_600_000;
    const drained = router.kernel.drain(limitMs).then(() => {
      isDrained = true;
    });
    const refused = await Calls.callOnce(`${router.url}/v1/responses`, {
      body: Calls.RESPONSE_BODY,
    });
    expect(Calls.getError(refused)).toEqual([503, 'draining', null]);
    expect([refused.headers['retry-after'], refused.headers.connection]).toEqual(['1', 'close']);
    expect(isDrained).toEqual(false);
    open.disconnect();
    const id = String(open.headers['x-request-id']);
    const resumed = await Calls.openCall(`${router.url}/v1/responses/${id}?stream=true`);
    steps.sendText(' world');
    steps.finish(Fakes.COMPLETED);
    expect(Calls.getDeltas(await resumed.readUntil())).toEqual('Hello world');
    await drained;
  });

  it('answers requests that are open when its drain limit passes', async () => {
    // Guards against a stop that closes connections on which whole requests wait, without a status.
    const router = await startRouter();
    const steps = Fakes.createControlledGeneration();
    router.setScript(steps.script);
    router.setOrders(async ({ signal }) => {
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve);
      });
      return { kind: 'unknown', message: 'the caller left' };
    });
    const chat = Calls.callOnce(`${router.url}/v1/chat/completions`, { body: Calls.CHAT_BODY });
    const order = Calls.callOnce(`${router.url}/v1/services/stock/x`, { body: {} });
    const getWaiting = async () => {
      const { requests } = (await router.kernel.dumpProcess()).plugins.callers ?? {};
      return (requests as Readonly<Record<string, number>>).waiting;
    };
    while ((await getWaiting()) !== 2) await new Promise(setImmediate);
    await router.kernel.drain(10);
    await router.kernel.stop();
    const answers = await Promise.all([chat, order]);
    expect(answers.map(Calls.getError)).toEqual([
      [503, 'generation_lost', null],
      [502, 'outcome_unknown', null],
    ]);
    expect(answers[1]?.headers['x-sequoiarill-outcome']).toEqual('unknown');
  });

  it('ends streams that are open when its drain limit passes with an error event', async () => {
    // Guards against a partial answer that looks complete, and one that is cut before its last event.
    const router = await startRouter();
    const steps = Fakes.createControlledGeneration();
    router.setScript(steps.script);
    steps.sendText('Half');
    const open = await Calls.openCall(`${router.url}/v1/chat/completions`, {
      body: Calls.CHAT_BODY,
    });
    await open.readUntil('Half');
    await router.kernel.drain(10);
    await router.kernel.stop();
    const text = await open.readUntil();
    expect([text.includes('generation_lost'), text.includes('[DONE]')]).toEqual([true, false]);
  });

  for (const [path, body] of [
    ['/v1/chat/completions', Calls.CHAT_BODY],
    ['/v1/responses', Calls.RESPONSE_BODY],
  ] as const) {
    it(`ends a stream with an error event after an internal error: ${path}`, async () => {
      // A bug makes a generation throw. If the stream ended normally, the partial answer would look
      // complete; if it did not end, the caller would wait for ever.
      const router = await startRouter();
      router.setScript(async function* runBroken() {
        yield Fakes.createBatch('Half');
        throw new Error('broken invariant');
      });
      const answer = await Calls.callOnce(router.url + path, { body });
      const hasErrorEvent = /event: (error|response\.failed)\n/.test(answer.text);
      expect([hasErrorEvent, answer.text.includes('[DONE]')]).toEqual([true, false]);
      const next = await Calls.callOnce(`${router.url}/v1/models`);
      expect(next.status).toEqual(200);
    });
  }
});
