/**
 * In-memory key-value service with revisions, compare-and-swap, leases, watches and injectable
 * faults. Several stores can use one platform.
 */
import type {
  Clock,
  KeyChange,
  KeyTransaction,
  KeyValueEntry,
  KeyValueUnavailable,
  KeyValueUnknown,
  KeyWrite,
  WatchEvent,
} from '@sequoiarill/types';

import type { PlatformStore } from '../keyValueStore';

interface StoredEntry extends KeyValueEntry {
  readonly leaseId?: string;
}

interface Lease {
  readonly ttlSeconds: number;
  readonly expiresMs: number;
}

interface Watcher {
  readonly prefix: string;
  readonly events: WatchEvent[];
  notify: () => void;
}

/** Injected faults. A test can change them at any time. */
export interface Faults {
  isDown: boolean;
  /** Number of writes from now on that take effect while their responses are lost. */
  lostResponses: number;
  /** Watches stay open but deliver nothing. */
  isWatchSilent: boolean;
  latencyMs: number;
}

export interface FakePlatform {
  readonly faults: Faults;
  readonly createStore: () => PlatformStore;
  readonly write: (key: string, value: string) => number;
  readonly remove: (key: string) => number;
  readonly get: (key: string) => KeyValueEntry | undefined;
  readonly getRevision: () => number;
  /** Discards all past changes. Watches from an earlier revision end as compacted. */
  readonly compact: () => void;
  readonly closeWatches: () => void;
  /** Reverts to an older state, as when a backup is restored. */
  readonly restore: (revision: number, entries: readonly KeyValueEntry[]) => void;
  /** `prefix` counts full reads of a prefix, which are also included in `read`. */
  readonly getCalls: () => Readonly<Record<'read' | 'write' | 'watch' | 'prefix', number>>;
}

const MS_PER_SECOND = 1_000;
const OUTAGE: KeyValueUnavailable = { kind: 'unavailable', message: 'connection refused' };
const RESPONSE_LOST: KeyValueUnknown = { kind: 'unknown', message: 'connection reset' };

export function createFakePlatform(clock: Clock): FakePlatform {
  const faults: Faults = {
    isDown: false,
    lostResponses: 0,
    isWatchSilent: false,
    latencyMs: 0,
  };
  const entries = new Map<string, StoredEntry>();
  const leases = new Map<string, Lease>();
  const calls = { read: 0, write: 0, watch: 0, prefix: 0 };
  let log: KeyChange[] = [];
  let watchers: readonly Watcher[] = [];
  let revision = 1;
  let compacted = 0;
  let nextLease = 1;

  function sendChanges(changes: readonly KeyChange[]): void {
    log.push(...changes);
    if (faults.isWatchSilent) return;
    watchers.forEach((watcher) => {
      const seen = changes.filter((change) => change.key.startsWith(watcher.prefix));
      if (seen.length > 0) watcher.events.push({ kind: 'changes', revision, changes: seen });
      watcher.notify();
    });
  }

  function applyWrite(write: KeyWrite): KeyChange {
    const { key, value, leaseId } = write;
    if (value === undefined) {
      entries.delete(key);
      return { key, revision };
    }
    const createRevision = entries.get(key)?.createRevision ?? revision;
    const entry: StoredEntry = {
      key,
      value,
      revision,
      createRevision,
      ...(leaseId === undefined ? {} : { leaseId }),
    };
    entries.set(key, entry);
    return { key, entry, revision };
  }

  function applyWrites(writes: readonly KeyWrite[]): number {
    revision += 1;
    sendChanges(writes.map(applyWrite));
    return revision;
  }

  function removeLease(leaseId: string): void {
    leases.delete(leaseId);
    const keys = [...entries.values()].filter((entry) => entry.leaseId === leaseId);
    if (keys.length > 0) applyWrites(keys.map(({ key }) => ({ key })));
  }

  function removeExpiredLeases(): void {
    for (const [leaseId, lease] of leases) {
      if (lease.expiresMs <= clock.getNowMs()) removeLease(leaseId);
    }
  }

  /** Counts a call, waits for its latency and returns whether it succeeds. */
  async function startCall(kind: 'read' | 'write' | 'watch'): Promise<boolean> {
    calls[kind] += 1;
    if (faults.latencyMs > 0) await clock.waitMs(faults.latencyMs);
    else await Promise.resolve();
    removeExpiredLeases();
    return !faults.isDown;
  }

  function takeLostResponse(): boolean {
    if (faults.lostResponses === 0) return false;
    faults.lostResponses -= 1;
    return true;
  }

  function listEntries(filter: (entry: StoredEntry) => boolean): readonly KeyValueEntry[] {
    return [...entries.values()]
      .filter(filter)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  async function readRange(filter: (entry: StoredEntry) => boolean) {
    if (!(await startCall('read'))) return OUTAGE;
    return { kind: 'range', revision, entries: listEntries(filter) } as const;
  }

  async function writeTransaction({ comparisons, writes }: KeyTransaction) {
    if (!(await startCall('write'))) return OUTAGE;
    // The real service rejects a key whose lease no longer exists.
    if (writes.some(({ leaseId }) => leaseId !== undefined && !leases.has(leaseId))) return OUTAGE;
    const isEqual = comparisons.every(
      ({ key, revision: wanted }) => (entries.get(key)?.revision ?? 0) === wanted,
    );
    if (isEqual) applyWrites(writes);
    if (takeLostResponse()) return RESPONSE_LOST;
    if (isEqual) return { kind: 'written', revision } as const;
    const keys = new Set(comparisons.map(({ key }) => key));
    return {
      kind: 'conflict',
      revision,
      current: listEntries(({ key }) => keys.has(key)),
    } as const;
  }

  async function* watchPrefix(prefix: string, fromRevision: number, signal: AbortSignal) {
    if (!(await startCall('watch')) || signal.aborted) return;
    if (fromRevision <= compacted) {
      yield { kind: 'compacted', oldestRevision: compacted } as const;
      return;
    }
    const past = log.filter(
      (change) => change.key.startsWith(prefix) && change.revision >= fromRevision,
    );
    const watcher: Watcher = { prefix, events: [], notify: () => undefined };
    const last = past.at(-1);
    if (last !== undefined && !faults.isWatchSilent) {
      watcher.events.push({ kind: 'changes', revision: last.revision, changes: past });
    }
    watchers = [...watchers, watcher];
    signal.addEventListener('abort', () => watcher.notify(), { once: true });
    while (!signal.aborted && watchers.includes(watcher)) {
      const event = watcher.events.shift();
      if (event !== undefined) yield event;
      else {
        await new Promise<void>((resolve) => {
          watcher.notify = resolve;
        });
      }
    }
    watchers = watchers.filter((other) => other !== watcher);
  }

  async function grantLease(ttlSeconds: number) {
    if (!(await startCall('write'))) return OUTAGE;
    const leaseId = String(nextLease);
    nextLease += 1;
    leases.set(leaseId, { ttlSeconds, expiresMs: clock.getNowMs() + ttlSeconds * MS_PER_SECOND });
    return takeLostResponse() ? RESPONSE_LOST : ({ kind: 'granted', leaseId, ttlSeconds } as const);
  }

  async function renewLease(leaseId: string) {
    if (!(await startCall('write'))) return OUTAGE;
    const lease = leases.get(leaseId);
    if (lease === undefined) return { kind: 'expired' } as const;
    const { ttlSeconds } = lease;
    leases.set(leaseId, { ttlSeconds, expiresMs: clock.getNowMs() + ttlSeconds * MS_PER_SECOND });
    return takeLostResponse() ? OUTAGE : ({ kind: 'granted', leaseId, ttlSeconds } as const);
  }

  function closeWatches(): void {
    const closed = watchers;
    watchers = [];
    closed.forEach((watcher) => watcher.notify());
  }

  return {
    faults,
    createStore: () => ({
      async readPage(prefix, afterKey) {
        const range = await readRange(({ key }) => key.startsWith(prefix) && key > afterKey);
        return range.kind === 'range' ? { ...range, kind: 'page', hasMore: false } : range;
      },
      readPrefix(prefix) {
        calls.prefix += 1;
        return readRange(({ key }) => key.startsWith(prefix));
      },
      readKey: (wanted) => readRange(({ key }) => key === wanted),
      readChangedKeys: (prefix, after) =>
        readRange((entry) => entry.key.startsWith(prefix) && entry.revision > after),
      writeTransaction,
      grantLease,
      refreshLease: renewLease,
      async revokeLease(leaseId) {
        if (await startCall('write')) removeLease(leaseId);
      },
      watchPrefix,
      renewConnections: () => undefined,
    }),
    write: (key, value) => applyWrites([{ key, value }]),
    remove: (key) => applyWrites([{ key }]),
    get: (key) => entries.get(key),
    getRevision: () => revision,
    compact() {
      compacted = revision;
      log = [];
    },
    closeWatches,
    restore(olderRevision, restored) {
      entries.clear();
      restored.forEach((entry) => entries.set(entry.key, entry));
      log = [];
      revision = olderRevision;
      closeWatches();
    },
    getCalls: () => ({ ...calls }),
  };
}
