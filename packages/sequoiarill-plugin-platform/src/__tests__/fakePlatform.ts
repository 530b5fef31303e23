/**
 * A small key-value service in memory: revisions, compare-and-swap, leases and watches, with
 * switches for the faults that the real one shows. Several stores may use one platform.
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

interface Stored extends KeyValueEntry {
  readonly leaseId?: string;
}

interface Lease {
  readonly ttlSeconds: number;
  readonly expiresMs: number;
}

interface Watcher {
  readonly prefix: string;
  readonly events: WatchEvent[];
  wake: () => void;
}

/** What goes wrong with the calls; a test changes them while it runs. */
export interface Faults {
  isAway: boolean;
  /** Writes from now on take effect, and their answers are lost. */
  lostAnswers: number;
  /** Watches stay open and deliver nothing. */
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
  /** Forgets all changes up to now; watches from before it end with a gap. */
  readonly compact: () => void;
  readonly closeWatches: () => void;
  /** Goes back to an older state, as after a backup was restored. */
  readonly restore: (revision: number, entries: readonly KeyValueEntry[]) => void;
  /** `prefix` counts the reads of everything below a prefix, which are among the reads. */
  readonly getCalls: () => Readonly<Record<'read' | 'write' | 'watch' | 'prefix', number>>;
}

const MS_PER_SECOND = 1_000;
const AWAY: KeyValueUnavailable = { kind: 'unavailable', message: 'connection refused' };
const LOST: KeyValueUnknown = { kind: 'unknown', message: 'connection reset' };

export function createFakePlatform(clock: Clock): FakePlatform {
  const faults: Faults = { isAway: false, lostAnswers: 0, isWatchSilent: false, latencyMs: 0 };
  const entries = new Map<string, Stored>();
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
      watcher.wake();
    });
  }

  function applyWrite(write: KeyWrite): KeyChange {
    const { key, value, leaseId } = write;
    if (value === undefined) {
      entries.delete(key);
      return { key, revision };
    }
    const createRevision = entries.get(key)?.createRevision ?? revision;
    const entry: Stored = {
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

  function removeExpired(): void {
    for (const [leaseId, lease] of leases) {
      if (lease.expiresMs <= clock.getNowMs()) removeLease(leaseId);
    }
  }

  /** Counts a call, lets its time pass and tells whether it arrives. */
  async function startCall(kind: 'read' | 'write' | 'watch'): Promise<boolean> {
    calls[kind] += 1;
    if (faults.latencyMs > 0) await clock.waitMs(faults.latencyMs);
    else await Promise.resolve();
    removeExpired();
    return !faults.isAway;
  }

  function takeLoss(): boolean {
    if (faults.lostAnswers === 0) return false;
    faults.lostAnswers -= 1;
    return true;
  }

  function listEntries(filter: (entry: Stored) => boolean): readonly KeyValueEntry[] {
    return [...entries.values()]
      .filter(filter)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  async function readRange(filter: (entry: Stored) => boolean) {
    if (!(await startCall('read'))) return AWAY;
    return { kind: 'range', revision, entries: listEntries(filter) } as const;
  }

  async function writeTransaction({ comparisons, writes }: KeyTransaction) {
    if (!(await startCall('write'))) return AWAY;
    // The real service refuses a key under a lease that no longer exists.
    if (writes.some(({ leaseId }) => leaseId !== undefined && !leases.has(leaseId))) return AWAY;
    const isEqual = comparisons.every(
      ({ key, revision: wanted }) => (entries.get(key)?.revision ?? 0) === wanted,
    );
    if (isEqual) applyWrites(writes);
    if (takeLoss()) return LOST;
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
    const watcher: Watcher = { prefix, events: [], wake: () => undefined };
    const last = past.at(-1);
    if (last !== undefined && !faults.isWatchSilent) {
      watcher.events.push({ kind: 'changes', revision: last.revision, changes: past });
    }
    watchers = [...watchers, watcher];
    signal.addEventListener('abort', () => watcher.wake(), { once: true });
    while (!signal.aborted && watchers.includes(watcher)) {
      const event = watcher.events.shift();
      if (event !== undefined) yield event;
      else {
        await new Promise<void>((resolve) => {
          watcher.wake = resolve;
        });
      }
    }
    watchers = watchers.filter((other) => other !== watcher);
  }

  async function createLease(ttlSeconds: number) {
    if (!(await startCall('write'))) return AWAY;
    const leaseId = String(nextLease);
    nextLease += 1;
    leases.set(leaseId, { ttlSeconds, expiresMs: clock.getNowMs() + ttlSeconds * MS_PER_SECOND });
    return takeLoss() ? LOST : ({ kind: 'granted', leaseId, ttlSeconds } as const);
  }

  async function updateLease(leaseId: string) {
    if (!(await startCall('write'))) return AWAY;
    const lease = leases.get(leaseId);
    if (lease === undefined) return { kind: 'expired' } as const;
    const { ttlSeconds } = lease;
    leases.set(leaseId, { ttlSeconds, expiresMs: clock.getNowMs() + ttlSeconds * MS_PER_SECOND });
    return takeLoss() ? AWAY : ({ kind: 'granted', leaseId, ttlSeconds } as const);
  }

  function closeWatches(): void {
    const closed = watchers;
    watchers = [];
    closed.forEach((watcher) => watcher.wake());
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
      grantLease: createLease,
      refreshLease: updateLease,
      async revokeLease(leaseId) {
        if (await startCall('write')) removeLease(leaseId);
      },
      watchPrefix,
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
    restore(older, restored) {
      entries.clear();
      restored.forEach((entry) => entries.set(entry.key, entry));
      log = [];
      revision = older;
      closeWatches();
    },
    getCalls: () => ({ ...calls }),
  };
}
