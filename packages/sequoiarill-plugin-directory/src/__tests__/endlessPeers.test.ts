import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as PeerClients from '../peerClient';
import * as PeerHandlers from '../peerHandlers';
import * as PeerServers from '../peerServer';

/** Far above the bounds of bodies; less than what a sender without a bound reaches within a call's timeout. */
const MAX_BYTES = 64 * 1_048_576;
/** Bytes without a body: they take no memory, and the time of the call bounds them. */
const BODILESS: readonly string[] = ['chunkExtension'];
/** More than arrives while the connection is kept open for the rest of a body. */
const MAX_REQUEST_BYTES = 4_096 * 1_048_576;

describe('another router', () => {
  for (const [name, answer] of Object.entries(Kernel.ENDLESS_ANSWERS)) {
    it(`has its connection closed where its answer never ends (${name})`, async () => {
      // Guards against an answer that takes the memory of the process until the call times out.
      const server = await Kernel.startEndlessServer({ answer, maxBytes: MAX_BYTES });
      const clock = Kernel.createSystemClock();
      const client = PeerClients.createPeerClient({ expectedTarget: 'target' }, clock);
      const outcome = await client.readRecords(server.address, { afterRevision: 0 });
      await server.waitUntilClosed();
      const bytes = server.getLargestBytes();
      await client.close();
      await server.stop();
      expect(outcome.kind).toEqual('failed');
      expect(bytes < MAX_BYTES || BODILESS.includes(name)).toEqual(true);
    });
  }

  const requests = Kernel.createEndlessRequests('/reportCrashes');
  for (const [name, request] of Object.entries(requests)) {
    it(`has its connection closed where its request never ends (${name})`, async () => {
      // Guards against a body that is kept in memory, or read on after the refusal.
      const { handlers } = PeerHandlers.createPeerHandlers();
      const options = {
        state: { listRecordsAfter: () => [], subscribe: () => () => undefined },
        follower: {
          getSeenRevision: () => 7,
          getAgeMs: () => 20,
          subscribe: () => () => undefined,
        },
        clock: { getNowMs: () => 0, waitMs: async () => undefined },
        ...handlers,
      };
      const server = PeerServers.createPeerServer(options, '127.0.0.1:0');
      const address = await server.start();
      const memoryBytes = process.memoryUsage().rss;
      const result = await Kernel.sendEndlessRequest(address, request, MAX_REQUEST_BYTES);
      const grownBytes = process.memoryUsage().rss - memoryBytes;
      await server.stop();
      expect(result.isClosed).toEqual(true);
      expect(grownBytes).toBeLessThan(2 * MAX_BYTES);
    });
  }
});
