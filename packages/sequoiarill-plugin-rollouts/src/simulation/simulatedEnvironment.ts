/** In-memory store, peers and targets for several simulated routers. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  Directory,
  ForwardingConfiguration,
  ForwardingTarget,
  ForwardingWire,
  GuidanceOutcome,
  KeyTransaction,
  KeyValueStore,
  RolloutGuidance,
  RolloutReport,
  RouterPeers,
  StoredEntry,
} from '@sequoiarill/types';

export const SERVICE = 'service';
export const ORDER_KEY = `rollouts/${SERVICE}`;
export const STATUS_KEY = `status/${SERVICE}`;
/** Delay until a router learns of a change in the store: one pause of the zone reader, one of a follower. */
const UPDATE_DELAY_MS = 700;
/** Timeout of calls to the store and to peers. */
const CALL_TIMEOUT_MS = 700;
const CALL_LATENCY_MS = 3;

export const WIRE: ForwardingWire = Kernel.createFakeWire({
  ownPrefix: 'own/',
  streamPrefix: 'streams/',
  decodeRolloutOrder(text) {
    const [toVersion = '', durationMs = ''] = text.split(' ');
    return {
      kind: 'order',
      order: { service: SERVICE, toVersion, durationMs: Number(durationMs) },
    };
  },
});

export interface RouterNode {
  readonly name: string;
  readonly zone: number;
  /** Aborted when the router stops. */
  readonly stopped: AbortSignal;
  readonly stop: () => void;
  readonly directory: Directory;
  readonly peers: RouterPeers;
  readonly store: Pick<KeyValueStore, 'writeTransaction'>;
}

export interface Environment {
  readonly clock: Kernel.FakeClock;
  readonly nodes: readonly RouterNode[];
  readonly setTargets: (targets: readonly ForwardingTarget[]) => void;
  readonly listTargets: () => readonly ForwardingTarget[];
  /** Writes as an operator: succeeds even while the store is unavailable to routers. */
  readonly writeKey: (key: string, value: string) => void;
  readonly getValue: (key: string) => string | undefined;
  /** Makes the store unavailable to all routers until the given time. */
  readonly setStoreUnavailable: (untilMs: number) => void;
  /** Until the given time the store applies writes, but its responses are lost. */
  readonly setResponsesLost: (untilMs: number) => void;
  /** Cuts the zone's routers off from the store and from other zones until the given time. */
  readonly setZoneIsolated: (zone: number, untilMs: number) => void;
}

export interface EnvironmentOptions {
  readonly routers: number;
  readonly hasStreams: boolean;
}

function createConfiguration(hasStreams: boolean): ForwardingConfiguration {
  const engine = { kvCacheTokens: 1, hasBackups: true, tokensPerEvent: 1, copyLifetimeMs: 4_000 };
  const service = { name: SERVICE, maxConnections: 1, healthPath: '/' };
  return {
    version: 1,
    routes: [],
    services: new Map([[SERVICE, hasStreams ? { ...service, engine } : service]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

interface DirectoryOptions extends Pick<Directory, 'isUpToDate' | 'recordEntry'> {
  readonly routers: number;
  readonly configuration: ForwardingConfiguration;
  readonly entries: ReadonlyMap<string, StoredEntry>;
  readonly listeners: Set<() => void>;
  readonly listTargets: () => readonly ForwardingTarget[];
}

function createDirectory(options: DirectoryOptions): Directory {
  const { routers, configuration, entries, listeners, listTargets } = options;
  return {
    getConfiguration: () => configuration,
    listTargets,
    findCurrent: (target) => listTargets().find(({ id }) => id === target.id),
    isUpToDate: options.isUpToDate,
    getConfirmedAgeMs: () => 0,
    verifySince: async () => options.isUpToDate(),
    recordReplacement: () => undefined,
    recordLeaving: () => undefined,
    countRouters: () => routers,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    listEntries: (prefix) => [...entries.values()].filter(({ key }) => key.startsWith(prefix)),
    recordEntry: options.recordEntry,
  };
}

/** Calls between routers that roll-outs do not use. */
const UNUSED_CALLS: Omit<RouterPeers, 'self' | 'listRouters' | 'sendReport' | 'setReportHandler'> =
  {
    hasPredecessor: () => false,
    getStopRecord: () => undefined,
    setStopRecord: () => undefined,
    listNearest: () => [],
    borrowRetryQuota: async () => ({ kind: 'granted', repeats: 0 }),
    setRetryQuotaLender: () => undefined,
    reportCrashes: async () => ({ kind: 'counted' }),
    reportAnswers: async () => ({ kind: 'counted' }),
    exchangeBlocks: async () => ({ kind: 'blocks', blocks: [] }),
    borrowPermits: async () => ({ kind: 'granted', granted: { permits: 0 } }),
    setPermitsLender: () => undefined,
    setCrashHandlers: () => undefined,
    registerSelf: () => undefined,
    reportBrittle: async () => ({ kind: 'counted' }),
    findContact: async () => ({ kind: 'failed', reason: 'unused' }),
    setContactHandler: () => undefined,
    setBrittleHandler: () => undefined,
    reportOrigins: async () => ({ kind: 'counted' }),
    findOrigin: async () => ({ kind: 'unknown' }),
    setOriginHandlers: () => undefined,
    setPartHandlers: () => undefined,
    reportPartCrashes: async () => ({ kind: 'counted' }),
    reportPartAnswers: async () => ({ kind: 'counted' }),
    queryPart: async () => ({
      kind: 'findings',
      answers: [],
      explainedTargets: [],
    }),
    exchangePartBlocks: async () => ({ kind: 'blocks', blocks: [] }),
    exchangeRoom: async () => ({ kind: 'facts', facts: [] }),
    setRoomHandler: () => undefined,
  };

export function createEnvironment({ routers, hasStreams }: EnvironmentOptions): Environment {
  const clock = Kernel.createFakeClock();
  const stored = new Map<string, StoredEntry>();
  const configuration = createConfiguration(hasStreams);
  let revision = 1;
  let targets: readonly ForwardingTarget[] = [];
  let unavailableUntilMs = 0;
  let lostUntilMs = 0;
  let isolatedZone: number | undefined;
  let isolatedUntilMs = 0;
  const entriesByRouter = new Map<string, Map<string, StoredEntry>>();
  const listeners = new Map<string, Set<() => void>>();
  const handlers = new Map<string, (report: RolloutReport) => RolloutGuidance>();
  const nodes: RouterNode[] = [];

  function isIsolated(node: RouterNode): boolean {
    return node.zone === isolatedZone && clock.getNowMs() < isolatedUntilMs;
  }

  function isStoreReachable(node: RouterNode): boolean {
    return !isIsolated(node) && clock.getNowMs() >= unavailableUntilMs;
  }

  function applyEntry(name: string, entry: StoredEntry): void {
    const entries = entriesByRouter.get(name);
    if (entries === undefined || (entries.get(entry.key)?.revision ?? 0) >= entry.revision) return;
    entries.set(entry.key, entry);
    listeners.get(name)?.forEach((listener) => listener());
  }

  async function sendUpdate(node: RouterNode, entry: StoredEntry): Promise<void> {
    do await clock.waitMs(UPDATE_DELAY_MS);
    while (!isStoreReachable(node) && !node.stopped.aborted);
    applyEntry(node.name, stored.get(entry.key) ?? entry);
  }

  function writeEntry(key: string, value: string): void {
    const entry = { key, value, revision };
    stored.set(key, entry);
    nodes.forEach((node) => {
      sendUpdate(node, entry).catch(() => undefined);
    });
  }

  function runTransaction({ comparisons, writes }: KeyTransaction): boolean {
    const isMet = comparisons.every((one) => (stored.get(one.key)?.revision ?? 0) === one.revision);
    if (!isMet) return false;
    revision += 1;
    writes.forEach(({ key, value = '' }) => writeEntry(key, value));
    return true;
  }

  async function callStore(node: RouterNode, transaction: KeyTransaction) {
    if (!isStoreReachable(node)) {
      await clock.waitMs(CALL_TIMEOUT_MS);
      return { kind: 'unavailable', message: 'no answer' } as const;
    }
    const isWritten = runTransaction(transaction);
    const written = revision;
    await clock.waitMs(CALL_LATENCY_MS);
    if (clock.getNowMs() < lostUntilMs) return { kind: 'unknown', message: 'lost' } as const;
    if (!isWritten) return { kind: 'conflict', revision: written, current: [] } as const;
    return { kind: 'written', revision: written } as const;
  }

  async function callPeer(
    node: RouterNode,
    peer: string,
    report: RolloutReport,
  ): Promise<GuidanceOutcome> {
    const other = nodes.find(({ name }) => name === peer);
    const isPartitioned = other !== undefined && isIsolated(node) !== isIsolated(other);
    const handler = handlers.get(peer);
    if (other === undefined || other.stopped.aborted || isPartitioned || handler === undefined) {
      await clock.waitMs(CALL_TIMEOUT_MS);
      return { kind: 'failed', reason: 'no answer' };
    }
    await clock.waitMs(CALL_LATENCY_MS);
    return { kind: 'guided', guidance: handler(report) };
  }

  function createNode(index: number): RouterNode {
    const name = `10.0.0.1:${index}`;
    const stopController = new AbortController();
    entriesByRouter.set(name, new Map());
    listeners.set(name, new Set());
    const node: RouterNode = {
      name,
      zone: index % 3,
      stopped: stopController.signal,
      stop: () => stopController.abort(),
      directory: createDirectory({
        routers,
        configuration,
        entries: entriesByRouter.get(name) ?? new Map<string, StoredEntry>(),
        listeners: listeners.get(name) ?? new Set(),
        listTargets: () => targets,
        isUpToDate: () => isStoreReachable(node),
        recordEntry: (entry) => applyEntry(name, entry),
      }),
      peers: {
        self: name,
        ...UNUSED_CALLS,
        listRouters: () =>
          nodes.map((other) => ({ address: other.name, zone: String(other.zone) })),
        sendReport: (peer, report) => callPeer(node, peer, report),
        setReportHandler: (handler) => handlers.set(name, handler),
      },
      store: { writeTransaction: (transaction) => callStore(node, transaction) },
    };
    return node;
  }

  for (let index = 0; index < routers; index += 1) nodes.push(createNode(index));
  return {
    clock,
    nodes,
    setTargets(next) {
      targets = next;
      listeners.forEach((ones) => ones.forEach((listener) => listener()));
    },
    listTargets: () => targets,
    writeKey(key, value) {
      revision += 1;
      writeEntry(key, value);
    },
    getValue: (key) => stored.get(key)?.value,
    setStoreUnavailable(untilMs) {
      unavailableUntilMs = untilMs;
    },
    setResponsesLost(untilMs) {
      lostUntilMs = untilMs;
    },
    setZoneIsolated(zone, untilMs) {
      isolatedZone = zone;
      isolatedUntilMs = untilMs;
    },
  };
}
