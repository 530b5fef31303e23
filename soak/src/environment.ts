/** Starts what one soak runs against: stand-ins of the store and of targets, and routers. */
import * as Standins from '@sequoiarill/standins';
import type { StoreStandin } from '@sequoiarill/standins';

import type { WrittenVersion } from './callers';
import * as Configurations from './configuration';
import type { ConfigurationChange } from './configuration';
import * as RequestLogs from './requestLog';
import type { RequestLog } from './requestLog';
import * as ManagedLinks from './routerLinks';
import type { RouterLinks } from './routerLinks';
import * as Routers from './routers';
import type { ManagedRouter } from './routers';
import * as Targets from './targets';
import type { ManagedTarget } from './targets';

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly routers: number;
  readonly callers: number;
  /** Whether some requests hold a part that crashes engines. */
  readonly hasCrashingPart: boolean;
}

export interface Environment {
  readonly store: StoreStandin;
  readonly routers: readonly ManagedRouter[];
  readonly targets: readonly ManagedTarget[];
  readonly requestLog: RequestLog;
  readonly versions: WrittenVersion[];
  /** What the configurations that are written now change. */
  readonly changes: Set<ConfigurationChange>;
  /** By router. */
  readonly routerLinks: readonly RouterLinks[];
}

const ZONES = ['zone-a', 'zone-b'] as const;
export const ENGINES = 4;
const SERVICES = 3;
export const TARGET_COUNT = ENGINES + SERVICES;
export const EVENT_COUNT = 60;

export function writeNextVersion({ store, versions, changes }: Environment): void {
  const version = (versions[0]?.version ?? 0) + 1;
  store.writeValue(
    Standins.CONFIGURATION_KEY,
    Configurations.formatConfiguration(version, changes),
  );
  versions.unshift({ version, writtenAtMs: performance.now() });
}

export async function startEnvironment(options: SoakOptions): Promise<Environment> {
  const store = Standins.createStoreStandin();
  await store.start();
  const requestLog = RequestLogs.createRequestLog();
  const kinds = [
    ...Array.from({ length: ENGINES }, () => 'engines' as const),
    ...Array.from({ length: SERVICES }, () => 'orders' as const),
  ];
  const targets = await Promise.all(
    kinds.map((service, index) => {
      const zone = ZONES[index % ZONES.length] ?? ZONES[0];
      return Targets.startTarget({
        index,
        service,
        zone,
        store,
        eventCount: EVENT_COUNT,
        onCrash: () => requestLog.crashesMs.push(performance.now()),
      });
    }),
  );
  const names = Array.from({ length: options.routers }, (_one, index) => `router-${index}`);
  const peers = await Routers.reserveAddresses(names.length);
  const addresses = targets.map(({ address }) => address);
  const routerLinks = await Promise.all(
    names.map(() => ManagedLinks.startRouterLinks(store, addresses)),
  );
  const routers = names.map((name, index) => ({
    name,
    zone: ZONES[index % ZONES.length] ?? ZONES[0],
    storeAddress: routerLinks[index]?.storeAddress ?? '',
    peerAddress: peers[index] ?? '',
    seeds: peers.slice(0, 2),
  }));
  const versions: WrittenVersion[] = [];
  const environment: Environment = {
    store,
    routers: [],
    targets,
    requestLog,
    versions,
    changes: new Set(),
    routerLinks,
  };
  writeNextVersion(environment);
  return { ...environment, routers: await Promise.all(routers.map(Routers.startRouter)) };
}
