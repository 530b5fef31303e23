import { request as sendRequest } from 'node:http';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { Capabilities, Membership, Peer, Plugin } from '@sequoiarill/types';
import { expect } from 'earl';
import * as Zod from 'zod';

import * as MembershipPlugin from '../plugin';
import * as Settings from '../settings';
import * as Signatures from '../signatures';
import * as Fleets from './virtualFleet';

const KEY = '0123456789abcdef0123456789abcdef';
/** Longer than any step of these tests takes; a test fails when a wait reaches it. */
const WAIT_LIMIT_MS = 60_000;

interface Router {
  readonly kernel: Kernel.Kernel;
  readonly address: string;
  readonly membership: Membership;
  readonly configuration: Fleets.FakeConfiguration;
}

async function startRouter(
  name: string,
  seeds: readonly string[],
  sharedKey = KEY,
): Promise<Router> {
  const configuration = Fleets.createFakeConfiguration();
  const provider: Plugin = {
    name: 'provider',
    settingsSchema: Zod.unknown(),
    provides: ['configuration', 'configurationExchange'],
    needs: [],
    events: [],
    createInstance: () => ({
      capabilities: {
        configurationExchange: configuration,
        configuration: {} as Capabilities['configuration'],
      },
      dumpState: () => ({}),
    }),
  };
  const section = { listen: '127.0.0.1:0', seeds, sharedKey };
  const kernel = Kernel.createKernel({
    settings: {
      process: { name, zone: 'z1', region: 'r1' },
      telemetry: { logLevel: 'silent' },
      plugins: new Map([['membership', section]]),
    },
    plugins: [provider, MembershipPlugin.plugin as Plugin],
  });
  await kernel.start();
  const dump = await kernel.dumpProcess();
  const address = dump.plugins.membership?.address as string;
  return { kernel, address, configuration, membership: kernel.getCapability('membership') };
}

async function waitUntil(isMet: () => boolean, event: string): Promise<void> {
  const endMs = performance.now() + WAIT_LIMIT_MS;
  while (!isMet()) {
    if (performance.now() > endMs) throw new Error(`never happened: ${event}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
}

async function startZone(): Promise<readonly [Router, Router, Router]> {
  const first = await startRouter('router-1', []);
  const second = await startRouter('router-2', [first.address]);
  const third = await startRouter('router-3', [first.address]);
  const routers = [first, second, third] as const;
  await waitUntil(
    () => routers.every(({ membership }) => listAlive(membership).length === 3),
    'all know all',
  );
  return routers;
}

function listAlive(membership: Membership): readonly Peer[] {
  return membership.listPeers().filter(({ state }) => state === 'alive');
}

function findState(membership: Membership, name: string): string | undefined {
  return membership.listPeers().find((peer) => peer.name === name)?.state;
}

async function stopAll(routers: readonly Router[]): Promise<void> {
  for (const { kernel } of routers) await kernel.stop();
}

/** Sends a call from outside the fleet; resolves to the status code. */
function sendCall(address: string, headers: Readonly<Record<string, string>>): Promise<number> {
  return new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const options = { host, port, path: '/peers/mergePeers', method: 'POST', headers };
    const call = sendRequest(options, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    call.once('error', reject);
    call.end(FORGED_BODY);
  });
}

const FORGED_BODY = JSON.stringify({
  from: 'router-1',
  zones: [],
  records: [
    {
      name: 'stranger',
      zone: 'z1',
      region: 'r1',
      address: '127.0.0.1:9',
      incarnation: 1,
      state: 'alive',
    },
  ],
});

function signForgedCall(
  key: Buffer,
  to: string,
  counter: number,
): Readonly<Record<string, string>> {
  const call = {
    method: 'POST',
    to,
    path: '/peers/mergePeers',
    from: 'router-9',
    incarnation: 1,
    counter,
    body: FORGED_BODY,
  };
  return {
    host: to,
    'content-type': 'application/json',
    [Signatures.HEADERS.from]: call.from,
    [Signatures.HEADERS.incarnation]: '1',
    [Signatures.HEADERS.counter]: String(counter),
    [Signatures.HEADERS.signature]: Signatures.signCall(key, call),
  };
}

describe('three routers over sockets', () => {
  it('propagate a configuration change and the state of a target to all', async () => {
    // A zone loses its connection to the platform after one router has received the newest
    // sections. The others must get them from that router, and also learn which engine has failed.
    const routers = await startZone();
    const [first, second, third] = routers;
    const large = { name: 'team-a', revision: 7, text: 'x'.repeat(400_000) };
    second.configuration.accept(large);
    second.configuration.accept({ name: 'team-b', revision: 8, text: 'y'.repeat(300_000) });
    await waitUntil(
      () => routers.every(({ configuration }) => configuration.getAnnouncement().revision === 8),
      'the change reaches all',
    );
    expect(third.configuration.listSectionsAfter(0).length).toEqual(2);
    const received: string[] = [];
    first.membership.subscribeTargets(({ target, state }) => received.push(`${target} ${state}`));
    [second, third].forEach(({ membership }) =>
      membership.reportTarget({ target: 'engine-1', state: 'dead', running: 4 }),
    );
    await waitUntil(() => received.includes('engine-1 dead'), 'the death reaches the first router');
    expect(first.membership.getTargetHealth('engine-1')?.running).toEqual(4);
    await stopAll(routers);
  });

  it('distinguish a failed router from a draining one', async () => {
    // An operator drains one router, and the VM of another one loses power. The remaining router
    // must stop relying on both and report the correct state of each.
    const [first, second, third] = await startZone();
    await second.kernel.drain(1);
    await waitUntil(
      () => findState(first.membership, 'router-2') === 'leaving',
      'the drain is known',
    );
    await third.kernel.stop();
    await waitUntil(() => findState(first.membership, 'router-3') === 'dead', 'the death is known');
    expect(findState(first.membership, 'router-2')).toEqual('leaving');
    await stopAll([first, second]);
  });

  it('refuse calls that are forged, replayed, or addressed to another router', async () => {
    // An attacker on the network invents a router, or records a valid call and sends it again to
    // the same or another router. Each would inject records that no router of the zone has sent.
    const routers = await startZone();
    const [first, second] = routers;
    const key = Buffer.from(KEY, 'hex');
    const wrongKey = Buffer.from('f'.repeat(32), 'hex');
    const to = first.address;
    expect(await sendCall(to, {})).toEqual(401);
    expect(await sendCall(to, signForgedCall(wrongKey, to, 1))).toEqual(401);
    expect(await sendCall(to, signForgedCall(key, second.address, 1))).toEqual(401);
    expect(findState(first.membership, 'stranger')).toEqual(undefined);
    expect(await sendCall(to, signForgedCall(key, to, 1))).toEqual(200);
    expect(await sendCall(to, signForgedCall(key, to, 1))).toEqual(409);
    const dump = await first.kernel.dumpProcess();
    expect((dump.plugins.membership?.served as { refused: number }).refused).toEqual(3);
    expect(JSON.stringify(dump)).not.toInclude(KEY);
    await stopAll(routers);
  });

  it('do not accept a router with another key', async () => {
    const first = await startRouter('router-1', []);
    const other = await startRouter('router-2', [first.address], 'f'.repeat(32));
    const endMs = performance.now() + WAIT_LIMIT_MS;
    let failed = 0;
    while (failed === 0 && performance.now() < endMs) {
      const dump = await other.kernel.dumpProcess();
      failed = (dump.plugins.membership?.exchanges as { failed: number }).failed;
      await new Promise((resolve) => {
        setTimeout(resolve, 20);
      });
    }
    expect(failed).toBeGreaterThan(0);
    expect(first.membership.listPeers().length).toEqual(1);
    expect(other.membership.listPeers().length).toEqual(1);
    await stopAll([first, other]);
  });
});

describe('settings', () => {
  it('require a key and a reachable address for listeners beyond the loopback address', () => {
    const wide = { listen: '0.0.0.0:8091', seeds: 'router-1:1' };
    const { error } = Settings.settingsSchema.safeParse(wide);
    const paths = error?.issues.map((issue) => issue.path.join('.')).sort();
    expect(paths).toEqual(['advertise', 'seeds', 'sharedKey']);
    expect(Settings.settingsSchema.parse({}).seeds).toEqual([]);
  });
});
