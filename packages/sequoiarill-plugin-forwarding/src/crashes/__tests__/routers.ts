/** Many routers in virtual time that count crashes, over links that can be cut and one store. */
import * as Kernel from '@sequoiarill/kernel';
import type { CrashHandlers, KeyComparison, StoredEntry } from '@sequoiarill/types';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as CrashReports from '../crashReports';
import type { CrashReports as Reports } from '../crashReports';

/** Time of a call between routers, and until a change of the store is known everywhere. */
const CALL_MS = 2;
const STORE_MS = 700;
const ZONES = 3;

export interface PlayedRouter {
  readonly name: string;
  readonly zone: number;
  readonly reports: Reports;
  readonly stop: () => void;
}

export interface PlayedRouters {
  readonly clock: Kernel.FakeClock;
  readonly routers: readonly PlayedRouter[];
  /** The store answers nobody. */
  readonly setStoreAway: (isAway: boolean) => void;
  /** The zone reaches neither the others nor the store. */
  readonly cutZone: (zone: number | undefined) => void;
  readonly addRouter: () => PlayedRouter;
  readonly crash: (router: PlayedRouter, content: string, target: string) => Promise<void>;
  readonly countCalls: () => number;
  readonly stop: () => void;
}

export function playRouters(count: number): PlayedRouters {
  const clock = Kernel.createFakeClock();
  const routers: PlayedRouter[] = [];
  const handlers = new Map<string, CrashHandlers>();
  const entries = new Map<string, StoredEntry>();
  let isStoreAway = false;
  let cutOff: number | undefined;
  let revision = 0;
  let calls = 0;
  let drawn = 0;
  const nextRandom = () => {
    drawn = (drawn + 0.382) % 1;
    return drawn;
  };

  function findZone(name: string): number {
    return Number(name.split(':')[1]) % ZONES;
  }

  const hasStore = (name: string) => !isStoreAway && findZone(name) !== cutOff;

  async function callPeer(from: string, to: string): Promise<CrashHandlers | undefined> {
    calls += 1;
    await clock.waitMs(CALL_MS);
    const isCut = (findZone(from) === cutOff) !== (findZone(to) === cutOff);
    return isCut ? undefined : handlers.get(to);
  }

  async function applyStore(): Promise<void> {
    await clock.waitMs(STORE_MS);
    routers.filter(({ name }) => hasStore(name)).forEach(({ reports }) => reports.applyDirectory());
  }

  function listOthers(name: string): readonly string[] {
    const start = Math.floor(nextRandom() * routers.length);
    const others = [...routers.slice(start), ...routers.slice(0, start)];
    const names = others.map((router) => router.name).filter((other) => other !== name);
    const isNear = (other: string) => findZone(other) === findZone(name);
    return [...names.filter(isNear), ...names.filter((other) => !isNear(other))];
  }

  function addRouter(): PlayedRouter {
    const name = `10.0.0.1:${routers.length}`;
    const stopping = new AbortController();
    const reports = CrashReports.createCrashReports({
      clock,
      nextRandom,
      wire: { ownPrefix: 'routers/' },
      directory: {
        isUpToDate: () => hasStore(name),
        listEntries: () => [...entries.values()],
      },
      peers: {
        self: name,
        listRouters: () =>
          routers.map((router) => ({ address: router.name, zone: String(router.zone) })),
        listNearest: () => listOthers(name),
        async reportCrashes(peer, crashes) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'cut off' };
          peerHandlers.handleCrashes(crashes);
          return { kind: 'counted' };
        },
        async reportAnswers(peer, answers) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'cut off' };
          peerHandlers.handleAnswers(answers);
          return { kind: 'counted' };
        },
        async exchangeBlocks(peer, blocks) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'cut off' };
          return { kind: 'blocks', blocks: peerHandlers.handleBlocks(blocks) };
        },
      },
      store: {
        grantLease: async () =>
          hasStore(name)
            ? { kind: 'granted', leaseId: '1', ttlSeconds: 600 }
            : { kind: 'unavailable', message: 'away' },
        async writeTransaction({ comparisons, writes }) {
          if (!hasStore(name)) return { kind: 'unavailable', message: 'away' };
          const isOther = ({ key, revision: asked }: KeyComparison) =>
            (entries.get(key)?.revision ?? 0) !== asked;
          if (comparisons.some(isOther)) return { kind: 'conflict', revision, current: [] };
          revision += 1;
          writes.forEach(({ key, value = '' }) => entries.set(key, { key, value, revision }));
          applyStore().catch(() => undefined);
          return { kind: 'written', revision };
        },
      },
      log: { logEvent: () => undefined },
      checkEnded: async () => 'ended',
    });
    handlers.set(name, reports.handlers);
    const zone = findZone(name);
    const router = { name, zone, reports, stop: () => stopping.abort() };
    routers.push(router);
    if (hasStore(name)) reports.applyDirectory();
    reports.run(stopping.signal).catch(() => undefined);
    return router;
  }

  for (let index = 0; index < count; index += 1) addRouter();
  return {
    clock,
    routers,
    setStoreAway(isAway) {
      isStoreAway = isAway;
      if (!isAway) applyStore().catch(() => undefined);
    },
    cutZone(zone) {
      cutOff = zone;
      if (zone === undefined) applyStore().catch(() => undefined);
    },
    addRouter,
    crash(router, content, target) {
      const request = { ...Fakes.createRequest(Fakes.createRoute()), contentKey: content };
      return router.reports.recordDisconnect(request, Fakes.createTarget(target));
    },
    countCalls: () => calls,
    stop: () => routers.forEach((router) => router.stop()),
  };
}
