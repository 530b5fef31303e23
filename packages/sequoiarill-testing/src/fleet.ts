/** Starts a small deployment as separate processes: platform, engines, services and routers. */
import * as Demo from '@sequoiarill/demo';
import * as Kernel from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import type { ResumePreference } from '@sequoiarill/types';

import * as Daemons from './daemons';
import type { Daemon, IniSettings } from './daemons';

export interface FleetOptions {
  readonly engines: number;
  readonly services?: number;
  readonly routers?: number;
  /** Number of zones, to which the members are assigned in turn. */
  readonly zones?: number;
  readonly preference?: ResumePreference;
  readonly checksFencing?: boolean;
  readonly checksIdempotencyKey?: boolean;
  readonly slots?: number;
  /** Additional keys of the engines' `[engine]` section. */
  readonly engineSettings?: Readonly<Record<string, string | number>>;
  /** Additional sections of each router, or additional keys of its sections. */
  readonly routerSettings?: IniSettings;
}

export interface FleetRouter {
  readonly daemon: Daemon;
  /** Base URL for callers, `http://IP:port`. */
  readonly callers: string;
  /** Address of the operators' interface, `IP:port`. */
  readonly operators: string;
}

export interface Fleet {
  readonly apiKey: string;
  readonly platform: Daemon;
  readonly platformAddress: string;
  readonly engines: readonly Daemon[];
  readonly services: readonly Daemon[];
  readonly routers: readonly FleetRouter[];
  /** Restarts an engine at its old address with empty caches; ends the old process first. */
  readonly startEngine: (index: number) => Promise<void>;
  readonly stop: () => Promise<void>;
}

const ANY_LOCAL_PORT = '127.0.0.1:0';
/** Authenticates calls between routers; any 32 bytes are sufficient for a test. */
const SHARED_KEY = '5a'.repeat(32);
const DOCUMENT_KEY = 'sections/fleet';

function getZone(index: number, zones: number): string {
  return `zone-${(index % zones) + 1}`;
}

function getStandinAddress(daemon: Daemon): string {
  return daemon.addresses.get('')!;
}

async function startStandins(
  kind: 'engine' | 'service',
  count: number,
  settings: Readonly<Record<string, string | number>>,
): Promise<Daemon[]> {
  const starts = Array.from({ length: count }, () =>
    Daemons.startDaemon(kind, { [kind]: { listen: ANY_LOCAL_PORT, ...settings } }, ['']),
  );
  return Promise.all(starts);
}

function listMembers(kind: string, daemons: readonly Daemon[], zones: number) {
  return daemons.map((daemon, index) => ({
    name: `${kind}-${index + 1}`,
    zone: getZone(index, zones),
    address: getStandinAddress(daemon),
  }));
}

/** Writes the document's only section in place of its previous text; undefined where there is none yet. */
export async function updateDocument(
  platformAddress: string,
  edit: (text: string | undefined) => string,
): Promise<void> {
  const settings = Platform.platformSchema.parse({ endpoints: platformAddress });
  const connection = Platform.openPlatform(settings, Kernel.createMetrics(undefined, {}));
  const existing = await connection.store.readKey(DOCUMENT_KEY);
  const [entry] = existing.kind === 'range' ? existing.entries : [];
  const outcome = await connection.store.writeTransaction({
    comparisons: [{ key: DOCUMENT_KEY, revision: entry?.revision ?? 0 }],
    writes: [{ key: DOCUMENT_KEY, value: edit(entry?.value) }],
  });
  await connection.close();
  if (outcome.kind !== 'written') throw new Error(`document not written: ${outcome.kind}`);
}

export async function writeDocument(platformAddress: string, text: string): Promise<void> {
  await updateDocument(platformAddress, () => text);
}

export async function startRouter(
  index: number,
  zones: number,
  platformAddress: string,
  seeds: readonly string[],
  extraSettings: IniSettings = {},
): Promise<FleetRouter> {
  const settings: Record<string, Readonly<Record<string, string | number>>> = {
    process: { name: `router-${index + 1}`, zone: getZone(index, zones), region: 'region-1' },
    telemetry: { logLevel: 'info' },
    platform: { endpoints: platformAddress },
    callers: { listen: ANY_LOCAL_PORT },
    operators: { listen: ANY_LOCAL_PORT },
    membership: { listen: ANY_LOCAL_PORT, seeds: seeds.join(','), sharedKey: SHARED_KEY },
  };
  for (const [section, keys] of Object.entries(extraSettings)) {
    settings[section] = { ...settings[section], ...keys };
  }
  const names = ['callers.listening', 'operators.listening', 'process.ready'];
  const daemon = await Daemons.startDaemon('router', settings, names);
  return {
    daemon,
    callers: `http://${daemon.addresses.get('callers.listening')!}`,
    operators: daemon.addresses.get('operators.listening')!,
  };
}

function getPeerAddress(router: FleetRouter): string | undefined {
  return router.daemon.addresses.get('membership.listening');
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const zones = options.zones ?? 1;
  const platform = await Daemons.startDaemon('platform', { platform: { listen: ANY_LOCAL_PORT } }, [
    '',
  ]);
  const platformAddress = getStandinAddress(platform);
  const engineSettings = {
    models: Demo.MODEL,
    checksFencing: String(options.checksFencing ?? true),
    ...options.engineSettings,
  };
  const [engines, services] = await Promise.all([
    startStandins('engine', options.engines, engineSettings),
    startStandins('service', options.services ?? 0, {
      checksIdempotencyKey: String(options.checksIdempotencyKey ?? false),
    }),
  ]);
  const key = Kernel.createKeyRecord();
  const { preference, slots, checksFencing, checksIdempotencyKey } = options;
  const document = Demo.buildDocument({
    engines: listMembers('engine', engines, zones),
    services: listMembers('service', services, zones),
    keys: [key.record],
    ...(preference && { preference }),
    ...(slots !== undefined && { slots }),
    ...(checksFencing !== undefined && { checksFencing }),
    ...(checksIdempotencyKey !== undefined && { checksIdempotencyKey }),
  });
  await writeDocument(platformAddress, document);
  const routers: FleetRouter[] = [];
  for (let index = 0; index < (options.routers ?? 1); index += 1) {
    const seeds = routers.flatMap((router) => getPeerAddress(router) ?? []);
    const extraSettings = options.routerSettings;
    routers.push(await startRouter(index, zones, platformAddress, seeds, extraSettings));
  }

  async function startEngine(index: number): Promise<void> {
    const listen = getStandinAddress(engines[index]!);
    await engines[index]!.stop('SIGKILL');
    engines[index] = await Daemons.startDaemon(
      'engine',
      { engine: { ...engineSettings, listen } },
      [''],
    );
  }

  async function stop(): Promise<void> {
    const routerDaemons = routers.map(({ daemon }) => daemon);
    const daemons = [platform, ...engines, ...services, ...routerDaemons];
    // A daemon that a test has paused must be continued first to be able to exit.
    daemons.forEach((daemon) => daemon.send('SIGCONT'));
    await Promise.all(daemons.map((daemon) => daemon.stop('SIGKILL')));
  }

  return {
    apiKey: key.presented,
    platform,
    platformAddress,
    engines,
    services,
    routers,
    startEngine,
    stop,
  };
}
