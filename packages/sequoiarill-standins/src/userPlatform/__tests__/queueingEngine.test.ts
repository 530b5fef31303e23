import { after, before, describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';
import * as Undici from 'undici';

import * as QueueingEngines from '../queueingEngine';
import { formatEvents } from '../streamEvents';

const engine = QueueingEngines.createQueueingEngine('engine-1', {
  slots: 1,
  eventMs: 10,
  eventCount: 4,
  prefillTokensPerMs: 10,
});
let address = '';

async function sendStream(id: string, headers: Readonly<Record<string, string>> = {}) {
  const answer = await Undici.request(`http://${address}/advice/x`, {
    method: 'POST',
    headers: { 'request-id': id, 'token-usage': '100,50', ...headers },
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}

async function readReport(): Promise<Readonly<Record<string, unknown>>> {
  const answer = await Undici.request(`http://${address}/report`);
  return (await answer.body.json()) as Readonly<Record<string, unknown>>;
}

describe('an engine stand-in with a queue', () => {
  before(async () => {
    address = await engine.start();
  });
  after(() => engine.stop());

  it('answers with all events, or with those after the last event id', async () => {
    // Failure: events that differ from those of other engines make every continued stream look wrong.
    expect(await sendStream('a')).toEqual({ status: 200, text: formatEvents('a', 1, 4) });
    const rest = await sendStream('a', { 'last-event-id': '2' });
    expect(rest.text).toEqual(formatEvents('a', 3, 4));
  });

  it('serves waiting requests by rank', async () => {
    // Failure: the rank header is not read, so that urgent requests wait behind others.
    const first = sendStream('first');
    await startTimeout(10);
    const least = sendStream('least', { 'request-priority': '8' });
    await startTimeout(10);
    await Promise.all([sendStream('urgent', { 'request-priority': '1' }), first, least]);
    const ids = engine.listRuns().map(({ requestId }) => requestId);
    expect(ids.slice(-3)).toEqual(['first', 'urgent', 'least']);
  });

  it('drops a request whose caller leaves, also while it waits', async () => {
    // Failure: abandoned requests keep slots, which looks like a lack of room.
    const leaving = new AbortController();
    const { signal } = leaving;
    const sendAbandoned = (id: string) =>
      Undici.request(`http://${address}/x`, {
        method: 'POST',
        signal,
        headers: { 'request-id': id, 'token-usage': '5000,1' },
      });
    const abandoned = [sendAbandoned('running'), sendAbandoned('waiting')];
    await startTimeout(50);
    expect(engine.countInFlight()).toEqual(2);
    leaving.abort();
    await Promise.allSettled(abandoned);
    await startTimeout(50);
    expect(engine.countInFlight()).toEqual(0);
    const run = engine.listRuns().at(-1);
    expect([run?.requestId, run?.end]).toEqual(['running', 'dropped']);
  });

  it('reports its state as of 100 ms ago', async () => {
    // Failure: fresh reports hide that routers decide on old ones.
    await startTimeout(150);
    const stream = sendStream('b', { 'token-usage': '3000,1', 'request-priority': '3' });
    await startTimeout(30);
    expect((await readReport()).active).toEqual(0);
    await startTimeout(120);
    expect(await readReport()).toEqual({
      queued: 0,
      active: 1,
      kvUsed: 3_000,
      kvTotal: 88_000,
      state: 'ready',
      born: 1,
      runs: [],
    });
    await stream;
  });

  it('refuses a request that expects another incarnation', async () => {
    // Failure: a request for an ended incarnation runs at its successor, unknown to its router.
    const { status } = await sendStream('c', { 'expect-instance': 'engine-0' });
    expect(status).toEqual(421);
  });
});
