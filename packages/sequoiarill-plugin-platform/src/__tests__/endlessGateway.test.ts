import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as CallCounters from '../callCounter';
import * as GatewayClients from '../gatewayClient';
import * as KeyValueStores from '../keyValueStore';

const CALL_TIMEOUT_MS = 300;
const MAX_RESPONSE_BYTES = 1_048_576;
/** Bytes that are under way between the two processes when the connection is closed. */
const SOCKET_BYTES = 8 * 1_048_576;
/** Bytes without a body: they take no memory, and the time of the call bounds them. */
const BODILESS: readonly string[] = ['interim', 'chunkExtension'];

function openStore(address: string) {
  const gateway = GatewayClients.createGatewayClient({
    endpoints: [address],
    callTimeoutMs: CALL_TIMEOUT_MS,
    maxResponseBytes: MAX_RESPONSE_BYTES,
  });
  const metrics = { addCount: () => undefined, recordTiming: () => undefined };
  const counter = CallCounters.createCallCounter(metrics);
  return {
    gateway,
    store: KeyValueStores.createKeyValueStore({ gateway, counter, keyPrefix: '' }),
  };
}

describe('a gateway whose answer never ends', () => {
  // Guards against an answer that takes the memory of the process, or that holds a connection and its caller for ever.
  for (const [name, answer] of Object.entries(Kernel.ENDLESS_ANSWERS)) {
    it(`is unavailable (${name})`, async () => {
      const server = await Kernel.startEndlessServer({ answer });
      const { gateway, store } = openStore(server.address);
      expect((await store.readKey('a')).kind).toEqual('unavailable');
      await server.waitUntilClosed();
      const isBounded = server.getLargestBytes() < MAX_RESPONSE_BYTES + SOCKET_BYTES;
      const watch = store.watchPrefix('p/', 1, AbortSignal.timeout(CALL_TIMEOUT_MS));
      while ((await watch.next()).done !== true);
      await server.waitUntilClosed();
      await gateway.close();
      await server.stop();
      expect(isBounded || BODILESS.includes(name)).toEqual(true);
    });
  }

  it('is unavailable where a page is followed by the same page', async () => {
    // Guards against a read that asks for the same page for ever.
    const key = Buffer.from('p/1').toString('base64');
    let calls = 0;
    const server = Http.createServer((_request, response) => {
      calls += 1;
      response.end(JSON.stringify({ header: { revision: 3 }, kvs: [{ key }], more: calls < 100 }));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { gateway, store } = openStore(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const { kind } = await store.readPrefix('p/');
    await gateway.close();
    server.close();
    expect([kind, calls]).toEqual(['unavailable', 2]);
  });
});
