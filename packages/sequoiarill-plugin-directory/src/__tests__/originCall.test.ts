import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as PeerClients from '../peerClient';

const QUERY = { organisation: 'o1', requestId: 's1', services: ['engines'] };

describe('the search for the origin of a stream', () => {
  it('tells a router that does not answer in time from one that has terminated', async () => {
    // Guards against streams that are refused for good because the routers that know them are paused for a moment.
    const server = Http.createServer(() => undefined);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const clock = Kernel.createSystemClock();
    const client = PeerClients.createPeerClient({ expectedTarget: 'target' }, clock);
    const silent = await client.findOrigin(`127.0.0.1:${port}`, QUERY);
    expect(silent.kind === 'failed' && silent.isSilent).toEqual(true);
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const ended = await client.findOrigin(`127.0.0.1:${port}`, QUERY);
    expect(ended.kind === 'failed' && ended.isSilent).toEqual(false);
    await client.close();
  });
});
