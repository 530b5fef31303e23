/** Questions about contact with targets over the real call between routers. */
import * as Http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import * as Net from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import * as Trpc from '@trpc/server';
import * as Standalone from '@trpc/server/adapters/standalone';
import { expect } from 'earl';

import * as PeerClients from '../peerClient';
import * as PeerHandlers from '../peerHandlers';
import * as PeerServers from '../peerServer';

/** Long, because the tests check answers and not the speed of a busy machine. */
const LONG_TIMEOUT_MS = 10_000;
const QUERY = { service: 'engines' };

async function runWithClient(
  server: Net.Server,
  test: (client: PeerClients.PeerClient, address: string) => Promise<void>,
  timeoutMs?: number,
): Promise<void> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = PeerClients.createPeerClient(
    { expectedTarget: 'target' },
    Kernel.createSystemClock(),
    undefined,
    timeoutMs,
  );
  await test(client, `127.0.0.1:${(server.address() as AddressInfo).port}`);
  await client.close();
  server.close();
}

function createServer(handlers: PeerHandlers.PeerHandlers): Http.Server {
  const router = PeerServers.createPeerRouter({
    state: { listRecordsAfter: () => [], subscribe: () => () => undefined },
    follower: { getSeenRevision: () => 7, getAgeMs: () => 20, subscribe: () => () => undefined },
    clock: { getNowMs: () => 0, waitMs: async () => undefined },
    ...handlers,
  });
  return Http.createServer(Standalone.createHTTPHandler({ router }));
}

describe('question between routers about contact with targets', () => {
  it('returns the time since the other router heard a target, if it ever has', async () => {
    const { handlers, setters } = PeerHandlers.createPeerHandlers();
    const server = createServer(handlers);
    const asked: string[] = [];
    await runWithClient(
      server,
      async (client, address) => {
        // The part that knows of targets has not been created yet.
        const unknown = { kind: 'contact', contact: {} } as const;
        expect(await client.findContact(address, QUERY)).toEqual(unknown);
        setters.setContactHandler(({ service }) => {
          asked.push(service);
          return service === 'engines' ? { heardAgeMs: 12.5 } : {};
        });
        const heard = { kind: 'contact', contact: { heardAgeMs: 12.5 } } as const;
        expect(await client.findContact(address, QUERY)).toEqual(heard);
        expect(await client.findContact(address, { service: 'others' })).toEqual(unknown);
      },
      LONG_TIMEOUT_MS,
    );
    expect(asked).toEqual(['engines', 'others']);
  });

  it('fails where a router of an earlier build does not know the call', async () => {
    // Guards against an unknown call that counts as contact while routers of two builds run side by side.
    const earlier = Trpc.initTRPC.create().router({});
    const server = Http.createServer(Standalone.createHTTPHandler({ router: earlier }));
    await runWithClient(
      server,
      async (client, address) => {
        const outcome = await client.findContact(address, QUERY);
        expect(outcome.kind).toEqual('failed');
      },
      LONG_TIMEOUT_MS,
    );
  });

  it('fails where the answer is malformed', async () => {
    const { handlers, setters } = PeerHandlers.createPeerHandlers();
    setters.setContactHandler(() => ({ heardAgeMs: -1 }));
    await runWithClient(
      createServer(handlers),
      async (client, address) => {
        const outcome = await client.findContact(address, QUERY);
        expect(outcome.kind).toEqual('failed');
      },
      LONG_TIMEOUT_MS,
    );
  });

  it('fails after its timeout where the other router accepts the connection and is paused', async () => {
    // Guards against a stream that waits for a paused router.
    const sockets: Socket[] = [];
    await runWithClient(
      Net.createServer((socket) => sockets.push(socket)),
      async (client, address) => {
        const outcome = await client.findContact(address, QUERY);
        expect(outcome).toEqual({ kind: 'failed', reason: 'no response within 150 ms' });
      },
    );
    sockets.forEach((socket) => socket.destroy());
  });
});
