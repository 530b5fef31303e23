/** A small deployment inside the test's process: stand-ins, and routers with every plug-in. */
import * as Demo from '@sequoiarill/demo';
import * as Kernel from '@sequoiarill/kernel';
import * as Standins from '@sequoiarill/standins';
import type { ResumePreference } from '@sequoiarill/types';
import * as Sequoiarill from 'sequoiarill';
import * as Undici from 'undici';

import * as Daemons from '../daemons';
import type { IniSettings } from '../daemons';
import * as Fleets from '../fleet';

export interface WorldOptions {
  readonly engines?: number;
  readonly services?: number;
  readonly routers?: number;
  readonly checksFencing?: boolean;
  readonly checksIdempotencyKey?: boolean;
  readonly preference?: ResumePreference;
  readonly slots?: number;
  /** Output tokens that the model allows. */
  readonly maxOutputTokens?: number;
  /** Time for one order, in milliseconds. */
  readonly serviceTimeoutMs?: number;
  readonly engineSettings?: Standins.EngineSettingsInput;
  readonly routerSettings?: IniSettings;
}

export interface WorldRouter {
  readonly router: Sequoiarill.Router;
  /** `http://IP:port` towards callers. */
  readonly callers: string;
  /** Part of the state dump. */
  readonly dumpPlugin: (name: string) => Promise<Readonly<Record<string, unknown>>>;
  /** What the router decided for a request. */
  readonly explainRequest: (requestId: string) => Promise<readonly JournalLine[]>;
}

export interface JournalLine {
  readonly kind: string;
  readonly details?: Readonly<Record<string, unknown>>;
}

/** The first engine and the first service are the ones that faults strike, each behind a link. */
export interface World {
  readonly apiKey: string;
  readonly platformAddress: string;
  readonly platform: Standins.PlatformStandin;
  readonly engines: readonly Standins.EngineStandin[];
  readonly engineLink: Standins.LinkStandin;
  readonly services: readonly Standins.ServiceStandin[];
  readonly serviceLink: Standins.LinkStandin;
  readonly routers: readonly WorldRouter[];
  readonly stop: () => Promise<void>;
}

/** The routers and the engine that faults strike are in this zone, the other engines are not. */
const HOME_ZONE = 'zone-1';
const OTHER_ZONE = 'zone-2';
const LOCAL = '127.0.0.1:0';
const SHARED_KEY = '5a'.repeat(32);
const CURSOR_KEY = 'c5'.repeat(32);
const STEP_MS = 2;
/** Slow, so that there is time between a dispatch and its first token. */
const PREFILL_TOKENS_PER_SECOND = 400;

export const ENGINE_DEFAULTS: Standins.EngineSettingsInput = {
  models: Demo.MODEL,
  stepMs: STEP_MS,
  eosProbability: 0,
  prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
};

/** Short, so that an order whose answer never comes ends its test soon. */
const SERVICE_TIMEOUT_MS = 1_000;

/** The document of the demonstration, with limits that suit tests. */
function setLimits(text: string, options: WorldOptions): string {
  const section = JSON.parse(text) as {
    services: Record<string, Record<string, unknown>>;
    models: Record<string, Record<string, unknown>>;
  };
  for (const service of Object.values(section.services)) {
    service.timeoutMs = options.serviceTimeoutMs ?? SERVICE_TIMEOUT_MS;
  }
  for (const model of Object.values(section.models)) {
    model.maxOutputTokens = options.maxOutputTokens ?? model.maxOutputTokens;
  }
  return JSON.stringify(section);
}

function listMembers(kind: string, addresses: readonly string[]): Demo.FleetMember[] {
  return addresses.map((address, index) => ({
    name: `${kind}-${index + 1}`,
    zone: index === 0 ? HOME_ZONE : OTHER_ZONE,
    address,
  }));
}

async function startAll(
  standins: readonly { readonly start: () => Promise<{ readonly address: string }> }[],
): Promise<string[]> {
  const started = await Promise.all(standins.map((standin) => standin.start()));
  return started.map(({ address }) => address);
}

async function startWorldRouter(
  index: number,
  platformAddress: string,
  more: IniSettings,
): Promise<WorldRouter> {
  const settings: Record<string, Readonly<Record<string, string | number>>> = {
    process: { name: `router-${index + 1}`, zone: HOME_ZONE, region: 'region-1' },
    telemetry: { logLevel: 'silent' },
    platform: { endpoints: platformAddress },
    callers: { listen: LOCAL, cursorKey: CURSOR_KEY },
    // A queued request must outlast the fault that is played meanwhile, also on a busy machine.
    generations: { maxQueueMs: 20_000 },
    operators: { listen: LOCAL },
    membership: { listen: LOCAL, sharedKey: SHARED_KEY },
  };
  for (const [section, keys] of Object.entries(more)) {
    settings[section] = { ...settings[section], ...keys };
  }
  const parsed = Sequoiarill.parseSettings(Daemons.formatIni(settings), 'matrix settings');
  if (parsed.kind !== 'settings') {
    throw new Error(parsed.faults.map(Kernel.formatFault).join('\n'));
  }
  const router = await Sequoiarill.startRouter(parsed.settings);

  async function dumpPlugin(name: string): Promise<Readonly<Record<string, unknown>>> {
    const dump = await router.kernel.dumpProcess();
    return dump.plugins[name]!;
  }

  const { address: callers } = await dumpPlugin('callers');
  const { address: operators } = await dumpPlugin('operators');

  async function explainRequest(requestId: string): Promise<readonly JournalLine[]> {
    const answer = await Undici.request(`http://${String(operators)}/explain/${requestId}`);
    const body = (await answer.body.json()) as { readonly entries?: readonly JournalLine[] };
    return body.entries ?? [];
  }

  return { router, callers: `http://${String(callers)}`, dumpPlugin, explainRequest };
}

/** Starts everything; the caller of this stops it. */
export async function startWorld(options: WorldOptions = {}): Promise<World> {
  const { checksFencing = true, checksIdempotencyKey = false } = options;
  const platform = Standins.createPlatformStandin();
  const engines = Array.from({ length: options.engines ?? 3 }, () =>
    Standins.createEngineStandin({ ...ENGINE_DEFAULTS, checksFencing, ...options.engineSettings }),
  );
  const services = Array.from({ length: options.services ?? 1 }, () =>
    Standins.createServiceStandin({ checksIdempotencyKey }),
  );
  const { address: platformAddress } = await platform.start();
  const engineAddresses = await startAll(engines);
  const serviceAddresses = await startAll(services);
  const engineLink = Standins.createLinkStandin({ target: engineAddresses[0]! });
  const serviceLink = Standins.createLinkStandin({ target: serviceAddresses[0]! });
  engineAddresses[0] = (await engineLink.start()).address;
  serviceAddresses[0] = (await serviceLink.start()).address;
  const key = Kernel.createKeyRecord();
  const document = Demo.buildDocument({
    engines: listMembers('engine', engineAddresses),
    services: listMembers('service', serviceAddresses),
    keys: [key.record],
    checksFencing,
    checksIdempotencyKey,
    preference: options.preference ?? 'resumeLatency',
    ...(options.slots !== undefined && { slots: options.slots }),
  });
  await Fleets.writeDocument(platformAddress, setLimits(document, options));
  const routers: WorldRouter[] = [];
  for (let index = 0; index < (options.routers ?? 1); index += 1) {
    routers.push(await startWorldRouter(index, platformAddress, options.routerSettings ?? {}));
  }

  async function stop(): Promise<void> {
    await Promise.all(routers.map(({ router }) => router.stop(0)));
    const standins = [engineLink, serviceLink, ...engines, ...services, platform];
    await Promise.all(standins.map((standin) => standin.stop()));
  }

  return {
    apiKey: key.presented,
    platformAddress,
    platform,
    engines,
    engineLink,
    services,
    serviceLink,
    routers,
    stop,
  };
}

/** Requests that a router has open, whatever they wait for. */
export async function countOpenRequests(router: WorldRouter): Promise<number> {
  const { requests } = await router.dumpPlugin('callers');
  const counts = Object.values(requests as Readonly<Record<string, number>>);
  return counts.reduce((sum, count) => sum + count, 0);
}
