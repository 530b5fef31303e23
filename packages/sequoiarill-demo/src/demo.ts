/** The embedded default: platform, three engines, one service and one router in one process. */
import * as Kernel from '@sequoiarill/kernel';
import type { MetricsSender } from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import * as Standins from '@sequoiarill/standins';
import * as Sequoiarill from 'sequoiarill';

import * as Documents from './document';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const STEP_MS = 40;
const CALL_TIMEOUT_MS = 1_000;

export interface DemoOptions {
  /** `IP:port` of the router towards callers and operators. */
  readonly callers: string;
  readonly operators: string;
}

export interface Demo {
  /** The organisation's API key, made for this run only. */
  readonly apiKey: string;
  readonly stop: () => Promise<void>;
}

interface Standin {
  readonly start: () => Promise<{ readonly address: string }>;
  readonly stop: () => Promise<void>;
}

export async function startDemo(options: DemoOptions): Promise<Demo> {
  const platform = Standins.createPlatformStandin();
  const engines = ZONES.map(() =>
    Standins.createEngineStandin({ models: Documents.MODEL, stepMs: STEP_MS, checksFencing: true }),
  );
  const service = Standins.createServiceStandin();
  const standins: readonly Standin[] = [platform, ...engines, service];
  const [platformAddress, ...addresses] = await Promise.all(standins.map(startStandin));
  const key = Kernel.createKeyRecord();
  const document = Documents.buildDocument({
    engines: addresses.slice(0, engines.length).map(createMember('engine')),
    services: addresses.slice(engines.length).map(createMember('service')),
    keys: [key.record],
  });
  await writeDocument(platformAddress!, document);
  const router = await Sequoiarill.startRouter(parseRouterSettings(options, platformAddress!));

  async function stop(): Promise<void> {
    await router.stop();
    await Promise.all(standins.map((standin) => standin.stop()));
  }

  return { apiKey: key.presented, stop };
}

async function startStandin(standin: Standin): Promise<string> {
  const { address } = await standin.start();
  return address;
}

function createMember(kind: string) {
  return (address: string, index: number): Documents.FleetMember => ({
    name: `${kind}-${index + 1}`,
    zone: ZONES[index % ZONES.length]!,
    address,
  });
}

/** Puts the one section into an empty platform. */
async function writeDocument(platformAddress: string, text: string): Promise<void> {
  const silent: MetricsSender = Kernel.createMetrics(undefined, {});
  const settings = Platform.platformSchema.parse({ endpoints: platformAddress });
  const connection = Platform.openPlatform({ ...settings, callTimeoutMs: CALL_TIMEOUT_MS }, silent);
  const key = 'sections/demo';
  const outcome = await connection.store.writeTransaction({
    comparisons: [{ key, revision: 0 }],
    writes: [{ key, value: text }],
  });
  await connection.close();
  if (outcome.kind !== 'written') throw new Error(`the document was not written: ${outcome.kind}`);
}

function parseRouterSettings(options: DemoOptions, platformAddress: string): Kernel.Settings {
  const text = [
    '[process]',
    'name = router-1',
    `zone = ${ZONES[0]}`,
    'region = local',
    '[telemetry]',
    'logLevel = warn',
    '[platform]',
    `endpoints = ${platformAddress}`,
    '[callers]',
    `listen = ${options.callers}`,
    '[operators]',
    `listen = ${options.operators}`,
    '[membership]',
    'listen = 127.0.0.1:0',
  ].join('\n');
  const result = Sequoiarill.parseSettings(text, 'embedded settings');
  if (result.kind === 'settings') return result.settings;
  throw new Error(result.faults.map(Kernel.formatFault).join('\n'));
}
