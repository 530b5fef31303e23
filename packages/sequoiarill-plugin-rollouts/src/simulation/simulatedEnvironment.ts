/** A store, peers and targets in memory, as several routers meet them. */
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
/** Time until a router hears of a change, milliseconds: a reader's pause and a follower's. */
const NEWS_MS = 700;
/** A call that is not answered is given up, milliseconds. */
const CALL_MS = 700;
const PEER_MS = 3;

export const WIRE: ForwardingWire = Kernel.createFakeWire({
  ownPrefix: 'own/',
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
  /** Aborted when the router dies. */
  readonly died: AbortSignal;
  readonly kill: () => void;
  readonly directory: Directory;
  readonly peers: RouterPeers;
  readonly store: Pick<KeyValueStore, 'writeTransaction'>;
}

export interface World {
  readonly clock: Kernel.FakeClock;
  readonly nodes: readonly RouterNode[];
  readonly setTargets: (targets: readonly ForwardingTarget[]) => void;
  readonly listTargets: () => readonly ForwardingTarget[];
  /** As an operator, whom the store always answers. */
  readonly writeKey: (key: string, value: string) => void;
  readonly getValue: (key: string) => string | undefined;
  /** The store answers nobody until then. */
  readonly setStoreAway: (untilMs: number) => void;
  /** Writes are done and their answers lost until then. */
  readonly setAnswersLost: (untilMs: number) => void;
  readonly setZoneCut: (zone: number, untilMs: number) => void;
}

export interface WorldOptions {
  readonly routers: number;
  readonly canHandOver: boolean;
}

function createConfiguration(canHandOver: boolean): ForwardingConfiguration {
  const engine = { kvCacheTokens: 1, hasBackups: true, tokensPerEvent: 1, copyLifetimeMs: 4_000 };
  const service = { name: SERVICE, maxConnections: 1, healthPath: '/' };
  return {
    version: 1,
    routes: [],
    services: new Map([[SERVICE, canHandOver ? { ...service, engine } : service]]),
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
    recordReplacement: () => undefined,
    countRouters: () => routers,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    listEntries: (prefix) => [...entries.values()].filter(({ key }) => key.startsWith(prefix)),
    recordEntry: options.recordEntry,
  };
}

/** What routers ask of each other apart from roll-outs. */
const UNUSED_CALLS: Omit<RouterPeers, 'self' | 'listRouters' | 'sendReport' | 'setReportHandler'> =
  {
    listNearest: () => [],
    borrowRetryQuota: async () => ({ kind: 'lent', repeats: 0 }),
    setRetryQuotaLender: () => undefined,
    reportCrashes: async () => ({ kind: 'counted' }),
    reportAnswers: async () => ({ kind: 'counted' }),
    exchangeBlocks: async () => ({ kind: 'blocks', blocks: [] }),
    borrowPermits: async () => ({ kind: 'lent', lent: { permits: 0 } }),
    setPermitsLender: () => undefined,
    setCrashHandlers: () => undefined,
  };

export function createWorld({ routers, canHandOver }: WorldOptions): World {
  const clock = Kernel.createFakeClock();
  const items = new Map<string, StoredEntry>();
  const configuration = createConfiguration(canHandOver);
  let revision = 1;
  let targets: readonly ForwardingTarget[] = [];
  let awayUntilMs = 0;
  let lostUntilMs = 0;
  let cutZone: number | undefined;
  let cutUntilMs = 0;
  const known = new Map<string, Map<string, StoredEntry>>();
  const listeners = new Map<string, Set<() => void>>();
  const handlers = new Map<string, (report: RolloutReport) => RolloutGuidance>();
  const nodes: RouterNode[] = [];

  function isCutOff(node: RouterNode): boolean {
    return node.zone === cutZone && clock.getNowMs() < cutUntilMs;
  }

  function hasStore(node: RouterNode): boolean {
    return !isCutOff(node) && clock.getNowMs() >= awayUntilMs;
  }

  function applyEntry(name: string, entry: StoredEntry): void {
    const entries = known.get(name);
    if (entries === undefined || (entries.get(entry.key)?.revision ?? 0) >= entry.revision) return;
    entries.set(entry.key, entry);
    listeners.get(name)?.forEach((listener) => listener());
  }

  async function sendNews(node: RouterNode, entry: StoredEntry): Promise<void> {
    do await clock.waitMs(NEWS_MS);
    while (!hasStore(node) && !node.died.aborted);
    applyEntry(node.name, items.get(entry.key) ?? entry);
  }

  function writeItem(key: string, value: string): void {
    const entry = { key, value, revision };
    items.set(key, entry);
    nodes.forEach((node) => {
      sendNews(node, entry).catch(() => undefined);
    });
  }

  function runTransaction({ comparisons, writes }: KeyTransaction): boolean {
    const isMet = comparisons.every((one) => (items.get(one.key)?.revision ?? 0) === one.revision);
    if (!isMet) return false;
    revision += 1;
    writes.forEach(({ key, value = '' }) => writeItem(key, value));
    return true;
  }

  async function callStore(node: RouterNode, transaction: KeyTransaction) {
    if (!hasStore(node)) {
      await clock.waitMs(CALL_MS);
      return { kind: 'unavailable', message: 'no answer' } as const;
    }
    const isWritten = runTransaction(transaction);
    const written = revision;
    await clock.waitMs(PEER_MS);
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
    const isCut = other !== undefined && isCutOff(node) !== isCutOff(other);
    const handler = handlers.get(peer);
    if (other === undefined || other.died.aborted || isCut || handler === undefined) {
      await clock.waitMs(CALL_MS);
      return { kind: 'failed', reason: 'no answer' };
    }
    await clock.waitMs(PEER_MS);
    return { kind: 'guided', guidance: handler(report) };
  }

  function createNode(index: number): RouterNode {
    const name = `10.0.0.1:${index}`;
    const death = new AbortController();
    known.set(name, new Map());
    listeners.set(name, new Set());
    const node: RouterNode = {
      name,
      zone: index % 3,
      died: death.signal,
      kill: () => death.abort(),
      directory: createDirectory({
        routers,
        configuration,
        entries: known.get(name) ?? new Map<string, StoredEntry>(),
        listeners: listeners.get(name) ?? new Set(),
        listTargets: () => targets,
        isUpToDate: () => hasStore(node),
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
      writeItem(key, value);
    },
    getValue: (key) => items.get(key)?.value,
    setStoreAway(untilMs) {
      awayUntilMs = untilMs;
    },
    setAnswersLost(untilMs) {
      lostUntilMs = untilMs;
    },
    setZoneCut(zone, untilMs) {
      cutZone = zone;
      cutUntilMs = untilMs;
    },
  };
}
