/** Starts a small deployment inside the test's process: stand-ins, and routers with every plug-in. */
import * as Demo from '@sequoiarill/demo';
import * as Kernel from '@sequoiarill/kernel';
import * as Standins from '@sequoiarill/standins';
import type { ResumePreference } from '@sequoiarill/types';
import * as Sequoiarill from 'sequoiarill';
import * as Undici from 'undici';

import * as Daemons from '../daemons';
import type { IniSettings } from '../daemons';
import * as Fleets from '../fleet';

export interface DeploymentOptions {
  readonly engines?: number;
  readonly services?: number;
  readonly routers?: number;
  readonly checksFencing?: boolean;
  readonly checksIdempotencyKey?: boolean;
  readonly preference?: ResumePreference;
  readonly slots?: number;
  /** Limit of the model on output tokens. */
  readonly maxOutputTokens?: number;
  /** Timeout of the services for one order. */
  readonly serviceTimeoutMs?: number;
  readonly engineSettings?: Standins.EngineSettingsInput;
  readonly routerSettings?: IniSettings;
}

export interface DeploymentRouter {
  readonly router: Sequoiarill.Router;
  /** Base URL for callers, `http://IP:port`. */
  readonly callers: string;
  /** Returns the plug-in's section of the state dump. */
  readonly dumpPlugin: (name: string) => Promise<Readonly<Record<string, unknown>>>;
  /** Returns the decision journal of a request. */
  readonly explainRequest: (requestId: string) => Promise<readonly JournalLine[]>;
}

export interface JournalLine {
  readonly kind: string;
  readonly details?: Readonly<Record<string, unknown>>;
}

/** Faults are injected at the first engine and the first service, each of which is behind a link. */
export interface Deployment {
  readonly apiKey: string;
  readonly platformAddress: string;
  readonly platform: Standins.PlatformStandin;
  readonly engines: readonly Standins.EngineStandin[];
  readonly engineLink: Standins.LinkStandin;
  readonly services: readonly Standins.ServiceStandin[];
  readonly serviceLink: Standins.LinkStandin;
  readonly routers: readonly DeploymentRouter[];
  readonly stop: () => Promise<void>;
}

/** Zone of the routers and of the first engine and service; the others are in the remote zone. */
const LOCAL_ZONE = 'zone-1';
const OTHER_ZONE = 'zone-2';
const ANY_LOCAL_PORT = '127.0.0.1:0';
const SHARED_KEY = '5a'.repeat(32);
const CURSOR_KEY = 'c5'.repeat(32);
const STEP_MS = 2;
/** Slow, so that the time between a dispatch and the first token suffices to inject a fault. */
const PREFILL_TOKENS_PER_SECOND = 400;

export const ENGINE_DEFAULTS: Standins.EngineSettingsInput = {
  models: Demo.MODEL,
  stepMs: STEP_MS,
  eosProbability: 0,
  prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
};

/** Short, so that tests of orders without an answer end soon. */
const SERVICE_TIMEOUT_MS = 1_000;

/** Adapts the limits of the demo document to the test. */
function setLimits(text: string, options: DeploymentOptions): string {
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
    zone: index === 0 ? LOCAL_ZONE : OTHER_ZONE,
    address,
  }));
}

async function startAll(
  standins: readonly { readonly start: () => Promise<{ readonly address: string }> }[],
): Promise<string[]> {
  const started = await Promise.all(standins.map((standin) => standin.start()));
  return started.map(({ address }) => address);
}

async function startDeploymentRouter(
  index: number,
  platformAddress: string,
  extraSettings: IniSettings,
): Promise<DeploymentRouter> {
  const settings: Record<string, Readonly<Record<string, string | number>>> = {
    process: { name: `router-${index + 1}`, zone: LOCAL_ZONE, region: 'region-1' },
    telemetry: { logLevel: 'silent' },
    platform: { endpoints: platformAddress },
    callers: { listen: ANY_LOCAL_PORT, cursorKey: CURSOR_KEY },
    // A queued request must outlast the injected fault, also on a busy machine.
    generations: { maxQueueMs: 20_000 },
    operators: { listen: ANY_LOCAL_PORT },
    membership: { listen: ANY_LOCAL_PORT, sharedKey: SHARED_KEY },
  };
  for (const [section, keys] of Object.entries(extraSettings)) {
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

/** Starts all components; the caller has to call `stop`. */
export async function startDeployment(options: DeploymentOptions = {}): Promise<Deployment> {
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
  const routers: DeploymentRouter[] = [];
  for (let index = 0; index < (options.routers ?? 1); index += 1) {
    routers.push(await startDeploymentRouter(index, platformAddress, options.routerSettings ?? {}));
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

/** Counts the open requests of a router in any state. */
export async function countOpenRequests(router: DeploymentRouter): Promise<number> {
  const { requests } = await router.dumpPlugin('callers');
  const counts = Object.values(requests as Readonly<Record<string, number>>);
  return counts.reduce((sum, count) => sum + count, 0);
}
