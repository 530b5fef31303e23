/** One soak: a world of stand-ins and routers, callers, faults by schedule, and the checks at its end. */
import * as Standins from '@sequoiarill/standins';
import type { LinkStandin, StoreStandin } from '@sequoiarill/standins';
import type { LogLine } from '@sequoiarill/testing';

import * as Callers from './callers';
import type { WrittenVersion } from './callers';
import * as Checks from './checks';
import type { Violation } from './checks';
import * as Configurations from './configuration';
import * as Ledgers from './ledger';
import type { Ledger } from './ledger';
import * as Randoms from './random';
import * as Routers from './routers';
import type { RouterPlace } from './routers';
import * as Schedules from './schedule';
import type { Action, LinkFault, Step } from './schedule';
import * as Targets from './targets';
import type { TargetPlace } from './targets';

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly routers: number;
  readonly callers: number;
}

export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly schedule: readonly Step[];
  readonly requests: number;
  readonly answered: number;
  readonly probes: number;
  readonly lines: readonly LogLine[];
}

interface World {
  readonly store: StoreStandin;
  readonly routers: readonly RouterPlace[];
  readonly targets: readonly TargetPlace[];
  readonly ledger: Ledger;
  readonly versions: WrittenVersion[];
}

const ZONES = ['zone-a', 'zone-b'] as const;
const ENGINES = 4;
const SERVICES = 3;
const EVENT_COUNT = 60;
/** A life that begins after a crash, milliseconds. */
const DOWN_MS = 700;
/** A leaving target ends this long after it said so. */
const LEAVES_MS = 4_500;
/** After the last fault everything must work again within this. */
const SETTLE_MS = 5_000;
const LAST_REQUESTS = 10;
/** Engines notice that a caller has left within this. */
const CANCELLED_MS = 1_500;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });
}

function writeNextVersion({ store, versions }: World): void {
  const version = (versions[0]?.version ?? 0) + 1;
  store.writeValue(Standins.CONFIGURATION_KEY, Configurations.formatConfiguration(version));
  versions.unshift({ version, writtenAtMs: performance.now() });
}

async function startWorld(options: SoakOptions): Promise<World> {
  const store = Standins.createStoreStandin();
  const storeAddress = await store.start();
  const kinds = [
    ...Array.from({ length: ENGINES }, () => 'engines' as const),
    ...Array.from({ length: SERVICES }, () => 'orders' as const),
  ];
  const targets = await Promise.all(
    kinds.map((service, index) => {
      const zone = ZONES[index % ZONES.length] ?? ZONES[0];
      return Targets.startTarget({ index, service, zone, store, eventCount: EVENT_COUNT });
    }),
  );
  const names = Array.from({ length: options.routers }, (_one, index) => `router-${index}`);
  const peers = await Routers.reserveAddresses(names.length);
  const routers = names.map((name, index) => ({
    name,
    zone: ZONES[index % ZONES.length] ?? ZONES[0],
    storeAddress,
    peerAddress: peers[index] ?? '',
    seeds: peers.slice(0, 2),
  }));
  const ledger = Ledgers.createLedger();
  const versions: WrittenVersion[] = [];
  const world: World = { store, routers: [], targets, ledger, versions };
  writeNextVersion(world);
  return { ...world, routers: await Promise.all(routers.map(Routers.startRouter)) };
}

async function playLinkFault(link: LinkStandin, fault: LinkFault, forMs: number): Promise<void> {
  link[fault]();
  if (fault === 'reset') return;
  await waitMs(forMs);
  link.heal();
  // What was cut in the middle stays silent, as after a real cut; new connections work.
  link.reset();
}

/** Marks routers as disturbed while something is played. */
async function runDisturbed(
  { ledger }: World,
  routers: readonly number[],
  play: () => Promise<void>,
): Promise<void> {
  const fromMs = performance.now();
  const marks = routers.map((router) => ({ router, fromMs, untilMs: Number.POSITIVE_INFINITY }));
  ledger.disturbances.push(...marks);
  await play();
  marks.forEach((mark) => {
    mark.untilMs = performance.now();
  });
}

async function playRouterFault(
  router: RouterPlace,
  fault: Schedules.RouterFault,
  forMs: number,
): Promise<void> {
  if (fault === 'pause') await router.pause(forMs);
  else if (fault === 'reload') router.reload();
  else await router.restart(fault === 'kill' ? 'SIGKILL' : 'SIGTERM');
}

async function playLeaving(world: World, target: TargetPlace): Promise<void> {
  const id = target.leave();
  world.ledger.leavings.push({ target: id, writtenAtMs: performance.now() });
  await waitMs(LEAVES_MS);
  await target.restart(DOWN_MS);
}

async function playTargetAction(world: World, action: Action, forMs: number): Promise<void> {
  if (action.kind !== 'target' && action.kind !== 'restart' && action.kind !== 'leave') return;
  const target = world.targets[action.target];
  if (target === undefined) return;
  if (action.kind === 'restart') await target.restart(DOWN_MS);
  else if (action.kind === 'leave') await playLeaving(world, target);
  else {
    const life = target.getLife();
    life.setFault(action.fault);
    await waitMs(forMs);
    life.setFault('none');
  }
}

async function playAction(world: World, { action, forMs }: Step): Promise<void> {
  const everybody = world.routers.map((_router, index) => index);
  if (action.kind === 'configure') writeNextVersion(world);
  else if (action.kind === 'compact') world.store.compact();
  else if (action.kind === 'store') {
    await runDisturbed(world, everybody, async () => {
      world.store.setFault(action.fault);
      await waitMs(forMs);
      world.store.setFault('none');
    });
  } else if (action.kind === 'router' || action.kind === 'storeLink') {
    const router = world.routers[action.router];
    if (router === undefined) return;
    await runDisturbed(world, [action.router], () =>
      action.kind === 'router'
        ? playRouterFault(router, action.fault, forMs)
        : playLinkFault(router.storeLink, action.fault, forMs),
    );
  } else if (action.kind === 'targetLink') {
    const target = world.targets[action.target];
    if (target !== undefined) await playLinkFault(target.link, action.fault, forMs);
  } else await playTargetAction(world, action, forMs);
}

/** Actions on one place follow each other; those on different places overlap. */
function getPlace(action: Action): string {
  if ('router' in action) return `router ${action.router}`;
  if ('target' in action && action.kind !== 'targetLink') return `target ${action.target}`;
  return 'target' in action ? `link ${action.target}` : action.kind;
}

async function playSchedule(world: World, schedule: readonly Step[]): Promise<void> {
  const startedMs = performance.now();
  const busy = new Map<string, Promise<void>>();
  for (const step of schedule) {
    await waitMs(startedMs + step.atMs - performance.now());
    const place = getPlace(step.action);
    const before = busy.get(place) ?? Promise.resolve();
    busy.set(
      place,
      before.then(() => playAction(world, step)),
    );
  }
  await Promise.all(busy.values());
}

/** After the last fault every router serves again, and no work is left for callers that are gone. */
function* checkEnd(world: World, before: number): Generator<Violation> {
  const { ledger, routers, targets } = world;
  const last = [...ledger.requests.values()].slice(before);
  for (const [index, router] of routers.entries()) {
    const own = last.filter((request) => request.router === index);
    const served = own.filter(({ id }) => {
      const view = ledger.views.get(id);
      return view?.kind === 'answer' && view.status === 200 && view.isWhole;
    });
    if (served.length * 2 < own.length) {
      const text = `router ${index}: ${served.length} of ${own.length} served at the end`;
      yield { rule: 'recovers', text };
    }
    for (const code of router.listExits().filter((one) => one !== 0)) {
      yield { rule: 'ends', text: `router ${index}: ended with ${String(code)} after SIGTERM` };
    }
  }
  const open = targets.reduce((sum, target) => sum + target.getLife().countInFlight(), 0);
  if (open > 0) {
    yield { rule: 'cancelled', text: `${open} requests are still worked on at the end` };
  }
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const size = { routers: options.routers, targets: ENGINES + SERVICES };
  const schedule = Schedules.createSchedule(options.seed, options.seconds * 1_000, size);
  const world = await startWorld(options);
  const { ledger, routers, targets, versions } = world;
  const callers = Callers.createCallers({
    routers,
    ledger,
    random: Randoms.createRandom(options.seed + 1),
    eventCount: EVENT_COUNT,
    listVersions: () => versions,
  });
  const stopping = new AbortController();
  const running = [
    ...Array.from({ length: options.callers }, () => callers.runCaller(stopping.signal)),
    ...routers.map((_router, index) => callers.runProber(index, stopping.signal)),
  ];
  await playSchedule(world, schedule);
  await waitMs(SETTLE_MS);
  const before = ledger.requests.size;
  while (ledger.requests.size < before + LAST_REQUESTS * routers.length) await waitMs(50);
  stopping.abort();
  await Promise.all(running);
  await waitMs(CANCELLED_MS);
  const atEnd = [...checkEnd(world, before)];
  await callers.close();
  await Promise.all(routers.map((router) => router.stop()));
  const lives = targets.flatMap((target) => target.listLives());
  const organisation = Standins.ORGANISATION;
  const evidence = { ledger, lives, eventCount: EVENT_COUNT, organisation };
  await Promise.all(targets.map((target) => target.stop()));
  await world.store.stop();
  return {
    violations: [...Checks.checkEvidence(evidence), ...atEnd],
    schedule,
    requests: ledger.requests.size,
    answered: [...ledger.views.values()].filter((view) => view.kind === 'answer').length,
    probes: ledger.probes.length,
    lines: routers.flatMap((router) => router.listLines()),
  };
}
