import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { Plugin, ProcessDump } from '@sequoiarill/types';
import { expect } from 'earl';
import * as Zod from 'zod';

import * as Operators from '../plugin';
import * as Redaction from '../redaction';

const TOKEN = 'a-token-of-operators';

/** Stands beside `operators` with a dump that shows a secret and a journal entry. */
const neighbour: Plugin = {
  name: 'neighbour',
  settingsSchema: Zod.unknown(),
  provides: [],
  needs: [],
  events: [],
  createInstance(context) {
    context.journal.recordDecision('r-1', 'accepted', 'a caller asked', {
      apiKey: 'sk-1',
      slots: 4,
    });
    return { dumpState: () => ({ apiKey: 'sk-1', tokens: 12, vm: 'vm-1' }) };
  },
};

interface Started {
  readonly kernel: Kernel.Kernel;
  readonly address: string;
  readonly call: (path: string, init?: RequestInit) => Promise<readonly [number, unknown]>;
}

async function startKernel(token?: string, onStopRequested?: () => void): Promise<Started> {
  const kernel = Kernel.createKernel({
    settings: {
      process: { name: 'router-1', zone: 'z1', region: 'r1' },
      telemetry: { logLevel: 'silent' },
      plugins: new Map([['operators', { listen: '127.0.0.1:0', token }]]),
    },
    plugins: [neighbour, Operators.plugin as Plugin],
    onStopRequested,
  });
  await kernel.start();
  const dump = await kernel.dumpProcess();
  const address = dump.plugins.operators?.address as string;
  return {
    kernel,
    address,
    async call(path, init) {
      const response = await fetch(`http://${address}${path}`, init);
      return [response.status, await response.json()];
    },
  };
}

describe('operators', () => {
  it('shows the whole state, one plug-in, and the decisions of a request without secrets', async () => {
    const { kernel, call } = await startKernel();
    const [, state] = await call('/state');
    expect((state as ProcessDump).process.name).toEqual('router-1');
    expect((state as ProcessDump).phase).toEqual('ready');
    const [, dump] = await call('/state/neighbour');
    expect(dump).toEqual({ apiKey: Redaction.REDACTED, tokens: 12, vm: 'vm-1' });
    const [, explanation] = await call('/explain/r-1');
    const { entries } = explanation as { readonly entries: readonly Record<string, unknown>[] };
    expect(entries[0]?.reason).toEqual('a caller asked');
    expect(entries[0]?.details).toEqual({ apiKey: Redaction.REDACTED, slots: 4 });
    await kernel.stop();
  });

  it('answers errors as JSON with a code and what to do', async () => {
    const { kernel, call } = await startKernel();
    const codes: unknown[] = [];
    for (const path of ['/state/nobody', '/explain/r-2', '/nowhere', '/explain/%E0%A4%A']) {
      const [status, body] = await call(path);
      codes.push([status, typeof (body as { error: { message: string } }).error.message]);
    }
    expect(codes).toEqual([
      [404, 'string'],
      [404, 'string'],
      [404, 'string'],
      [400, 'string'],
    ]);
    await kernel.stop();
  });

  it('tells a balancer to send no work to a process that drains', async () => {
    // An operator drains a VM. Work in progress goes on for minutes; the balancer would keep
    // sending new requests to it if readiness did not change at once, while it must not be
    // restarted as dead either.
    const { kernel, call } = await startKernel();
    expect((await call('/ready'))[0]).toEqual(200);
    await kernel.drain(1);
    expect((await call('/ready'))[0]).toEqual(503);
    expect((await call('/live'))[0]).toEqual(200);
    await kernel.stop();
  });

  it('asks the process to stop, once the answer is under way', async () => {
    const requested: Promise<string> = new Promise((resolve) => {
      startKernel(undefined, () => resolve('stop requested')).then(async ({ kernel, call }) => {
        const [status] = await call('/drain', { method: 'POST' });
        expect(status).toEqual(202);
        await kernel.stop();
      });
    });
    expect(await requested).toEqual('stop requested');
  });

  it('wants the token for all but liveness and readiness', async () => {
    const { kernel, call } = await startKernel(TOKEN);
    const headers = { authorization: `Bearer ${TOKEN}` };
    const statuses = [
      (await call('/state'))[0],
      (await call('/drain', { method: 'POST', headers: { authorization: 'Bearer x' } }))[0],
      (await call('/state', { headers }))[0],
      (await call('/live'))[0],
      (await call('/ready'))[0],
    ];
    expect(statuses).toEqual([401, 401, 200, 200, 200]);
    expect(JSON.stringify(await kernel.dumpProcess())).not.toInclude(TOKEN);
    await kernel.stop();
  });

  it('ends its start with the reason when the address is in use', async () => {
    // A VM's service manager starts two routers with one settings file. The second would wait for
    // ever and never be ready, since nobody is told that the bind failed.
    const other = createServer();
    await new Promise<void>((resolve) => {
      other.listen(0, '127.0.0.1', resolve);
    });
    const { port } = other.address() as AddressInfo;
    const kernel = Kernel.createKernel({
      settings: {
        process: { name: 'router-2', zone: 'z1', region: 'r1' },
        telemetry: { logLevel: 'silent' },
        plugins: new Map([['operators', { listen: `127.0.0.1:${port}` }]]),
      },
      plugins: [Operators.plugin as Plugin],
    });
    await expect(kernel.start()).toBeRejectedWith(/cannot listen on .* section \[operators\]/);
    await kernel.stop();
    other.close();
  });
});

describe('redaction', () => {
  it('goes by the last word of a name and keeps counts', () => {
    const dump = {
      token: 'a',
      keys: [{ id: 'k1', salt: 'b' }],
      keyValueState: 'away',
      passwordHash: 'c',
      tokensPerSecond: 5,
      zone: 'z1',
    };
    expect(Redaction.selectPublic(dump)).toEqual({
      token: Redaction.REDACTED,
      keys: [{ id: Redaction.REDACTED, salt: Redaction.REDACTED }],
      keyValueState: 'away',
      passwordHash: Redaction.REDACTED,
      tokensPerSecond: 5,
      zone: 'z1',
    });
  });
});
