import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import * as Calls from '../../shared/__tests__/calls';
import * as Platform from '..';

interface KeyResponse {
  readonly kvs?: readonly { readonly value: string; readonly mod_revision: string }[];
  readonly header: { readonly revision: string };
  readonly succeeded?: boolean;
  readonly ID?: string;
}

interface WatchLine {
  readonly result: {
    readonly header: { readonly revision: string };
    readonly created?: boolean;
    readonly canceled?: boolean;
    readonly compact_revision?: string;
    readonly events?: readonly {
      readonly type?: string;
      readonly kv: { readonly key: string; readonly mod_revision: string };
    }[];
  };
}

function encodeText(text: string): string {
  return Buffer.from(text).toString('base64');
}

describe('platform', () => {
  let platform: Platform.PlatformStandin;
  let url = '';
  let nowMs = 0;

  beforeEach(async () => {
    platform = Platform.createPlatformStandin(
      { leaseCheckMs: 1, progressMs: 5 },
      { clock: { getNowMs } },
    );
    url = `http://${(await platform.start()).address}`;
  });

  afterEach(async () => platform.stop());

  function getNowMs(): number {
    return nowMs;
  }

  async function callPath(path: string, body: unknown): Promise<KeyResponse> {
    return Calls.readJson<KeyResponse>(await Calls.sendJson(`${url}${path}`, body));
  }

  function writeKey(key: string, value: string, lease?: string): Promise<KeyResponse> {
    return callPath('/v3/kv/put', { key: encodeText(key), value: encodeText(value), lease });
  }

  async function readValue(key: string): Promise<string | undefined> {
    const { kvs } = await callPath('/v3/kv/range', { key: encodeText(key) });
    return kvs?.[0] && Buffer.from(kvs[0].value, 'base64').toString();
  }

  function writeIfUnchanged(key: string, revision: number, value: string): Promise<KeyResponse> {
    const range = { request_range: { key: encodeText(key) } };
    const put = { request_put: { key: encodeText(key), value: encodeText(value) } };
    const compare = { key: encodeText(key), target: 'MOD', result: 'EQUAL' };
    return callPath('/v3/kv/txn', {
      compare: [{ ...compare, mod_revision: String(revision) }],
      success: [put],
      failure: [range],
    });
  }

  async function openWatch(
    startRevision: number,
    wantsProgress = false,
  ): Promise<AsyncGenerator<WatchLine, void, void>> {
    const response = await Calls.sendJson(`${url}/v3/watch`, {
      create_request: {
        key: encodeText('a/'),
        range_end: encodeText('a0'),
        start_revision: String(startRevision),
        progress_notify: wantsProgress,
      },
    });
    return readLines(response);
  }

  async function* readLines(response: Calls.StreamResponse): AsyncGenerator<WatchLine, void, void> {
    let rest = '';
    for await (const part of response.body) {
      const lines = (rest + String(part)).split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) yield JSON.parse(line) as WatchLine;
    }
  }

  it('accepts only one of two concurrent compare-and-swap writes', async () => {
    const { header } = await writeKey('a/1', 'old');
    const revision = Number(header.revision);
    const answers = await Promise.all([
      writeIfUnchanged('a/1', revision, 'left'),
      writeIfUnchanged('a/1', revision, 'right'),
    ]);
    expect(answers.filter((answer) => answer.succeeded === true).length).toEqual(1);
    const created = await writeIfUnchanged('a/2', 0, 'new');
    expect([created.succeeded, await readValue('a/2')]).toEqual([true, 'new']);
  });

  it('expires a lease by the clock and removes its keys', async () => {
    const { ID: lease = '' } = await callPath('/v3/lease/grant', { TTL: '5' });
    await writeKey('a/held', 'x', lease);
    nowMs += 4_000;
    await callPath('/v3/lease/keepalive', { ID: lease });
    nowMs += 4_000;
    expect(await readValue('a/held')).toEqual('x');
    nowMs += 1_000;
    expect(await readValue('a/held')).toEqual(undefined);
    const refused = await Calls.sendJson(`${url}/v3/kv/put`, { key: encodeText('k'), lease });
    expect(refused.statusCode).toEqual(404);
    await refused.body.dump();
  });

  it('sends watchers each change once and in order, starting with past ones', async () => {
    const { header } = await writeKey('a/1', 'one');
    await writeKey('b/1', 'elsewhere');
    const lines = await openWatch(Number(header.revision));
    const first = [(await lines.next()).value, (await lines.next()).value];
    await callPath('/v3/kv/deleterange', { key: encodeText('a/1') });
    const removed = (await lines.next()).value;
    expect(first.map((line) => line?.result.created ?? false)).toEqual([true, false]);
    expect(first[1]?.result.events?.map((event) => event.kv.mod_revision)).toEqual([
      header.revision,
    ]);
    expect(removed?.result.events?.map((event) => event.type)).toEqual(['DELETE']);
    expect(platform.getCounters().watchesOpen).toEqual(1);
    await lines.return();
    await Calls.waitUntil(() => platform.getCounters().watchesOpen === 0);
  });

  it('sends progress notifications to an idle watcher that requested them', async () => {
    const lines = await openWatch(1, true);
    await lines.next();
    await writeKey('b/1', 'elsewhere');
    const revision = String(platform.getRevision());
    let line = (await lines.next()).value;
    while (line?.result.header.revision !== revision) line = (await lines.next()).value;
    expect(line.result.events).toEqual(undefined);
    await lines.return();
  });

  // Guards against a router that serves an old configuration forever: its watch breaks, changes are
  // made and compacted, and it resumes from its last revision. The changes in between are lost, and
  // only the compaction response shows that.
  it('reports to a watcher that resumes too late that its revision is compacted', async () => {
    const { header } = await writeKey('a/1', 'one');
    const lines = await openWatch(Number(header.revision));
    await lines.next();
    await lines.next();
    await platform.setFault({ kind: 'watchGap' });
    await expect(lines.next()).toBeRejected();
    const again = await openWatch(Number(header.revision) + 1);
    await again.next();
    const { value } = await again.next();
    expect(value?.result.canceled).toEqual(true);
    expect(value?.result.compact_revision).toEqual(String(platform.getRevision()));
  });

  // Clients must handle a write whose outcome is unknown: the write takes effect, then the
  // connection breaks before the response. An editor that took this for a failure would make the
  // change twice.
  it('drops responses to writes that took effect', async () => {
    await platform.setFault({ kind: 'loseAnswers', count: 1 });
    await expect(writeKey('a/1', 'kept')).toBeRejected();
    expect(await readValue('a/1')).toEqual('kept');
  });

  it('retains its data over an outage', async () => {
    await writeKey('a/1', 'one');
    await platform.setFault({ kind: 'down' });
    await expect(writeKey('a/1', 'two')).toBeRejected();
    await platform.setFault({ kind: 'refuse' });
    await expect(writeKey('a/1', 'three')).toBeRejected();
    await platform.setFault({ kind: 'up' });
    expect(await readValue('a/1')).toEqual('one');
  });

  it('refuses a value above a megabyte and too many operations', async () => {
    const value = Buffer.alloc(1_048_577).toString('base64');
    const large = await Calls.sendJson(`${url}/v3/kv/put`, { key: encodeText('k'), value });
    expect([large.statusCode, await Calls.readJson(large)]).toEqual([
      400,
      {
        error: 'etcdserver: request is too large',
        code: 3,
        message: 'etcdserver: request is too large',
      },
    ]);
    const success = Array.from({ length: 129 }, (unused, index) => ({
      request_put: { key: encodeText(`k${index}`) },
    }));
    const many = await Calls.sendJson(`${url}/v3/kv/txn`, { success });
    expect(many.statusCode).toEqual(400);
    await many.body.dump();
  });

  it('refuses unknown fields', async () => {
    const nested = await Calls.sendJson(`${url}/v3/kv/txn`, { success: [{ request_txn: {} }] });
    const { message } = await Calls.readJson<{ message: string }>(nested);
    expect([nested.statusCode, message.includes('request_txn')]).toEqual([400, true]);
  });

  it('counts calls by kind', async () => {
    await writeKey('a/1', 'one');
    await readValue('a/1');
    await writeIfUnchanged('a/1', 0, 'two');
    await callPath('/v3/lease/grant', { TTL: 5 });
    const { reads, writes, leaseCalls } = platform.getCounters();
    expect([reads, writes, leaseCalls]).toEqual([1, 2, 1]);
  });
});
