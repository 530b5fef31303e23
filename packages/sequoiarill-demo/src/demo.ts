/** The embedded demo: platform, three engines, one service and one router in one process. */
import * as Kernel from '@sequoiarill/kernel';
import type { MetricsSender } from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import * as Standins from '@sequoiarill/standins';
import * as Sequoiarill from 'sequoiarill';

import * as Documents from './document';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const ENGINE_STEP_MS = 40;
const CALL_TIMEOUT_MS = 1_000;

export interface DemoOptions {
  /** `IP:port` on which the router serves callers. */
  readonly callers: string;
  /** `IP:port` on which the router serves operators. */
  readonly operators: string;
}

export interface Demo {
  /** The organisation's API key, created for this run only. */
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
    Standins.createEngineStandin({
      models: Documents.MODEL,
      stepMs: ENGINE_STEP_MS,
      checksFencing: true,
    }),
  );
  const service = Standins.createServiceStandin();
  const standins: readonly Standin[] = [platform, ...engines, service];
  const [platformAddress, ...addresses] = await Promise.all(standins.map(startStandin));
  const key = Kernel.createKeyRecord();
  const document = Documents.buildDocument({
    engines: addresses.slice(0, engines.length).map(createMemberBuilder('engine')),
    services: addresses.slice(engines.length).map(createMemberBuilder('service')),
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

function createMemberBuilder(kind: string) {
  return (address: string, index: number): Documents.FleetMember => ({
    name: `${kind}-${index + 1}`,
    zone: ZONES[index % ZONES.length]!,
    address,
  });
}

/** Writes the document as the only section of the platform, which must still be empty. */
async function writeDocument(platformAddress: string, text: string): Promise<void> {
  const noMetrics: MetricsSender = Kernel.createMetrics(undefined, {});
  const settings = Platform.platformSchema.parse({ endpoints: platformAddress });
  const connection = Platform.openPlatform(
    { ...settings, callTimeoutMs: CALL_TIMEOUT_MS },
    noMetrics,
  );
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
