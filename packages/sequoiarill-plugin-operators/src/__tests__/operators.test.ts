import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { Plugin, ProcessDump } from '@sequoiarill/types';
import { expect } from 'earl';
import * as Zod from 'zod';

import * as Operators from '../plugin';
import * as Redaction from '../redaction';

/** More than arrives while the connection is kept open for the rest of a body. */
const ENDLESS_BYTES = 8_192 * 1_048_576;
const TOKEN = 'a-token-of-operators';

/** A second plug-in whose state dump and journal entry contain a secret. */
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

interface StartedKernel {
  readonly kernel: Kernel.Kernel;
  readonly address: string;
  readonly call: (path: string, init?: RequestInit) => Promise<readonly [number, unknown]>;
}

async function startKernel(token?: string, onStopRequested?: () => void): Promise<StartedKernel> {
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
  it('close the connection of a request whose body never ends', async () => {
    // Guards against a sender whose bytes are read and dropped for as long as it sends them.
    const { kernel, address } = await startKernel();
    for (const path of ['/ready', '/none']) {
      const { chunkedBody } = Kernel.createEndlessRequests(path);
      const result = await Kernel.sendEndlessRequest(address, chunkedBody, ENDLESS_BYTES);
      expect(result.isClosed).toEqual(true);
    }
    await kernel.stop();
  });

  it('shows the full state, one plug-in and the decisions on a request, without secrets', async () => {
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

  it('answers errors as JSON with a message', async () => {
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

  it('reports a draining process as live but not ready', async () => {
    // An operator drains a VM, and requests in progress take minutes. Readiness must change at
    // once, so that the load balancer sends no new requests, but the process must not be restarted
    // as dead.
    const { kernel, call } = await startKernel();
    expect((await call('/ready'))[0]).toEqual(200);
    await kernel.drain(1);
    expect((await call('/ready'))[0]).toEqual(503);
    expect((await call('/live'))[0]).toEqual(200);
    await kernel.stop();
  });

  it('requests the process to stop after the answer is sent', async () => {
    const stopRequested: Promise<string> = new Promise((resolve) => {
      startKernel(undefined, () => resolve('stop requested')).then(async ({ kernel, call }) => {
        const [status] = await call('/drain', { method: 'POST' });
        expect(status).toEqual(202);
        await kernel.stop();
      });
    });
    expect(await stopRequested).toEqual('stop requested');
  });

  it('requires the token except for liveness and readiness', async () => {
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

  it('fails to start with the reason when the address is in use', async () => {
    // A service manager starts two routers with the same settings file. If the failed bind were not
    // reported, the second one would wait for ever and never become ready.
    const occupant = createServer();
    await new Promise<void>((resolve) => {
      occupant.listen(0, '127.0.0.1', resolve);
    });
    const { port } = occupant.address() as AddressInfo;
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
    occupant.close();
  });
});

describe('redaction', () => {
  it('depends on the words of a name and keeps counts', () => {
    const dump = {
      token: 'a',
      keys: [{ id: 'k1', salt: 'b' }],
      keyValueState: 'away',
      passwordHash: 'c',
      tokensPerSecond: 5,
      zone: 'z1',
    };
    expect(Redaction.removeSecrets(dump)).toEqual({
      token: Redaction.REDACTED,
      keys: [{ id: Redaction.REDACTED, salt: Redaction.REDACTED }],
      keyValueState: 'away',
      passwordHash: Redaction.REDACTED,
      tokensPerSecond: 5,
      zone: 'z1',
    });
  });
});
