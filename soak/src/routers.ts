/** Routers as processes, each with a link of its own to the store. */
import * as Net from 'node:net';

import * as Standins from '@sequoiarill/standins';
import type { LinkStandin } from '@sequoiarill/standins';
import * as Testing from '@sequoiarill/testing';
import type { LogLine, StartedRouter } from '@sequoiarill/testing';

export interface RouterPlace {
  readonly storeLink: LinkStandin;
  readonly getAddress: () => string;
  /** Counts the lives of the process, from 1. */
  readonly getLife: () => number;
  readonly pause: (forMs: number) => Promise<void>;
  readonly reload: () => void;
  /** Ends the process by the signal, waits for its end and starts it again. */
  readonly restart: (signal: 'SIGTERM' | 'SIGKILL') => Promise<void>;
  readonly listLines: () => readonly LogLine[];
  /** Exit codes of processes that were not killed. */
  readonly listExits: () => readonly (number | null)[];
  readonly stop: () => Promise<void>;
}

export interface RouterPlaceOptions {
  readonly name: string;
  readonly zone: string;
  readonly storeAddress: string;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
}

const DAEMON = require.resolve('@sequoiarill/platform-adapter/lib/main.js');
const GRACE_SECONDS = 4;
const MAX_STARTS = 20;
/** Time after which the platform starts a process again, milliseconds. */
const RESTART_MS = 300;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Below the ports that the operating system gives out by itself. */
const FIRST_PORT = 10_000;
const PORTS = 20_000;
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
 * Addresses for the routers' peers, which must stay theirs while a router is down: a port that the
 * operating system gives out goes to whoever asks next, and that may be a target of another soak, which
 * then gets the peers' calls.
 */
export async function reserveAddresses(count: number): Promise<readonly string[]> {
  const first = (process.pid * PORTS_PER_SOAK) % PORTS;
  const addresses: string[] = [];
  for (let offset = 0; addresses.length < count; offset += 1) {
    const port = FIRST_PORT + ((first + offset) % PORTS);
    if (await isFree(port)) addresses.push(`127.0.0.1:${port}`);
  }
  return addresses;
}

export async function startRouter(options: RouterPlaceOptions): Promise<RouterPlace> {
  const { name, zone, storeAddress, peerAddress, seeds } = options;
  const storeLink = Standins.createLinkStandin({ target: storeAddress });
  const { address: store } = await storeLink.start();
  const settings = [
    `[process]\nname = ${name}\nzone = ${zone}\nregion = here`,
    `[adapter]\nstore = ${store}\ncallTimeoutMs = 400\nwatchWaitMs = 700`,
    `[directory]\nlisten = ${peerAddress}\nseeds = ${seeds.join(',')}`,
    `[forwarding]\nlisten = 127.0.0.1:0\nreadinessListen = 127.0.0.1:0\ngraceSeconds = ${GRACE_SECONDS}`,
  ].join('\n\n');
  const lives: StartedRouter[] = [];
  const exits: (number | null)[] = [];
  let isStopped = false;

  function getCurrent(): StartedRouter {
    const current = lives.at(-1);
    if (current === undefined) throw new Error('the router has no process yet');
    return current;
  }

  /** False when the process ended before it took requests. */
  async function startOnce(): Promise<boolean> {
    const started = Testing.startUserRouter(DAEMON, settings);
    lives.push(started);
    return started.start.then(
      () => true,
      () => false,
    );
  }

  /**
   * A process that ends is started again, as the platform does. Failure without it: between two lives
   * some connection of this machine takes the port for peers, the next life ends with one line that
   * says so, and the router counts as one that does not recover.
   */
  async function startLife(): Promise<void> {
    for (let start = 0; start < MAX_STARTS && !isStopped; start += 1) {
      if (await startOnce()) return;
      await waitMs(RESTART_MS);
    }
  }

  async function stopLife(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const current = getCurrent();
    current.process.kill('SIGCONT');
    current.process.kill(signal);
    const code = await current.exited;
    if (signal === 'SIGTERM') exits.push(code);
  }

  await startLife();
  return {
    storeLink,
    getAddress: () => getCurrent().address,
    getLife: () => lives.length,
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
      await stopLife(signal);
      if (!isStopped) await startLife();
    },
    listLines: () => lives.flatMap(({ lines }) => lines),
    listExits: () => exits,
    async stop() {
      isStopped = true;
      await stopLife('SIGTERM');
      await storeLink.stop();
    },
  };
}
