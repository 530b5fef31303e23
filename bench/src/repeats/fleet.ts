/** Routers as processes, of which each reaches the store, the others and the targets through links. */
import * as Standins from '@sequoiarill/standins';
import type { LinkStandin, StoreStandin, TargetFault, TargetStandin } from '@sequoiarill/standins';
import * as Testing from '@sequoiarill/testing';
import type { StartedRouter } from '@sequoiarill/testing';

import type { Arrival, Count, Rule } from './windows';

export type Kind = 'streams' | 'reads' | 'orders';

export interface FleetOptions {
  /** Program file of the routers. */
  readonly daemon: string;
  readonly routers: number;
  readonly targets: number;
  readonly kind: Kind;
  readonly rule: Rule;
  readonly limitMs: number;
  readonly maxTargets: number;
  /** Whether routers reach targets through links; each connection through one costs processor time here. */
  readonly hasTargetLinks: boolean;
  /** Whether each router reaches targets through links of its own instead. */
  readonly hasRouterLinks: boolean;
}

export interface ManagedRouter {
  /** Undefined while it does not serve. */
  readonly getAddress: () => string | undefined;
  readonly restart: (signal: 'SIGKILL' | 'SIGTERM') => Promise<void>;
  readonly pause: (ms: number) => Promise<void>;
  readonly stop: () => Promise<void>;
  /** Repeats in its window by its own count, over all its processes. */
  readonly listCounts: () => readonly Omit<Count, 'router'>[];
}

export interface Fleet {
  readonly routers: readonly ManagedRouter[];
  readonly targets: readonly TargetStandin[];
  /** To each target, of all routers; empty unless the options ask for them. */
  readonly targetLinks: readonly LinkStandin[];
  /** To each target, by router; empty unless the options ask for them. */
  readonly routerLinks: readonly (readonly LinkStandin[])[];
  /** From the others to each router. */
  readonly peerLinks: readonly LinkStandin[];
  /** From each router to the store. */
  readonly storeLinks: readonly LinkStandin[];
  readonly listArrivals: () => readonly Arrival[];
  readonly stop: () => Promise<void>;
}

export const ORGANISATIONS = ['a', 'b', 'c', 'd', 'e', 'f'];
const PRIORITIES = 3;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const ROUTER_PREFIX = 'sequoiarill/routers/';
const NO_ADDRESS = '127.0.0.1:1';
const EVENT_COUNT = 60;
const MS_PER_SECOND = 1_000;
const RESTART_MS = 500;
/** More routers at a time would take the processor time that this process needs. */
const STARTED_TOGETHER = 6;
/** Each target fails in all but one of so many steps. */
const FAULT_STEPS = 3;
const FAULT_STEP_MS = 150;

export function formatKey(organisation: string): string {
  return `key-of-${organisation}`;
}

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Organisations have different priorities, so that routers tell each other their sums. */
function formatConfiguration({ limitMs, maxTargets }: FleetOptions): string {
  const options = { apiKeys: [], timeoutMs: limitMs, maxAttempts: maxTargets };
  const tenants = ORGANISATIONS.map((name, index) => ({
    name,
    apiKeys: [formatKey(name)],
    priority: index % PRIORITIES,
  }));
  return JSON.stringify({ ...Standins.createConfiguration(1, options), tenants });
}

function formatSettings(
  name: string,
  zone: string,
  store: string,
  { ratio, slack, windowMs }: Rule,
): string {
  return [
    `[process]\nname = ${name}\nzone = ${zone}\nregion = here`,
    `[adapter]\nstore = ${store}`,
    '[directory]\nlisten = 127.0.0.1:0',
    [
      '[forwarding]',
      'listen = 127.0.0.1:0',
      'readinessListen = 127.0.0.1:0',
      'graceSeconds = 2',
      `repeatRatio = ${ratio}`,
      `repeatSlack = ${slack}`,
      `repeatWindowSeconds = ${windowMs / MS_PER_SECOND}`,
    ].join('\n'),
  ].join('\n\n');
}

async function startLink(target: string | (() => string)) {
  const link = Standins.createLinkStandin({ target });
  return { link, address: (await link.start()).address };
}

async function startTargets(store: StoreStandin, { targets, kind, hasTargetLinks }: FleetOptions) {
  const started = [];
  for (let index = 0; index < targets; index += 1) {
    const target = Standins.createTargetStandin(`target-${index}`, { eventCount: EVENT_COUNT });
    const listening = await target.start();
    const linked = hasTargetLinks ? await startLink(listening) : undefined;
    const address = linked?.address ?? listening;
    const entry = {
      service: kind === 'streams' ? 'engines' : 'orders',
      address,
      zone: ZONES[index % ZONES.length] ?? '',
      version: 'v1',
      slots: 24,
      state: 'ready',
      startedAtUnixMs: 1,
    } as const;
    store.writeValue(Standins.formatTargetKey(target.id), Standins.formatTargetEntry(entry));
    started.push({ target, address, links: linked === undefined ? [] : [linked.link] });
  }
  return started;
}

async function startRouter(
  index: number,
  store: StoreStandin,
  viewAddress: string,
  options: FleetOptions,
) {
  const { link, address: storeAddress } = await startLink(viewAddress);
  const zone = ZONES[index % ZONES.length] ?? '';
  const settings = formatSettings(`router-${index}`, zone, storeAddress, options.rule);
  let current: StartedRouter;
  let isServing = false;
  const lives: StartedRouter[] = [];

  async function startNext(): Promise<void> {
    current = Testing.startUserRouter(options.daemon, settings);
    lives.push(current);
    await current.start;
    await current.waitForLine(
      ({ name, known }) => name === 'directory.targetsChanged' && Number(known) >= options.targets,
    );
    isServing = true;
  }

  const router: ManagedRouter = {
    getAddress: () => (isServing ? current.address : undefined),
    async restart(signal) {
      isServing = false;
      current.process.kill(signal);
      await current.exited;
      await waitMs(RESTART_MS);
      await startNext();
    },
    async pause(ms) {
      current.process.kill('SIGSTOP');
      await waitMs(ms);
      current.process.kill('SIGCONT');
    },
    async stop() {
      current.process.kill('SIGKILL');
      await current.exited;
    },
    listCounts: () =>
      lives
        .flatMap(({ lines }) => lines)
        .filter(({ name }) => name === 'repeats.counted')
        .map(({ time, retries, held }) => ({
          atMs: Number(time) - performance.timeOrigin,
          repeats: Number(retries) + Number(held),
        })),
  };
  await startNext();
  return { router, link };
}

/** For each router, links of its own to the targets with these addresses. */
async function startRouterLinks(
  { routers, hasRouterLinks }: FleetOptions,
  targets: readonly string[],
) {
  const linked = hasRouterLinks ? targets : [];
  return Promise.all(
    Array.from({ length: routers }, () =>
      Promise.all(linked.map(async (target) => ({ target, ...(await startLink(target)) }))),
    ),
  );
}

type RouterLinks = Awaited<ReturnType<typeof startRouterLinks>>[number];

/** Views in which all routers have the addresses of their links, and each router its own links to targets. */
async function startViews(store: StoreStandin, routerLinks: readonly RouterLinks[]) {
  const links = new Map<string, Awaited<ReturnType<typeof startLink>>>();
  for (let index = 0; index < routerLinks.length; index += 1) {
    const key = `${ROUTER_PREFIX}router-${index}`;
    const findAddress = (): string => {
      const text = store.getValue(key) ?? `{"address":"${NO_ADDRESS}"}`;
      return (JSON.parse(text) as { readonly address: string }).address;
    };
    links.set(key, await startLink(findAddress));
  }
  const addresses = routerLinks.map((targetLinks) =>
    store.startView((key, value) => {
      const peer = links.get(key)?.address;
      if (peer !== undefined) {
        return JSON.stringify({ ...(JSON.parse(value) as object), address: peer });
      }
      return targetLinks.reduce(
        (changed, { target, address }) => changed.replaceAll(`"${target}"`, `"${address}"`),
        value,
      );
    }),
  );
  return {
    addresses: await Promise.all(addresses),
    peerLinks: [...links.values()].map(({ link }) => link),
  };
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const store = Standins.createStoreStandin();
  await store.start();
  store.writeValue(Standins.CONFIGURATION_KEY, formatConfiguration(options));
  const targets = await startTargets(store, options);
  const ownLinks = await startRouterLinks(
    options,
    targets.map(({ address }) => address),
  );
  const { addresses, peerLinks } = await startViews(store, ownLinks);
  const routers: Awaited<ReturnType<typeof startRouter>>[] = [];
  for (let from = 0; from < addresses.length; from += STARTED_TOGETHER) {
    const batch = addresses.slice(from, from + STARTED_TOGETHER);
    routers.push(
      ...(await Promise.all(
        batch.map((address, index) => startRouter(from + index, store, address, options)),
      )),
    );
  }
  const storeLinks = routers.map(({ link }) => link);
  const targetLinks = targets.flatMap(({ links }) => links);
  const routerLinks = ownLinks.map((links) => links.map(({ link }) => link));
  return {
    routers: routers.map(({ router }) => router),
    targets: targets.map(({ target }) => target),
    targetLinks,
    routerLinks,
    peerLinks,
    storeLinks,
    listArrivals: () =>
      targets.flatMap(({ target }) =>
        target.listArrivals().map((arrival) => ({ ...arrival, target: target.id })),
      ),
    async stop() {
      await Promise.all(routers.map(({ router }) => router.stop()));
      const links = [...storeLinks, ...targetLinks, ...routerLinks.flat(), ...peerLinks];
      await Promise.all(links.map((link) => link.stop()));
      await Promise.all(targets.map(({ target }) => target.stop()));
      await store.stop();
    },
  };
}

/**
 * Lets each target fail most of the time and be sound in between, not all at the same moment: one that always fails gets
 * no requests.
 */
export async function runFaults(
  { targets }: Fleet,
  fault: TargetFault,
  signal: AbortSignal,
): Promise<void> {
  for (let step = 0; !signal.aborted; step += 1) {
    targets.forEach((target, index) => {
      target.setFault((index + step) % FAULT_STEPS === 0 ? 'none' : fault);
    });
    await waitMs(FAULT_STEP_MS);
  }
}
