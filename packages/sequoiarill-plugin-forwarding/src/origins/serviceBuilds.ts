/**
 * Knows which builds of each service may have begun streams that callers still resume.
 *
 * While there is one, nothing has to be remembered of a stream. A router that has just started does not know which
 * builds served before, so the builds stand in the store: one write when a build appears, and one when it
 * has been gone for as long as streams last.
 */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Clock,
  Directory,
  ForwardingRoute,
  RouterPeers,
  StreamOrigin,
  TargetBuild,
} from '@sequoiarill/types';

import type { BuildEntries } from './buildEntries';

export type OnlyOrigin =
  | { readonly kind: 'only'; readonly origin: StreamOrigin }
  /** More than one build, or none that is known. */
  | { readonly kind: 'uncertain' }
  /** The store has not answered in time. */
  | { readonly kind: 'unverified' };

export interface ServiceBuilds {
  /** The only build that can have begun a stream of one of the services; undefined unless it is certain. */
  readonly findOnlyOrigin: (services: readonly string[]) => StreamOrigin | undefined;
  /**
   * The only build that can have begun a stream of one of the services before a time, in monotonic milliseconds. What other
   * routers have begun by then, they have learned from the store by then, so the store is asked for all of it.
   */
  readonly verifyOnlyOrigin: (
    services: readonly string[],
    sinceMs: number,
    timeoutMs: number,
  ) => Promise<OnlyOrigin>;
  /** A stream of this build has begun. */
  readonly recordBegun: (origin: StreamOrigin) => void;
  /** Must be called regularly: brings the entries of the store in line, if that is this router's turn. */
  readonly update: () => Promise<void>;
  readonly dumpState: () => readonly Readonly<{ service: string; versions: readonly string[] }>[];
}

export interface ServiceBuildsOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly directory: Pick<
    Directory,
    'getConfiguration' | 'listTargets' | 'isUpToDate' | 'verifySince' | 'subscribe'
  >;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  readonly entries: BuildEntries;
}

/** A stream may be resumed for a moment after the time limit of its route. */
const RESUME_MARGIN_MS = 5_000;
/** Builds are counted anew at most this often; targets of a large service change all the time. */
const COUNT_INTERVAL_MS = 100;
/** Delay after which the next router in rank writes what the one before has not written. */
const WRITE_TURN_MS = 1_000;
/** Routers that write entries of a service. */
const MAX_WRITERS = 5;

/** Time for which a stream of the route may be resumed after its first event, milliseconds. */
export function computeResumableMs({ timeoutMs }: Pick<ForwardingRoute, 'timeoutMs'>): number {
  return timeoutMs + RESUME_MARGIN_MS;
}

interface SeenBuild extends TargetBuild {
  lastSeenAtMs: number;
}

interface ServiceState {
  readonly builds: Map<string, SeenBuild>;
  /** Builds that were gone for long enough, and whose entry in the store has yet to go. */
  readonly expired: Set<string>;
  countedAtMs: number;
  /** Changes of the directory by then. */
  countedChanges: number;
  /** Since when the entry of the store differs from what should stand there; undefined while it does not. */
  differsSinceMs: number | undefined;
  isWriting: boolean;
}

function formatBuild({ version, models }: TargetBuild): string {
  return JSON.stringify([version, models]);
}

export function createServiceBuilds(options: ServiceBuildsOptions): ServiceBuilds {
  const { clock, directory, peers, entries } = options;
  const states = new Map<string, ServiceState>();
  let changes = 0;
  directory.subscribe(() => {
    changes += 1;
  });

  function getState(service: string): ServiceState {
    const existing = states.get(service);
    if (existing !== undefined) return existing;
    const state: ServiceState = {
      builds: new Map(),
      expired: new Set(),
      countedAtMs: Number.NEGATIVE_INFINITY,
      countedChanges: 0,
      differsSinceMs: undefined,
      isWriting: false,
    };
    states.set(service, state);
    return state;
  }

  function listStreamRoutes(): readonly ForwardingRoute[] {
    return directory.getConfiguration()?.routes.filter(({ isStream }) => isStream) ?? [];
  }

  function computeKeepMs(service: string): number {
    const routes = listStreamRoutes().filter(({ shares }) =>
      shares.some((share) => share.service === service),
    );
    return Math.max(RESUME_MARGIN_MS, ...routes.map(computeResumableMs));
  }

  function recordSeen({ builds, expired }: ServiceState, build: TargetBuild): void {
    const key = formatBuild(build);
    expired.delete(key);
    const seen = builds.get(key);
    if (seen !== undefined) seen.lastSeenAtMs = clock.getNowMs();
    else {
      const { version, models } = build;
      builds.set(key, { version, models, lastSeenAtMs: clock.getNowMs() });
    }
  }

  function removeExpired({ builds, expired }: ServiceState, keepMs: number): void {
    for (const [key, { lastSeenAtMs }] of builds) {
      if (clock.getNowMs() - lastSeenAtMs > keepMs) {
        builds.delete(key);
        expired.add(key);
      }
    }
  }

  /** Counts the builds of the targets, and those of the store that were not seen here. */
  function countBuilds(service: string, state: ServiceState, isExact: boolean): void {
    const nowMs = clock.getNowMs();
    const isOutdated = isExact && state.countedChanges !== changes;
    if (!isOutdated && nowMs - state.countedAtMs < COUNT_INTERVAL_MS) return;
    state.countedAtMs = nowMs;
    state.countedChanges = changes;
    for (const target of directory.listTargets(service)) {
      recordSeen(state, Decisions.getBuild(target));
    }
    const stored = new Map(entries.list(service).map((build) => [formatBuild(build), build]));
    for (const [key, build] of stored) {
      if (!state.builds.has(key) && !state.expired.has(key)) recordSeen(state, build);
    }
    removeExpired(state, computeKeepMs(service));
    for (const key of state.expired) if (!stored.has(key)) state.expired.delete(key);
  }

  /** `isExact`: with all that the directory knows now, instead of some time ago. */
  function listOrigins(service: string, isExact = false): readonly StreamOrigin[] {
    const state = getState(service);
    countBuilds(service, state, isExact);
    return [...state.builds.values()].map(({ version, models }) => ({ service, version, models }));
  }

  function findWriterIndex(service: string): number {
    const addresses = peers.listRouters().map(({ address }) => address);
    const index = Decisions.sortByRank(addresses, service).indexOf(peers.self);
    return index >= 0 && index < MAX_WRITERS ? index : Number.POSITIVE_INFINITY;
  }

  async function updateEntry(service: string): Promise<void> {
    const state = getState(service);
    // A build that nobody knows is no reason to write; it gets one, or its target ends.
    const wanted = listOrigins(service).filter(({ version }) => version !== '');
    const stored = new Set(entries.list(service).map(formatBuild));
    const isSame =
      wanted.length === stored.size && wanted.every((build) => stored.has(formatBuild(build)));
    if (isSame || wanted.length === 0) state.differsSinceMs = undefined;
    if (isSame || wanted.length === 0 || state.isWriting) return;
    const nowMs = clock.getNowMs();
    state.differsSinceMs ??= nowMs;
    const turnAtMs = state.differsSinceMs + findWriterIndex(service) * WRITE_TURN_MS;
    if (nowMs < turnAtMs || !directory.isUpToDate()) return;
    state.isWriting = true;
    try {
      await entries.write(
        service,
        wanted.map(({ version, models }) => ({ version, models })),
      );
    } finally {
      state.isWriting = false;
    }
  }

  function findSingle(origins: readonly StreamOrigin[]): StreamOrigin | undefined {
    const [only, ...others] = origins;
    return only === undefined || only.version === '' || others.length > 0 ? undefined : only;
  }

  return {
    findOnlyOrigin(services) {
      // Without news of the store, targets of another build may have begun streams elsewhere.
      if (!directory.isUpToDate()) return undefined;
      return findSingle(services.flatMap((service) => listOrigins(service)));
    },
    async verifyOnlyOrigin(services, sinceMs, timeoutMs) {
      if (services.flatMap((service) => listOrigins(service)).length > 1) {
        return { kind: 'uncertain' };
      }
      if (!(await directory.verifySince(sinceMs, timeoutMs))) return { kind: 'unverified' };
      const origin = findSingle(services.flatMap((service) => listOrigins(service, true)));
      return origin === undefined ? { kind: 'uncertain' } : { kind: 'only', origin };
    },
    recordBegun({ service, version, models }) {
      recordSeen(getState(service), { version, models });
    },
    async update() {
      const services = new Set(
        listStreamRoutes().flatMap(({ shares }) => shares.map(({ service }) => service)),
      );
      await Promise.all([...services].map(updateEntry));
    },
    dumpState: () =>
      [...states].map(([service, { builds }]) => ({
        service,
        versions: [...builds.values()].map(({ version }) => version),
      })),
  };
}
