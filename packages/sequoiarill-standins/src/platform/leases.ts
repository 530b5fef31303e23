/** Leases: they expire by the clock, and their attached keys are deleted with them. */
import type { PlatformClock } from './settings';
import type { Store } from './store';

export interface Lease {
  readonly id: string;
  readonly grantedSeconds: number;
  readonly expiresAtMs: number;
}

export interface Leases {
  /** Returns `undefined` if the requested id is already in use. */
  readonly addLease: (id: string, ttlSeconds: number) => Lease | undefined;
  readonly findLease: (id: string) => Lease | undefined;
  /**
   * Renews the lease for its granted time; returns `undefined` if it does not exist or has expired.
   */
  readonly updateLease: (id: string) => Lease | undefined;
  /** Returns false if the lease does not exist. */
  readonly removeLease: (id: string) => boolean;
  readonly listLeases: () => readonly Lease[];
  readonly listKeys: (id: string) => readonly string[];
  readonly removeExpired: () => void;
}

const MS_PER_SECOND = 1_000;
/**
 * Above 2^53, as the ids of the real service are, so that a client that parses ids as numbers
 * fails.
 */
const FIRST_LEASE_ID = 7_587_870_000_000_000_001n;
const ALL_KEYS = { key: '', rangeEnd: '\0' };

export function createLeases(store: Store, clock: PlatformClock): Leases {
  const leases = new Map<string, Lease>();
  let nextId = FIRST_LEASE_ID;

  function takeId(): string {
    const id = String(nextId);
    nextId += 1n;
    return id;
  }

  function setLease(id: string, grantedSeconds: number): Lease {
    const expiresAtMs = clock.getNowMs() + grantedSeconds * MS_PER_SECOND;
    const lease = { id, grantedSeconds, expiresAtMs };
    leases.set(id, lease);
    return lease;
  }

  function listKeys(id: string): readonly string[] {
    const attached = store.listRange(ALL_KEYS).filter((stored) => stored.leaseId === id);
    return attached.map((stored) => stored.key);
  }

  function removeLease(id: string): boolean {
    if (!leases.delete(id)) return false;
    const attachedKeys = listKeys(id);
    store.writeRevision((writer) => {
      for (const key of attachedKeys) writer.removeRange({ key, rangeEnd: undefined });
    });
    return true;
  }

  return {
    addLease(id, ttlSeconds) {
      const chosen = id === '0' ? takeId() : id;
      return leases.has(chosen) ? undefined : setLease(chosen, Math.max(1, ttlSeconds));
    },
    findLease: (id) => leases.get(id),
    updateLease(id) {
      const lease = leases.get(id);
      return lease === undefined ? undefined : setLease(id, lease.grantedSeconds);
    },
    removeLease,
    listLeases: () => [...leases.values()],
    listKeys,
    removeExpired() {
      const nowMs = clock.getNowMs();
      const expired = [...leases.values()].filter((lease) => lease.expiresAtMs <= nowMs);
      for (const lease of expired) removeLease(lease.id);
    },
  };
}
