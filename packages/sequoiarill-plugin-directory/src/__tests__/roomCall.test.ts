/** Messages about room over the real call between routers. */
import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { RoomFacts, RoomMessage } from '@sequoiarill/types';
import * as Trpc from '@trpc/server';
import * as Standalone from '@trpc/server/adapters/standalone';
import { expect } from 'earl';

import * as PeerClients from '../peerClient';
import * as PeerHandlers from '../peerHandlers';
import * as PeerServers from '../peerServer';

const FACTS: RoomFacts = {
  service: 'engines',
  organisations: [{ organisation: '', demand: [1, 2.5, 0], served: [1] }],
  speeds: [{ engine: 'e1@1', factor: 2 }],
  repeats: { requests: 10, retries: 0.5, capacity: 3 },
  endedRepeats: { requests: 1, retries: 1 },
  routers: 1,
  settledRouters: 1,
};
const NUMBER = { incarnation: 1_764_800_000_000, sequence: 3 };
const SENDER = { router: '10.0.0.1:70', zone: 'a', scope: 'router' } as const;
const MESSAGE: RoomMessage = { ...SENDER, ...NUMBER, isEnding: false, facts: [FACTS] };

/** Runs the test with a client and the address of a server that has the given router. */
async function runWithServer(
  router: Trpc.AnyTRPCRouter,
  test: (client: PeerClients.PeerClient, address: string) => Promise<void>,
): Promise<void> {
  const server = Http.createServer(Standalone.createHTTPHandler({ router }));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const headers = { expectedTarget: 'target' };
  const client = PeerClients.createPeerClient(headers, Kernel.createSystemClock());
  await test(client, `127.0.0.1:${(server.address() as AddressInfo).port}`);
  await client.close();
  server.close();
}

function createRouter(handlers: PeerHandlers.PeerHandlers) {
  return PeerServers.createPeerRouter({
    state: { listRecordsAfter: () => [], subscribe: () => () => undefined },
    follower: { getSeenRevision: () => 7, getAgeMs: () => 20, subscribe: () => () => undefined },
    clock: { getNowMs: () => 0, waitMs: async () => undefined },
    ...handlers,
  });
}

describe('exchange of room between routers', () => {
  it('carries a message and its answer unchanged', async () => {
    const { handlers, setters } = PeerHandlers.createPeerHandlers();
    const received: RoomMessage[] = [];
    const facts = [{ ...FACTS, routers: 60 }];
    setters.setRoomHandler((message) => {
      received.push(message);
      return facts;
    });
    await runWithServer(createRouter(handlers), async (client, address) => {
      expect(await client.exchangeRoom(address, MESSAGE)).toEqual({ kind: 'facts', facts });
    });
    expect(received).toEqual([MESSAGE]);
  });

  it('rejects malformed messages and records their senders', async () => {
    const { handlers, setters } = PeerHandlers.createPeerHandlers();
    const refusals: [string, string][] = [];
    let handled = 0;
    setters.setRoomHandler(
      () => {
        handled += 1;
        return [];
      },
      (sender, reason) => refusals.push([sender, reason]),
    );
    const { repeats } = FACTS;
    const malformed: readonly Partial<RoomFacts>[] = [
      { repeats: { ...repeats, retries: -1 } },
      { repeats: { ...repeats, requests: 1e12 } },
      { organisations: [{ organisation: 'a', demand: [Number.NaN], served: [] }] },
      { organisations: [{ organisation: 'a', demand: [0, 0, 0, 0], served: [] }] },
      { speeds: [{ engine: 'e1@1', factor: Number.POSITIVE_INFINITY }] },
    ];
    await runWithServer(createRouter(handlers), async (client, address) => {
      for (const part of malformed) {
        const message = { ...MESSAGE, facts: [{ ...FACTS, ...part }] };
        const outcome = await client.exchangeRoom(address, message);
        expect(outcome.kind).toEqual('failed');
      }
      const nameless = await client.exchangeRoom(address, { ...MESSAGE, router: 'x'.repeat(300) });
      expect(nameless.kind).toEqual('failed');
    });
    expect(handled).toEqual(0);
    expect(refusals.map(([sender]) => sender)).toEqual([
      ...malformed.map(() => MESSAGE.router),
      'unknown',
    ]);
    expect(refusals[0]?.[1]).toEqual(
      'facts.0.repeats.retries: Too small: expected number to be >=0',
    );
  });

  it('fails where the handler refuses the sender or the peer does not know the call', async () => {
    const { handlers, setters } = PeerHandlers.createPeerHandlers();
    const reason = 'the sender is not in the list of routers';
    setters.setRoomHandler(() => {
      throw new Error(reason);
    });
    await runWithServer(createRouter(handlers), async (client, address) => {
      expect(await client.exchangeRoom(address, MESSAGE)).toEqual({ kind: 'failed', reason });
    });
    const earlier = Trpc.initTRPC.create().router({});
    await runWithServer(earlier, async (client, address) => {
      const outcome = await client.exchangeRoom(address, MESSAGE);
      expect(outcome.kind).toEqual('failed');
    });
  });
});
