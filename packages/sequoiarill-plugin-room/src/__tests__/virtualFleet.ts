/** Several instances of the plug-in in virtual time, linked by fake calls. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  EventDefinition,
  ForwardingConfiguration,
  ForwardingRoute,
  ForwardingTarget,
  PluginInstance,
  OwnRepeats,
  Room,
  RoomFacts,
  RoomMessage,
  RouterPeers,
} from '@sequoiarill/types';

import * as RoomPlugin from '../plugin';
import type { RoomSettings } from '../settings';

export const SERVICE = 'engines';
const CALL_TIMEOUT_MS = 600;
const LATENCY_MS = 2;
const STEP_MS = 100;

export function createRoute(name: string, priority: number, service = SERVICE): ForwardingRoute {
  const shares = [{ service, weight: 1 }];
  const flags = { isStream: true, hasPrompt: true, isPublic: false, maxTargets: 3 };
  const times = { timeoutMs: 30_000, objectiveMs: 5_000, maxGapMs: 700 };
  const place = { host: 'test', pathPrefix: `/${name}/`, retryPolicy: 'resumable' as const };
  return { name, priority, shares, ...flags, ...times, ...place };
}

export function createConfiguration(
  overrides: Partial<ForwardingConfiguration> = {},
): ForwardingConfiguration {
  const engine = { kvCacheTokens: 88_000, hasBackups: true, tokensPerEvent: 7, copyLifetimeMs: 0 };
  const services = [SERVICE, 'plain'].map((name) => ({
    name,
    maxConnections: 8,
    healthPath: '/health',
    ...(name === SERVICE ? { engine } : {}),
  }));
  return {
    version: 1,
    routes: [createRoute('chat', 0), createRoute('batch', 2)],
    services: new Map(services.map((service) => [service.name, service])),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    organisations: ['small', 'large'].map((name) => ({ name, apiKeys: [] })),
    ...overrides,
  };
}

export function createTarget(id: string): ForwardingTarget {
  const build = { version: '1', models: '' };
  const place = { service: SERVICE, address: '10.1.0.1:80', zone: 'a', slots: 24 };
  return { id, startedAtUnixMs: 1, ...place, ...build, state: 'ready', warmupLeftMs: 0 };
}

export interface VirtualRouter {
  readonly address: string;
  readonly zone: string;
  room: Room;
  instance: PluginInstance;
  repeats: OwnRepeats;
  /** Counts the processes; calls of those that were killed are not sent. */
  process: number;
  /** A paused process answers no call and runs no code. */
  isPaused: boolean;
  isDown: boolean;
  handle: (message: RoomMessage) => Promise<readonly RoomFacts[]>;
  readonly events: { readonly event: EventDefinition; readonly fields: unknown }[];
}

export interface Load {
  readonly router: VirtualRouter;
  readonly organisation: string;
  readonly level: number;
  /** Work per second. */
  readonly demand: number;
  readonly served: number;
}

export function createFleet(
  zones: readonly string[],
  perZone: number,
  mode: RoomSettings['mode'] = 'auto',
) {
  const clock = Kernel.createFakeClock();
  const calls: { from: string; to: string; message: RoomMessage }[] = [];
  const loads: Load[] = [];
  const state = { configuration: createConfiguration() };
  /** One delay for each time that a message is delivered; none where it is lost. */
  let delaysMs = (): readonly number[] => [LATENCY_MS];
  let isLinked: (from: VirtualRouter, to: VirtualRouter) => boolean = () => true;
  const routers: VirtualRouter[] = [];
  const listed = new Set<VirtualRouter>();

  async function callRouter(from: VirtualRouter, to: string, message: RoomMessage) {
    calls.push({ from: from.address, to, message });
    const router = routers.find(({ address }) => address === to) as VirtualRouter;
    const isReachable = !router.isDown && !router.isPaused && isLinked(from, router);
    const delivered = (isReachable ? delaysMs() : []).map(async (delayMs) => {
      await clock.waitMs(delayMs);
      try {
        const facts = await router.handle(JSON.parse(JSON.stringify(message)) as RoomMessage);
        return { kind: 'facts' as const, facts };
      } catch (error) {
        return { kind: 'failed' as const, reason: (error as Error).message };
      }
    });
    const timedOut = { kind: 'failed' as const, reason: 'timed out' };
    const timeout = clock.waitMs(CALL_TIMEOUT_MS).then(() => timedOut);
    return Promise.race([...delivered, timeout]);
  }

  async function waitWhilePaused(router: VirtualRouter, ms: number, signal?: AbortSignal) {
    await clock.waitMs(ms, signal);
    while (router.isPaused) await clock.waitMs(STEP_MS);
  }

  function startProcess(router: VirtualRouter): void {
    router.process += 1;
    const { process } = router;
    const peers = {
      self: router.address,
      listRouters: () => [...listed].map(({ address, zone }) => ({ address, zone })),
      exchangeRoom: async (to, message) =>
        router.process === process
          ? callRouter(router, to, message)
          : { kind: 'failed', reason: 'killed' },
      setRoomHandler: (handle) => {
        router.handle = async (message) => handle(message);
      },
    } satisfies Partial<RouterPeers>;
    const directory = { getConfiguration: () => state.configuration };
    const capabilities = { peers, directory, wire: Kernel.createFakeWire() };
    const context = {
      process: { name: router.address, zone: router.zone, region: 'r' },
      clock: { ...clock, waitMs: waitWhilePaused.bind(undefined, router) },
      metrics: Kernel.createNoopMetrics(),
      logEvent: (event: EventDefinition, fields: unknown) => router.events.push({ event, fields }),
      nextRandom: () => 0.5,
      getCapability: (name: keyof typeof capabilities) => capabilities[name],
    } as unknown as Parameters<typeof RoomPlugin.createInstance>[0];
    router.instance = RoomPlugin.createInstance(context, { mode });
    router.room = router.instance.capabilities?.room as Room;
    router.room.setRepeatSource(() => router.repeats);
    router.isDown = false;
    listed.add(router);
    router.instance.start?.();
  }

  for (let index = 0; index < zones.length * perZone; index += 1) {
    const process = { events: [], isPaused: false, process: 0 };
    const repeats = { requests: 100, retries: 10, capacity: 20, isSettled: true };
    const zone = zones[Math.floor(index / perZone)];
    routers.push({ address: `10.0.0.${index}:70`, zone, repeats, ...process } as never);
  }
  routers.forEach(startProcess);

  function applyLoad({ router, organisation, level, demand, served }: Load): void {
    if (router.isDown || router.isPaused) return;
    const record = { service: SERVICE, organisation, level };
    const seconds = STEP_MS / 1_000;
    router.room.recordDemand({ ...record, work: demand * seconds });
    router.room.recordServed({ ...record, work: served * seconds });
  }

  return {
    clock,
    calls,
    loads,
    state,
    routers,
    setLinks(value: typeof isLinked) {
      isLinked = value;
    },
    setDelays(value: typeof delaysMs) {
      delaysMs = value;
    },
    /** Ends the process without a last report. */
    killRouter(router: VirtualRouter) {
      router.isDown = true;
      router.process += 1;
      router.instance.stop?.();
    },
    startProcess,
    async runFor(ms: number) {
      for (let leftMs = ms; leftMs > 0; leftMs -= STEP_MS) {
        loads.forEach(applyLoad);
        await clock.runFor(Math.min(STEP_MS, leftMs));
      }
    },
  };
}

export function listEvents(router: VirtualRouter): readonly string[] {
  return router.events.map(({ event }) => event.name);
}
