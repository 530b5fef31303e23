/**
 * Runs several routers in one process, with only the plug-ins platform and membership, which do the
 * control work. Every router reports the load of every target of its zone each second.
 */
import * as Kernel from '@sequoiarill/kernel';
import * as MembershipPlugin from '@sequoiarill/plugin-membership';
import * as PlatformPlugin from '@sequoiarill/plugin-platform';
import type { Membership, Plugin } from '@sequoiarill/types';
import * as Zod from 'zod';

import * as Messages from './messages';
import type { Command, Report, StartCommand } from './messages';

/** The reports of a second are spread over this number of ticks, as they are when streams carry them. */
const TICKS_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;
const MAX_LOAD = 170;

interface Router {
  readonly kernel: Kernel.Kernel;
  readonly membership: Membership;
}

const routers: Router[] = [];
const timers: NodeJS.Timeout[] = [];
let idleHeapBytes = 0;

function sendReport(report: Report): void {
  process.send?.(report);
}

/** Creates a plug-in that reports when a revision is in force at the router. */
function createRevisionMonitor(router: string): Plugin {
  return {
    name: 'watcher',
    settingsSchema: Zod.unknown(),
    provides: [],
    needs: ['configuration'],
    events: [],
    createInstance(context) {
      context.getCapability('configuration').subscribeConfiguration(({ revision }) => {
        const atMs = Messages.getMachineMs();
        sendReport({ kind: 'revision', router, revision, atMs });
      });
      return { dumpState: () => ({}) };
    },
  };
}

async function startRouter(name: string, command: StartCommand): Promise<Router> {
  const platform = PlatformPlugin.platformSchema.parse({
    endpoints: command.platform,
    reader: 'auto',
  });
  const kernel = Kernel.createKernel({
    settings: {
      process: { name, zone: command.zone, region: command.region },
      telemetry: { logLevel: 'silent' },
      plugins: new Map<string, unknown>([
        ['platform', platform],
        ['membership', { listen: '127.0.0.1:0', seeds: command.seeds }],
      ]),
    },
    plugins: [
      PlatformPlugin.platformPlugin as Plugin,
      MembershipPlugin.plugin as Plugin,
      createRevisionMonitor(name),
    ],
  });
  await kernel.start();
  return { kernel, membership: kernel.getCapability('membership') };
}

/** Reports the load of each target once a second, as a router with traffic does. */
function startReports(membership: Membership, targets: readonly string[]): void {
  let tick = 0;
  const timer = setInterval(() => {
    tick += 1;
    targets.forEach((target, index) => {
      if (index % TICKS_PER_SECOND !== tick % TICKS_PER_SECOND) return;
      const running = (index * 7 + tick) % MAX_LOAD;
      membership.reportTarget({ target, state: 'healthy', running, waiting: tick % 5 });
    });
  }, MS_PER_SECOND / TICKS_PER_SECOND);
  timers.push(timer);
}

async function runStart(command: StartCommand): Promise<void> {
  idleHeapBytes = measureHeap();
  const addresses: string[] = [];
  for (const name of command.names) {
    // The first router of the zone is the seed of all others.
    const seeds = command.seeds.length > 0 ? command.seeds : addresses.slice(0, 1);
    const router = await startRouter(name, { ...command, seeds });
    routers.push(router);
    startReports(router.membership, command.targets);
    const dump = await router.kernel.dumpProcess();
    addresses.push(String(dump.plugins.membership?.address));
  }
  sendReport({ kind: 'started', addresses });
}

function measureHeap(): number {
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

interface MembershipDump {
  readonly served: { readonly bytesSent: number; readonly bytesReceived: number };
  readonly exchanges: { readonly failed: number };
}

async function runMeasure(): Promise<void> {
  const { user, system } = process.cpuUsage();
  const dumps = await Promise.all(routers.map(({ kernel }) => kernel.dumpProcess()));
  const membershipDumps = dumps.map((dump) => dump.plugins.membership as unknown as MembershipDump);
  const alive = routers.map(
    ({ membership }) => membership.listPeers().filter(({ state }) => state === 'alive').length,
  );
  sendReport({
    kind: 'usage',
    cpuMicros: user + system,
    servedBytes: membershipDumps.reduce(
      (sum, { served }) => sum + served.bytesSent + served.bytesReceived,
      0,
    ),
    heapBytes: measureHeap(),
    idleHeapBytes,
    alivePeers: Math.min(...alive),
    failedExchanges: membershipDumps.reduce((sum, { exchanges }) => sum + exchanges.failed, 0),
  });
}

async function runStop(): Promise<void> {
  timers.forEach((timer) => clearInterval(timer));
  await Promise.all(routers.map(({ kernel }) => kernel.stop()));
  process.removeAllListeners('disconnect');
  process.disconnect();
}

async function handleCommand(command: Command): Promise<void> {
  if (command.kind === 'start') await runStart(command);
  else if (command.kind === 'measure') await runMeasure();
  else await runStop();
}

process.on('message', (command: Command) => {
  handleCommand(command).catch((error: unknown) => {
    process.stderr.write(`${(error as Error).stack ?? String(error)}\n`);
    process.exitCode = 1;
    process.disconnect();
  });
});

// Exits when the measurement has failed or was stopped, since no stop command will follow.
process.on('disconnect', () => {
  process.exitCode ??= 0;
  setImmediate(() => process.kill(process.pid, 'SIGTERM'));
});
