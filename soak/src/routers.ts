/** Runs routers as processes, each behind its own link to the store. */
import * as Net from 'node:net';

import * as Standins from '@sequoiarill/standins';
import type { LinkStandin } from '@sequoiarill/standins';
import * as Testing from '@sequoiarill/testing';
import type { LogLine, StartedRouter } from '@sequoiarill/testing';

export interface ManagedRouter {
  readonly storeLink: LinkStandin;
  readonly getAddress: () => string;
  /** Returns the number of the current process, counted from 1. */
  readonly getIncarnation: () => number;
  readonly pause: (forMs: number) => Promise<void>;
  readonly reload: () => void;
  /** Sends the signal to the process, waits for its exit and starts a new process. */
  readonly restart: (signal: 'SIGTERM' | 'SIGKILL') => Promise<void>;
  readonly listLogLines: () => readonly LogLine[];
  /** Lists the exit codes of the processes that were ended with SIGTERM. */
  readonly listExitCodes: () => readonly (number | null)[];
  readonly stop: () => Promise<void>;
}

export interface RouterOptions {
  readonly name: string;
  readonly zone: string;
  readonly storeAddress: string;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
}

const ROUTER_MAIN = require.resolve('@sequoiarill/platform-adapter/lib/main.js');
const DRAIN_GRACE_SECONDS = 4;
export const DRAIN_GRACE_MS = DRAIN_GRACE_SECONDS * 1_000;
const MAX_START_ATTEMPTS = 20;
/** Delay after which the platform restarts a process that has exited. */
const RESTART_DELAY_MS = 300;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Below the operating system's range of ephemeral ports. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
const PORTS_PER_SOAK = 64;

async function isFree(port: number): Promise<boolean> {
  const server = Net.createServer();
  const isBound = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return isBound;
}

/**
 * Reserves fixed peer addresses for the routers, which must stay reserved while a router is down. An
 * ephemeral port may be assigned to another process meanwhile, for example to a target of another soak,
 * which would then receive the peers' calls.
 */
export async function reserveAddresses(count: number): Promise<readonly string[]> {
  const first = (process.pid * PORTS_PER_SOAK) % PORT_COUNT;
  const addresses: string[] = [];
  for (let offset = 0; addresses.length < count; offset += 1) {
    const port = FIRST_PORT + ((first + offset) % PORT_COUNT);
    if (await isFree(port)) addresses.push(`127.0.0.1:${port}`);
  }
  return addresses;
}

export async function startRouter(options: RouterOptions): Promise<ManagedRouter> {
  const { name, zone, storeAddress, peerAddress, seeds } = options;
  const storeLink = Standins.createLinkStandin({ target: storeAddress });
  const { address: store } = await storeLink.start();
  const settings = [
    `[process]\nname = ${name}\nzone = ${zone}\nregion = here`,
    `[adapter]\nstore = ${store}`,
    `[directory]\nlisten = ${peerAddress}\nseeds = ${seeds.join(',')}`,
    `[forwarding]\nlisten = 127.0.0.1:0\nreadinessListen = 127.0.0.1:0\nrelayListen = 127.0.0.1:0\ngraceSeconds = ${DRAIN_GRACE_SECONDS}`,
  ].join('\n\n');
  const incarnations: StartedRouter[] = [];
  const exitCodes: (number | null)[] = [];
  let isStopped = false;
  /** Restarts follow each other, since several faults may want one at the same time. */
  let restarting = Promise.resolve();

  function getCurrent(): StartedRouter {
    const current = incarnations.at(-1);
    if (current === undefined) throw new Error('the router process has not been started');
    return current;
  }

  /** Returns false if the process exited before it was ready. */
  async function startOnce(): Promise<boolean> {
    const started = Testing.startUserRouter(ROUTER_MAIN, settings);
    incarnations.push(started);
    return started.start.then(
      () => true,
      () => false,
    );
  }

  /**
   * Starts a process, and again if it exits during its start, as the platform does. Another connection of
   * this machine may take the peer port between two incarnations. The next process then exits with a log
   * line about the port, and without a further start the router would fail the recovery check.
   */
  async function startIncarnation(): Promise<void> {
    for (let start = 0; start < MAX_START_ATTEMPTS && !isStopped; start += 1) {
      if (await startOnce()) return;
      await waitMs(RESTART_DELAY_MS);
    }
  }

  async function stopIncarnation(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const current = getCurrent();
    current.process.kill('SIGCONT');
    current.process.kill(signal);
    const code = await current.exited;
    if (signal === 'SIGTERM') exitCodes.push(code);
  }

  await startIncarnation();
  return {
    storeLink,
    getAddress: () => getCurrent().address,
    getIncarnation: () => incarnations.length,
    async pause(forMs) {
      const current = getCurrent();
      current.process.kill('SIGSTOP');
      await waitMs(forMs);
      current.process.kill('SIGCONT');
    },
    reload: () => {
      getCurrent().process.kill('SIGHUP');
    },
    async restart(signal) {
      restarting = restarting.then(async () => {
        await stopIncarnation(signal);
        if (!isStopped) await startIncarnation();
      });
      await restarting;
    },
    listLogLines: () => incarnations.flatMap(({ lines }) => lines),
    listExitCodes: () => exitCodes,
    async stop() {
      isStopped = true;
      await stopIncarnation('SIGTERM');
      await storeLink.stop();
    },
  };
}
