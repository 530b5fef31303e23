/** Holds an address of this machine at which attempts to connect get no response, as at a machine without power. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import * as Net from 'node:net';
import { setTimeout as startTimeout } from 'node:timers/promises';

export interface DarkAddress {
  readonly close: () => Promise<void>;
}

/**
 * The kernel drops attempts to connect to a listener whose queue is full. The process that listens is
 * stopped, and a backlog of 1 takes two connections.
 */
const BACKLOG = 1;
const CONNECT_MS = 20;
const QUEUED_CONNECTIONS = BACKLOG + 1;

function startListener(host: string, port: number): ChildProcess {
  const options = JSON.stringify({ host, port, backlog: BACKLOG });
  const program = `require('net').createServer().listen(${options}, () => console.log('listening'))`;
  return spawn(process.execPath, ['-e', program], { stdio: ['ignore', 'pipe', 'inherit'] });
}

/** The address must be free. */
export async function openDarkAddress(address: string): Promise<DarkAddress> {
  const [host = '', port = ''] = address.split(':');
  const child = startListener(host, Number(port));
  const killChild = () => child.kill('SIGKILL');
  process.once('exit', killChild);
  await once(child.stdout!, 'data');
  child.kill('SIGSTOP');
  const sockets = Array.from({ length: QUEUED_CONNECTIONS }, () =>
    Net.connect({ host, port: Number(port) }).on('error', () => undefined),
  );
  // Connections of others may have filled the queue before, so that these don't all get through.
  await startTimeout(CONNECT_MS);
  return {
    async close() {
      sockets.forEach((socket) => socket.destroy());
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
      process.off('exit', killChild);
    },
  };
}
