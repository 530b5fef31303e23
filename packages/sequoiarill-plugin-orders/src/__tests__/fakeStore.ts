/**
 * In-memory key-value service shared by several routers, with faults and delays set by the test.
 */
import type {
  Clock,
  KeyTransaction,
  KeyValueEntry,
  KeyValueStore,
  LeaseGranted,
} from '@sequoiarill/types';

/** `lostBefore` and `lostAfter`: the response is lost, without or with the effect of the write. */
export type Fault = 'none' | 'away' | 'lostBefore' | 'lostAfter';

type StoreClient = Pick<KeyValueStore, 'writeTransaction' | 'grantLease'>;
type WriteResult = Awaited<ReturnType<KeyValueStore['writeTransaction']>>;

export interface FakeStore {
  /** Creates the client of one router, with its own delays and faults. */
  readonly createClient: (waitDelay: () => Promise<void>, takeFault: () => Fault) => StoreClient;
  readonly listEntries: () => readonly KeyValueEntry[];
  /** Expires all leases that were granted for less than this time. */
  readonly expireLeases: (belowSeconds: number) => void;
  readonly getCallCount: () => number;
}

interface StoredEntry extends KeyValueEntry {
  readonly leaseId?: string;
}

export function createFakeStore(): FakeStore {
  const entries = new Map<string, StoredEntry>();
  const leaseSeconds = new Map<string, number>();
  let revision = 0;
  let callCount = 0;

  function applyTransaction({ comparisons, writes }: KeyTransaction): WriteResult {
    if (new Set(writes.map(({ key }) => key)).size !== writes.length) {
      return { kind: 'unavailable', message: 'duplicate key given in transaction' };
    }
    const isMatching = comparisons.every(
      (comparison) => (entries.get(comparison.key)?.revision ?? 0) === comparison.revision,
    );
    if (!isMatching) {
      const current = comparisons.flatMap(({ key }) => entries.get(key) ?? []);
      return { kind: 'conflict', revision, current };
    }
    revision += 1;
    for (const { key, value, leaseId } of writes) {
      const createRevision = entries.get(key)?.createRevision ?? revision;
      if (value === undefined) entries.delete(key);
      else {
        const base = { key, value, revision, createRevision };
        entries.set(key, leaseId === undefined ? base : { ...base, leaseId });
      }
    }
    return { kind: 'written', revision };
  }

  return {
    createClient: (waitDelay, takeFault) => ({
      async writeTransaction(transaction) {
        callCount += 1;
        const fault = takeFault();
        await waitDelay();
        if (fault === 'away') return { kind: 'unavailable', message: 'away' };
        if (fault === 'lostBefore') return { kind: 'unknown', message: 'lost' };
        const result = applyTransaction(transaction);
        await waitDelay();
        return fault === 'lostAfter' ? { kind: 'unknown', message: 'lost' } : result;
      },
      async grantLease(ttlSeconds) {
        callCount += 1;
        const fault = takeFault();
        await waitDelay();
        if (fault === 'away') return { kind: 'unavailable', message: 'away' };
        const leaseId = `lease-${leaseSeconds.size + 1}`;
        leaseSeconds.set(leaseId, ttlSeconds);
        const granted: LeaseGranted = { kind: 'granted', leaseId, ttlSeconds };
        return fault === 'none' ? granted : { kind: 'unknown', message: 'lost' };
      },
    }),
    listEntries: () => [...entries.values()],
    expireLeases(belowSeconds) {
      for (const [key, { leaseId }] of entries) {
        const seconds = leaseId === undefined ? Infinity : (leaseSeconds.get(leaseId) ?? 0);
        if (seconds < belowSeconds) entries.delete(key);
      }
    },
    getCallCount: () => callCount,
  };
}

/** A clock that only `advance` moves; every wait ends at once. */
export function createInstantClock(): Clock & { readonly advance: (ms: number) => void } {
  let nowMs = 0;
  return {
    getNowMs: () => nowMs,
    getRunningMs: () => nowMs,
    getLastDelay: () => undefined,
    getReadDelayMs: () => 0,
    getWallTime: () => '2026-01-01T00:00:00.000Z',
    waitMs: async () => undefined,
    advance(ms) {
      nowMs += ms;
    },
  };
}

/** Stands for the rest of the work of a router that has crashed. */
export async function waitForever(): Promise<never> {
  return new Promise<never>(() => {
    // Never settles.
  });
}
