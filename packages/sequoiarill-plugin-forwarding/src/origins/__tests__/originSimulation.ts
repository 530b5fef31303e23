/** Routers that tell each other what began streams, in virtual time and without sockets. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  Directory,
  ForwardingTarget,
  KeyValueStore,
  OriginHandlers,
  OriginOutcome,
  RouterLocation,
  StoredEntry,
} from '@sequoiarill/types';

import * as Fakes from '../../__tests__/fakeDependencies';
import { CONFIGURATION } from '../../__tests__/fakeConfiguration';
import type { ForwardRequest } from '../../forwardRequest';
import * as BuildEntries from '../buildEntries';
import type { FoundOrigin } from '../originLookup';
import * as OriginMemories from '../originMemory';
import * as OriginReports from '../originReports';
import * as ServiceBuilds from '../serviceBuilds';
import * as StoredStreamReaders from '../storedStreamReader';
import * as StoredStreamWriters from '../storedStreamWriter';
import * as StreamOrigins from '../streamOrigins';

export interface SimulatedRouter {
  readonly address: string;
  readonly origins: StreamOrigins.StreamOrigins;
  /** Whether the router hears the store, or its last news of it are recent. */
  isUpToDate: boolean;
  /** What it knows of the targets since it does not hear the store; undefined while it does. */
  frozenTargets: readonly ForwardingTarget[] | undefined;
  /** Whether other routers reach it, and it them. */
  isReached: boolean;
}

export interface OriginSimulation {
  readonly clock: Kernel.FakeClock;
  readonly addRouter: (zone: string) => SimulatedRouter;
  /** The process of the router ends. */
  readonly removeRouter: (router: SimulatedRouter) => void;
  readonly setTargets: (targets: readonly ForwardingTarget[]) => void;
  /** Records in each report, in the order sent. */
  readonly reports: readonly number[];
  /** Values written to the store, in order. */
  readonly writes: readonly string[];
  /** Times at which routers stored what began their streams. */
  readonly streamWrites: readonly number[];
  /** Times at which routers read what others have stored. */
  readonly reads: readonly number[];
  /** What routers have stored of their streams, by key. */
  readonly storedStreams: Map<string, string>;
}

type StreamStore = Pick<
  KeyValueStore,
  'writeTransaction' | 'grantLease' | 'refreshLease' | 'readPrefix'
>;

const WIRE = Kernel.createFakeWire();
const HOP_MS = 2;
export const ROUTE = Fakes.createRoute();

/** A caller's attempt; with `resumes`, it goes on after the third event of another one. */
export function createAttempt(
  id: string,
  resumes?: string,
  change: Partial<ForwardRequest> = {},
): ForwardRequest {
  const request = { ...Fakes.createRequest(ROUTE), id, organisation: 'shop', ...change };
  return resumes === undefined
    ? request
    : { ...request, lastEventId: '3', resumedRequestId: resumes };
}

export function createSimulation(): OriginSimulation {
  const clock = Kernel.createFakeClock();
  const routers = new Map<string, SimulatedRouter>();
  const locations = new Map<string, RouterLocation>();
  const stops = new Map<string, AbortController>();
  const entries = new Map<string, StoredEntry>();
  const reports: number[] = [];
  const writes: string[] = [];
  const streamWrites: number[] = [];
  const reads: number[] = [];
  const listeners = new Set<() => void>();
  let targets: readonly ForwardingTarget[] = [];
  let count = 0;
  let revision = 0;

  const storedStreams = new Map<string, string>();
  const leaseEndsMs = new Map<string, number>();

  function removeLapsed(): void {
    for (const key of storedStreams.keys()) {
      const [, address = ''] = key.split('/');
      if ((leaseEndsMs.get(address) ?? 0) <= clock.getNowMs()) storedStreams.delete(key);
    }
  }

  function createRouterStore(
    address: string,
    router: Pick<SimulatedRouter, 'isUpToDate'>,
  ): StreamStore {
    const unavailable = { kind: 'unavailable', message: 'cut off' } as const;
    let ttlSeconds = 0;
    const renewLease = () => {
      if (!router.isUpToDate) return unavailable;
      leaseEndsMs.set(address, clock.getNowMs() + ttlSeconds * 1_000);
      return { kind: 'granted', leaseId: address, ttlSeconds } as const;
    };
    return {
      async grantLease(seconds) {
        ttlSeconds = seconds;
        return renewLease();
      },
      refreshLease: async () => renewLease(),
      async writeTransaction({ writes: changes }) {
        if (!router.isUpToDate) return unavailable;
        for (const { key, value } of changes) {
          if (value === undefined) storedStreams.delete(key);
          else storedStreams.set(key, value);
        }
        streamWrites.push(clock.getNowMs());
        return { kind: 'written', revision: 1 };
      },
      async readPrefix() {
        await clock.waitMs(HOP_MS);
        reads.push(clock.getNowMs());
        if (!router.isUpToDate) return unavailable;
        removeLapsed();
        const stored = [...storedStreams].map(([key, value]) => ({ key, value }));
        const found = stored.map((entry) => ({ ...entry, revision: 1, createRevision: 1 }));
        return { kind: 'range', revision: 1, entries: found };
      },
    };
  }

  const store: Pick<KeyValueStore, 'writeTransaction'> = {
    async writeTransaction({ comparisons, writes: [write] }) {
      const [{ key = '', revision: expected = 0 } = {}] = comparisons;
      if ((entries.get(key)?.revision ?? 0) !== expected) {
        return { kind: 'conflict', revision: 0, current: [] };
      }
      revision += 1;
      const value = write?.value ?? '';
      entries.set(key, { key, value, revision });
      writes.push(value);
      return { kind: 'written', revision };
    },
  };

  async function callHandlers<Outcome>(
    from: SimulatedRouter,
    to: string,
    call: (handlers: OriginHandlers) => Outcome | Promise<Outcome>,
  ): Promise<Outcome | Extract<OriginOutcome, { kind: 'failed' }>> {
    await clock.waitMs(HOP_MS);
    const router = routers.get(to);
    if (router === undefined) return { kind: 'failed', reason: 'gone' };
    const isReached = router.isReached && from.isReached;
    if (!isReached) return { kind: 'failed', reason: 'no response', isSilent: true };
    return call(router.origins.handlers);
  }

  function addRouter(zone: string): SimulatedRouter {
    count += 1;
    const address = `10.0.0.${count}:1`;
    const directory: Pick<
      Directory,
      | 'getConfiguration'
      | 'listTargets'
      | 'isUpToDate'
      | 'verifySince'
      | 'subscribe'
      | 'listEntries'
      | 'recordEntry'
    > = {
      getConfiguration: () => ({ ...CONFIGURATION, routes: [ROUTE] }),
      listTargets: (service) =>
        (router.frozenTargets ?? targets).filter((target) => target.service === service),
      isUpToDate: () => router.isUpToDate,
      async verifySince(_atMs, timeoutMs) {
        const isHeard = router.isUpToDate && router.frozenTargets === undefined;
        await clock.waitMs(isHeard ? HOP_MS : timeoutMs);
        return isHeard;
      },
      subscribe(listener) {
        listeners.add(listener);
        return () => listeners.delete(listener);
      },
      listEntries: (prefix) => [...entries.values()].filter(({ key }) => key.startsWith(prefix)),
      recordEntry: () => undefined,
    };
    const peers = {
      self: address,
      listRouters: () => [...locations.values()],
      reportOrigins: async (
        to: string,
        records: Parameters<OriginHandlers['handleOrigins']>[0],
      ) => {
        reports.push(records.length);
        return callHandlers(router, to, ({ handleOrigins }) => {
          handleOrigins(records);
          return { kind: 'counted' } as const;
        });
      },
      findOrigin: (to: string, query: Parameters<OriginHandlers['handleOriginQuery']>[0]) =>
        callHandlers<OriginOutcome>(router, to, ({ handleOriginQuery }) =>
          handleOriginQuery(query),
        ),
    };
    const links = { isUpToDate: true, isReached: true, frozenTargets: undefined };
    const routerStore = createRouterStore(address, links);
    const builds = ServiceBuilds.createServiceBuilds({
      clock,
      directory,
      peers,
      entries: BuildEntries.createBuildEntries({ wire: WIRE, directory, store }),
    });
    const router: SimulatedRouter = Object.assign(links, {
      address,
      origins: StreamOrigins.createStreamOrigins({
        clock,
        directory,
        peers,
        log: { logEvent: () => undefined },
        memory: OriginMemories.createOriginMemory(clock),
        reports: OriginReports.createOriginReports({ clock, peers, logFailure: () => undefined }),
        builds,
        storedStreams: StoredStreamReaders.createStoredStreamReader({
          clock,
          wire: WIRE,
          peers,
          store: routerStore,
        }),
        streamWriter: StoredStreamWriters.createStoredStreamWriter({
          clock,
          wire: WIRE,
          directory,
          peers,
          store: routerStore,
          nextRandom: () => 0.1 + count / 1_000,
          hasSeveralBuilds: (service) => builds.findOnlyOrigin([service]) === undefined,
        }),
      }),
    });
    routers.set(address, router);
    locations.set(address, { address, zone, registration: count });
    const stop = new AbortController();
    stops.set(address, stop);
    router.origins.run(stop.signal).catch(() => undefined);
    return router;
  }

  return {
    clock,
    addRouter,
    removeRouter(router) {
      const { address } = router;
      // A killed process writes nothing more.
      Object.assign(router, { isUpToDate: false });
      stops.get(address)?.abort();
      routers.delete(address);
    },
    setTargets(next) {
      targets = next;
      listeners.forEach((listener) => listener());
    },
    reports,
    writes,
    streamWrites,
    reads,
    storedStreams,
  };
}

export const V1 = { version: 'v1', models: 'm 1' };
export const V2 = { version: 'v2', models: 'm 1' };
export const OLD = ['a1', 'b1', 'c1'].map((id) => Fakes.createTarget(id, V1));
export const NEW = ['a2', 'b2', 'c2'].map((id) => Fakes.createTarget(id, V2));
/** Time after which reports have arrived and entries are written. */
export const SETTLE_MS = 600;

export async function startRouters(simulation: OriginSimulation, perZone: number) {
  const zones = Array.from({ length: perZone }, () => ['a', 'b', 'c']).flat();
  const routers = zones.map(simulation.addRouter);
  await simulation.clock.runFor(SETTLE_MS);
  return routers as [SimulatedRouter, SimulatedRouter, ...SimulatedRouter[]];
}

export async function findOrigin(
  { clock }: OriginSimulation,
  { origins }: SimulatedRouter,
  request: ForwardRequest,
  waitMs = 100,
): Promise<FoundOrigin | undefined> {
  let found: FoundOrigin | undefined;
  origins.find(request).then(
    (result) => {
      found = result;
    },
    () => undefined,
  );
  await clock.runFor(waitMs);
  return found;
}

export function getVersion(found: FoundOrigin | undefined): string | undefined {
  return found?.kind === 'found' ? found.origin.version : found?.kind;
}
