import * as Net from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as ExitChecks from '../exitCheck';
import * as Fakes from '../../__tests__/fakeDependencies';

/** Longer than the timeout of the check. */
const DELAY_MS = 90;

/** Blocks the event loop of this process. */
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

describe('exit check of a target', () => {
  const checkExit = ExitChecks.createExitCheck(Kernel.createSystemClock());

  it('detects a refused connection while the router process is blocked', async () => {
    // Guards against crashes that are not counted because the router lacked processor time.
    const server = await openServer();
    const target = createTarget(server);
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const checking = checkExit(target);
    // The connection is opened in the next tick.
    await new Promise(process.nextTick);
    delayProcess(DELAY_MS);
    expect(await checking).toEqual('ended');
  });

  it('reports a target that accepts connections as alive', async () => {
    const server = await openServer();
    expect(await checkExit(createTarget(server))).toEqual('alive');
    server.close();
  });
});
