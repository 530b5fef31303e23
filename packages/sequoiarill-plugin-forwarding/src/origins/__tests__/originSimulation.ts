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
import * as OriginMemories from '../originMemory';
import * as OriginReports from '../originReports';
import * as ServiceBuilds from '../serviceBuilds';
import * as StreamOrigins from '../streamOrigins';

export interface SimulatedRouter {
  readonly address: string;
  readonly origins: StreamOrigins.StreamOrigins;
  /** Whether the router hears the store. */
  isUpToDate: boolean;
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
}

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
  let targets: readonly ForwardingTarget[] = [];
  let count = 0;
  let revision = 0;

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
    call: (handlers: OriginHandlers) => Outcome,
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
      'getConfiguration' | 'listTargets' | 'isUpToDate' | 'listEntries' | 'recordEntry'
    > = {
      getConfiguration: () => ({ ...CONFIGURATION, routes: [ROUTE] }),
      listTargets: (service) => targets.filter((target) => target.service === service),
      isUpToDate: () => router.isUpToDate,
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
    const router: SimulatedRouter = {
      address,
      isUpToDate: true,
      isReached: true,
      origins: StreamOrigins.createStreamOrigins({
        clock,
        directory,
        peers,
        log: { logEvent: () => undefined },
        memory: OriginMemories.createOriginMemory(clock),
        reports: OriginReports.createOriginReports({ clock, peers, logFailure: () => undefined }),
        builds: ServiceBuilds.createServiceBuilds({
          clock,
          directory,
          peers,
          entries: BuildEntries.createBuildEntries({ wire: WIRE, directory, store }),
        }),
      }),
    };
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
    removeRouter({ address }) {
      stops.get(address)?.abort();
      routers.delete(address);
    },
    setTargets(next) {
      targets = next;
    },
    reports,
    writes,
  };
}
