import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as PeerClients from '../peerClient';
import * as PeerServers from '../peerServer';

const KEY = Buffer.alloc(32, 1);
const TIMEOUT_MS = 300;
const MAX_BYTES = 64 * 1_048_576;
/** Bytes without a body: they take no memory, and the time of the call bounds them. */
const BODILESS: readonly string[] = ['interim', 'chunkExtension'];

describe('another router', () => {
  const slowBody = { ...Kernel.ENDLESS_ANSWERS.body, part: '1\r\n \r\n' };
  const answers = [
    ...Object.entries(Kernel.ENDLESS_ANSWERS).map(([name, answer]) => ({ name, answer })),
    { name: 'slowBody', answer: slowBody, pauseMs: 20 },
  ];
  for (const { name, ...options } of answers) {
    it(`has its connection closed where its answer never ends (${name})`, async () => {
      // Guards against an answer that takes the memory of the process, or that holds its caller for ever.
      const server = await Kernel.startEndlessServer({ ...options, maxBytes: MAX_BYTES });
      const client = PeerClients.createPeerClient({
        key: KEY,
        getSelf: () => ({ name: 'router-1', incarnation: 1 }),
        onStaleIncarnation: () => undefined,
        timeoutMs: TIMEOUT_MS,
      });
      const { address } = server;
      const result = await client.callPeer({ address, procedure: 'ping', input: {} as never });
      await server.waitUntilClosed();
      const bytes = server.getLargestBytes();
      await client.close();
      await server.stop();
      expect(result.kind).toEqual('failed');
      expect(bytes < MAX_BYTES || BODILESS.includes(name)).toEqual(true);
    });
  }

  for (const [name, request] of Object.entries(Kernel.createEndlessRequests('/peers/ping'))) {
    it(`has its connection closed where its request never ends (${name})`, async () => {
      const server = PeerServers.createPeerServer({
        listen: '127.0.0.1:0',
        key: KEY,
        onRefused: () => undefined,
      });
      const address = await server.open();
      const result = await Kernel.sendEndlessRequest(address, request, MAX_BYTES);
      await server.close();
      expect(result.isClosed).toEqual(true);
    });
  }
});
