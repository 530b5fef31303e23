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

describe('exit check that holds its connection', () => {
  const checkEnd = ExitChecks.createExitCheck(Kernel.createSystemClock(), DELAY_MS, DELAY_MS);

  it('detects a process whose listener accepts for a moment after its other connections have closed', async () => {
    // Guards against half an answer that is taken for whole, since the killed target seems to accept connections.
    const server = Net.createServer((socket) => {
      server.close();
      setTimeout(() => socket.resetAndDestroy(), 3);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    expect(await checkEnd(createTarget(server))).toEqual('ended');
  });

  it('detects an ended process behind a proxy that accepts connections for it', async () => {
    // Guards against half an answer that is taken for whole, since somebody accepts connections at the target's address.
    const server = await openServer();
    expect(await checkEnd(createTarget(server))).toEqual('ended');
    server.close();
  });

  it('reports a target as alive that had no room for the first connection', async () => {
    const sockets: Net.Socket[] = [];
    const server = Net.createServer((socket) => {
      if (sockets.push(socket) === 1) socket.resetAndDestroy();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const result = await checkEnd(createTarget(server));
    sockets.forEach((socket) => socket.destroy());
    server.close();
    expect(result).toEqual('alive');
  });
});
