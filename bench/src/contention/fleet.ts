/** Stand-ins of the store and of engines, and routers as processes, with the faults of the contention bench. */
import * as Standins from '@sequoiarill/standins';
import type { QueueingEngine, StoreStandin } from '@sequoiarill/standins';
import * as Testing from '@sequoiarill/testing';
import type { StartedRouter } from '@sequoiarill/testing';

import type { ListedRouter } from './callers';
import * as Configurations from './configuration';
import type { Timing } from './configuration';
import type { EngineRecord, RouterFault, RouterFaultKind } from './records';

export interface FleetOptions {
  /** Program file of the routers. */
  readonly daemon: string;
  readonly routers: number;
  readonly engines: number;
  readonly slots: number;
  readonly kvTokens: number;
  readonly preempts: boolean;
  /** The first so many engines run at half the speed of the others. */
  readonly slowEngines: number;
  readonly timing: Timing;
  /** Number of events in each stream. */
  readonly eventCount?: number;
  /** Text of the first configuration, instead of that of the contention bench. */
  readonly configuration?: string;
  /** Megabytes of memory of a router's VM, as its settings name them; unless given, they name none. */
  readonly memoryMb?: number;
  readonly nodeArguments?: readonly string[];
}

export interface ManagedEngine {
  readonly slowness: number;
  readonly stop: () => Promise<void>;
  /** Starts the next incarnation at the same address. */
  readonly restart: () => Promise<void>;
  readonly listIncarnations: () => readonly QueueingEngine[];
}

export interface ManagedRouter {
  /** Undefined while the balancer sends no callers there. */
  readonly getListed: () => ListedRouter | undefined;
  /** Id of its current process. */
  readonly getProcessId: () => number | undefined;
  readonly applyFault: (kind: RouterFaultKind) => Promise<RouterFault>;
  readonly stop: () => Promise<void>;
}

const ZONES = ['zone-a', 'zone-b'] as const;
const SLOW = 2;
const PAUSE_MS = 2_000;
/** Time after which the balancer notices that a router does not serve. */
const BALANCER_MS = 300;
/** Time between the end of a router's process and the start of the next one. */
const RESTART_MS = 1_000;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function startEngine(
  store: StoreStandin,
  index: number,
  options: FleetOptions,
): Promise<ManagedEngine> {
  const { slots, kvTokens, preempts, slowEngines, timing } = options;
  const { eventCount = Configurations.EVENT_COUNT } = options;
  const slowness = index < slowEngines ? SLOW : 1;
  const incarnations: QueueingEngine[] = [];
  let listen = '127.0.0.1:0';

  async function startNext(): Promise<void> {
    const startedAtUnixMs = incarnations.length + 1;
    const engine = Standins.createQueueingEngine(`engine-${index}-life-${startedAtUnixMs}`, {
      listen,
      slots,
      maxQueued: 4 * slots,
      prefillTokensPerMs: timing.prefillTokensPerMs,
      eventMs: timing.eventMs,
      eventCount,
      kvTokens,
      tokensPerEvent: Configurations.TOKENS_PER_EVENT,
      preempts,
      slowness,
      startedAtUnixMs,
    });
    listen = await engine.start();
    const ended = incarnations.at(-1);
    if (ended !== undefined) store.removeKey(Standins.formatTargetKey(ended.id));
    incarnations.push(engine);
    const zone = ZONES[index % ZONES.length] ?? ZONES[0];
    const entry = {
      service: 'engines',
      address: listen,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      startedAtUnixMs,
    } as const;
    store.writeValue(Standins.formatTargetKey(engine.id), Standins.formatTargetEntry(entry));
  }

  await startNext();
  return {
    slowness,
    stop: async () => incarnations.at(-1)?.stop(),
    restart: startNext,
    listIncarnations: () => incarnations,
  };
}

function formatSettings(store: string, name: string, zone: string, memoryMb?: number): string {
  return [
    `[process]\nname = ${name}\nzone = ${zone}\nregion = here\nmemoryMb = ${memoryMb ?? ''}`,
    `[adapter]\nstore = ${store}`,
    '[directory]\nlisten = 127.0.0.1:0',
    '[forwarding]\nlisten = 127.0.0.1:0\nreadinessListen = 127.0.0.1:0\nrelayListen = 127.0.0.1:0\ngraceSeconds = 4',
  ].join('\n\n');
}

async function startRouter(
  storeAddress: string,
  index: number,
  { daemon, engines, memoryMb, nodeArguments }: FleetOptions,
): Promise<ManagedRouter> {
  const zone = ZONES[index % ZONES.length] ?? ZONES[0];
  const settings = formatSettings(storeAddress, `router-${index}`, zone, memoryMb);
  let incarnation = 0;
  let isListed = false;
  let current: StartedRouter;

  async function startNext(): Promise<void> {
    current = Testing.startUserRouter(daemon, settings, nodeArguments);
    await current.start;
    // A router is ready before it has read all targets.
    await current.waitForLine(
      ({ name, known }) => name === 'directory.targetsChanged' && Number(known) >= engines,
    );
    incarnation += 1;
    isListed = true;
  }

  async function removeListed(): Promise<void> {
    await waitMs(BALANCER_MS);
    isListed = false;
  }

  async function delayProcess(): Promise<void> {
    current.process.kill('SIGSTOP');
    await Promise.all([removeListed(), waitMs(PAUSE_MS)]);
    current.process.kill('SIGCONT');
    isListed = true;
  }

  /** Returns the exit code. */
  async function renewProcess(signal: 'SIGKILL' | 'SIGTERM'): Promise<number | null> {
    current.process.kill(signal);
    const [exitCode] = await Promise.all([current.exited, removeListed()]);
    await waitMs(RESTART_MS);
    await startNext();
    return exitCode;
  }

  await startNext();
  return {
    getListed: () =>
      isListed ? { router: index, incarnation, address: current.address } : undefined,
    getProcessId: () => current.process.pid,
    async applyFault(kind) {
      const fault = { kind, router: index, incarnation, fromMs: performance.now() };
      if (kind === 'pause') {
        await delayProcess();
        return { ...fault, untilMs: performance.now() };
      }
      const exitCode = await renewProcess(kind === 'kill' ? 'SIGKILL' : 'SIGTERM');
      return { ...fault, untilMs: performance.now(), exitCode };
    },
    async stop() {
      current.process.kill('SIGKILL');
      await current.exited;
    },
  };
}

export async function startFleet(options: FleetOptions) {
  const store = Standins.createStoreStandin();
  const storeAddress = await store.start();
  const { timing, kvTokens } = options;
  const { configuration = Configurations.formatConfiguration(timing, kvTokens) } = options;
  store.writeValue(Standins.CONFIGURATION_KEY, configuration);
  const engines: ManagedEngine[] = [];
  for (let index = 0; index < options.engines; index += 1) {
    engines.push(await startEngine(store, index, options));
  }
  const routers = await Promise.all(
    Array.from({ length: options.routers }, (_one, index) =>
      startRouter(storeAddress, index, options),
    ),
  );
  return {
    store,
    engines,
    routers,
    listEngineRecords: (): readonly EngineRecord[] =>
      engines
        .flatMap((engine) => engine.listIncarnations())
        .map((engine) => ({
          runs: engine.listRuns(),
          rejected: engine.listRejected(),
          reportReads: engine.countReports(),
        })),
    async stop() {
      await Promise.all(routers.map((router) => router.stop()));
      await Promise.all(engines.map((engine) => engine.stop()));
      await store.stop();
    },
  };
}
