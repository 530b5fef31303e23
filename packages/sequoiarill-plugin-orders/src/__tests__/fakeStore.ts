/** The platform's key-value service as one shared map, with faults and delays chosen by the test. */
import type {
  Clock,
  KeyTransaction,
  KeyValueEntry,
  KeyValueStore,
  LeaseGranted,
} from '@sequoiarill/types';

/** `lostBefore` and `lostAfter`: the answer is lost, without or with the effect. */
export type Fault = 'none' | 'away' | 'lostBefore' | 'lostAfter';

type ClaimStore = Pick<KeyValueStore, 'writeTransaction' | 'grantLease'>;
type WriteResult = Awaited<ReturnType<KeyValueStore['writeTransaction']>>;

export interface FakeStore {
  /** One router's way to the store. */
  readonly openStore: (delay: () => Promise<void>, nextFault: () => Fault) => ClaimStore;
  readonly listEntries: () => readonly KeyValueEntry[];
  /** Ends all leases whose length is below the given seconds. */
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
  let calls = 0;

  function applyTransaction({ comparisons, writes }: KeyTransaction): WriteResult {
    if (new Set(writes.map(({ key }) => key)).size !== writes.length) {
      return { kind: 'unavailable', message: 'duplicate key given in transaction' };
    }
    const isHeld = comparisons.every(
      (one) => (entries.get(one.key)?.revision ?? 0) === one.revision,
    );
    if (!isHeld) {
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
    openStore: (delay, nextFault) => ({
      async writeTransaction(transaction) {
        calls += 1;
        const fault = nextFault();
        await delay();
        if (fault === 'away') return { kind: 'unavailable', message: 'away' };
        if (fault === 'lostBefore') return { kind: 'unknown', message: 'lost' };
        const result = applyTransaction(transaction);
        await delay();
        return fault === 'lostAfter' ? { kind: 'unknown', message: 'lost' } : result;
      },
      async grantLease(ttlSeconds) {
        calls += 1;
        const fault = nextFault();
        await delay();
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
    getCallCount: () => calls,
  };
}

/** A clock that a test moves; waits end when it says so or at once when aborted. */
export function createInstantClock(): Clock & { readonly advance: (ms: number) => void } {
  let nowMs = 0;
  return {
    getNowMs: () => nowMs,
    getRunningMs: () => nowMs,
    getWallTime: () => '2026-01-01T00:00:00.000Z',
    waitMs: async () => undefined,
    advance(ms) {
      nowMs += ms;
    },
  };
}

/** What a dead router waits for. */
export async function waitForever(): Promise<never> {
  return new Promise<never>(() => {
    // Never settles.
  });
}
