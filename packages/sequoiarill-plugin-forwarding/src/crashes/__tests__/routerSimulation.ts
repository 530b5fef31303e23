/** Simulates, in virtual time, many routers that count crashes, with a partitionable network and one store. */
import * as Kernel from '@sequoiarill/kernel';
import type { CrashHandlers, KeyComparison, PartHandlers, StoredEntry } from '@sequoiarill/types';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as CrashGuards from '../crashGuard';
import type { CrashReports as Reports } from '../crashReports';
import type { PartReports } from '../partReports';

/** Duration of a call between routers, and delay until all routers know a change of the store. */
const CALL_MS = 2;
const STORE_DELAY_MS = 700;
const ZONES = 3;
/** Timeout of a call to a router that does not respond. */
const CALL_TIMEOUT_MS = 600;

/** What routers find out about targets by themselves, and from the directory. */
export type TargetProbes = Pick<
  CrashGuards.CrashGuardOptions,
  'checkExit' | 'readContact' | 'readIdentity'
> &
  Pick<CrashGuards.CrashGuardOptions['directory'], 'findCurrent'>;

export interface SimulatedRouter {
  readonly name: string;
  readonly zone: number;
  readonly reports: Reports;
  readonly parts: PartReports;
  readonly guard: CrashGuards.CrashGuard;
  readonly stop: () => void;
}

export interface RouterSimulation {
  readonly clock: Kernel.FakeClock;
  readonly routers: readonly SimulatedRouter[];
  /** Makes the store unavailable to all routers. */
  readonly setStoreUnavailable: (isUnavailable: boolean) => void;
  /** Isolates a zone from the other zones and from the store; undefined: none. */
  readonly isolateZone: (zone: number | undefined) => void;
  /** Removes all entries of the store. */
  readonly clearStore: () => void;
  readonly addRouter: () => SimulatedRouter;
  /** Replaces the answers of targets, which refuse all connections at first. */
  readonly setProbes: (probes: TargetProbes) => void;
  /** Routers apply what the directory lists now. */
  readonly applyDirectory: () => void;
  /** The router answers no calls any more; the others still list it. */
  readonly pauseRouter: (router: SimulatedRouter) => void;
  /** Ends a router without notice; the others still list it. */
  readonly killRouter: (router: SimulatedRouter) => void;
  readonly simulateCrash: (
    router: SimulatedRouter,
    content: string,
    target: string,
  ) => Promise<void>;
  readonly countCalls: () => number;
  readonly stop: () => void;
}

export function simulateRouters(count: number): RouterSimulation {
  const clock = Kernel.createFakeClock();
  const routers: SimulatedRouter[] = [];
  const handlers = new Map<string, CrashHandlers & PartHandlers>();
  const entries = new Map<string, StoredEntry>();
  let isStoreUnavailable = false;
  let isolatedZone: number | undefined;
  const paused = new Set<string>();
  let probes: TargetProbes = {
    checkExit: async () => 'ended',
    readContact: async () => 'answers',
    readIdentity: async () => undefined,
    findCurrent: (target) => Fakes.createTarget(target.id),
  };
  let revision = 0;
  let calls = 0;
  let lastRandom = 0;
  const nextRandom = () => {
    lastRandom = (lastRandom + 0.382) % 1;
    return lastRandom;
  };

  function findZone(name: string): number {
    return Number(name.split(':')[1]) % ZONES;
  }

  const canReachStore = (name: string) => !isStoreUnavailable && findZone(name) !== isolatedZone;

  async function callPeer(
    from: string,
    to: string,
  ): Promise<(CrashHandlers & PartHandlers) | undefined> {
    calls += 1;
    await clock.waitMs(paused.has(to) ? CALL_TIMEOUT_MS : CALL_MS);
    if (paused.has(to)) return undefined;
    const isDisconnected = (findZone(from) === isolatedZone) !== (findZone(to) === isolatedZone);
    return isDisconnected ? undefined : handlers.get(to);
  }

  async function applyStore(): Promise<void> {
    await clock.waitMs(STORE_DELAY_MS);
    routers
      .filter(({ name }) => canReachStore(name))
      .forEach(({ guard }) => guard.applyDirectory());
  }

  function listOthers(name: string): readonly string[] {
    const start = Math.floor(nextRandom() * routers.length);
    const others = [...routers.slice(start), ...routers.slice(0, start)];
    const names = others.map((router) => router.name).filter((other) => other !== name);
    const isNear = (other: string) => findZone(other) === findZone(name);
    return [...names.filter(isNear), ...names.filter((other) => !isNear(other))];
  }

  function addRouter(): SimulatedRouter {
    const name = `10.0.0.1:${routers.length}`;
    const stopController = new AbortController();
    const guard = CrashGuards.createCrashGuard({
      clock,
      nextRandom,
      wire: { ownPrefix: 'routers/' },
      checkOthers: async () => true,
      isBrittle: () => false,
      directory: {
        isUpToDate: () => canReachStore(name),
        listEntries: () => [...entries.values()],
        findCurrent: (target) => probes.findCurrent(target),
      },
      peers: {
        self: name,
        listRouters: () =>
          routers.map((router) => ({ address: router.name, zone: String(router.zone) })),
        listNearest: () => listOthers(name),
        async reportCrashes(peer, crashes) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'unreachable' };
          peerHandlers.handleCrashes(crashes);
          return { kind: 'counted' };
        },
        async reportAnswers(peer, answers) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'unreachable' };
          peerHandlers.handleAnswers(answers);
          return { kind: 'counted' };
        },
        async exchangeBlocks(peer, blocks) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'unreachable' };
          return { kind: 'blocks', blocks: peerHandlers.handleBlocks(blocks) };
        },
        async reportPartCrashes(peer, crashes) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'unreachable' };
          peerHandlers.handlePartCrashes(crashes);
          return { kind: 'counted' };
        },
        async reportPartAnswers(peer, answers) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'unreachable' };
          peerHandlers.handlePartAnswers(answers);
          return { kind: 'counted' };
        },
        async queryPart(peer, query) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'unreachable' };
          return { kind: 'findings', ...(await peerHandlers.handlePartQuery(query)) };
        },
        async exchangePartBlocks(peer, blocks) {
          const peerHandlers = await callPeer(name, peer);
          if (peerHandlers === undefined) return { kind: 'failed', reason: 'unreachable' };
          return { kind: 'blocks', blocks: peerHandlers.handlePartBlocks(blocks) };
        },
      },
      store: {
        grantLease: async () =>
          canReachStore(name)
            ? { kind: 'granted', leaseId: '1', ttlSeconds: 600 }
            : { kind: 'unavailable', message: 'unavailable' },
        async writeTransaction({ comparisons, writes }) {
          if (!canReachStore(name)) return { kind: 'unavailable', message: 'unavailable' };
          const hasChanged = ({ key, revision: expected }: KeyComparison) =>
            (entries.get(key)?.revision ?? 0) !== expected;
          if (comparisons.some(hasChanged)) return { kind: 'conflict', revision, current: [] };
          revision += 1;
          writes.forEach(({ key, value = '' }) => entries.set(key, { key, value, revision }));
          applyStore().catch(() => undefined);
          return { kind: 'written', revision };
        },
      },
      log: { logEvent: () => undefined },
      metrics: { addCount: () => undefined, recordTiming: () => undefined },
      checkExit: (target) => probes.checkExit(target),
      readContact: (target) => probes.readContact(target),
      readIdentity: (target) => probes.readIdentity(target),
      checkEnd: async () => 'ended',
      checkAnswer: async () => 'closed',
    });
    const { contents: reports, parts } = guard;
    handlers.set(name, { ...reports.handlers, ...parts.handlers });
    const zone = findZone(name);
    const router = { name, zone, reports, parts, guard, stop: () => stopController.abort() };
    routers.push(router);
    if (canReachStore(name)) guard.applyDirectory();
    guard.run(stopController.signal).catch(() => undefined);
    return router;
  }

  for (let index = 0; index < count; index += 1) addRouter();
  return {
    clock,
    routers,
    setStoreUnavailable(isUnavailable) {
      isStoreUnavailable = isUnavailable;
      if (!isUnavailable) applyStore().catch(() => undefined);
    },
    isolateZone(zone) {
      isolatedZone = zone;
      if (zone === undefined) applyStore().catch(() => undefined);
    },
    setProbes(next) {
      probes = next;
    },
    applyDirectory: () => routers.forEach(({ guard }) => guard.applyDirectory()),
    pauseRouter: ({ name }) => paused.add(name),
    clearStore: () => entries.clear(),
    addRouter,
    killRouter({ name, stop }) {
      handlers.delete(name);
      stop();
    },
    simulateCrash(router, content, target) {
      const request = { ...Fakes.createRequest(Fakes.createRoute()), contentKey: content };
      return router.guard.recordDisconnect({
        request,
        target: Fakes.createTarget(target),
        hasHead: true,
        ranMs: undefined,
      });
    },
    countCalls: () => calls,
    stop: () => routers.forEach((router) => router.stop()),
  };
}
