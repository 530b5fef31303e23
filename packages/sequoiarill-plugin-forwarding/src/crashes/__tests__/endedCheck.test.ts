import * as Net from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as EndedChecks from '../endedCheck';
import * as Fakes from '../../__tests__/fakeDependencies';

/** Longer than a check may take. */
const HELD_UP_MS = 90;

/** Nothing else runs in this process meanwhile. */
function delayProcess(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

async function openServer(): Promise<Net.Server> {
  const server = Net.createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

function createTarget(server: Net.Server) {
  const { port } = server.address() as AddressInfo;
  return Fakes.createTarget('s1', { address: `127.0.0.1:${port}` });
}

describe('the check whether a target has ended', () => {
  const checkEnded = EndedChecks.createEndedCheck(Kernel.createSystemClock());

  it('sees a refusal that came while the router was held up', async () => {
    // Guards against crashes that are not counted since the router was short of processor time.
    const server = await openServer();
    const target = createTarget(server);
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const checking = checkEnded(target);
    // The connection is begun in the next tick.
    await new Promise(process.nextTick);
    delayProcess(HELD_UP_MS);
    expect(await checking).toEqual('ended');
  });

  it('takes a target that accepts connections for alive', async () => {
    const server = await openServer();
    expect(await checkEnded(createTarget(server))).toEqual('alive');
    server.close();
  });
});
