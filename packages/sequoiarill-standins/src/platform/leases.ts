/** Leases: they expire by the clock, and the keys under them go with them. */
import type { PlatformClock } from './settings';
import type { Store } from './store';

export interface Lease {
  readonly id: string;
  readonly grantedSeconds: number;
  readonly expiresAtMs: number;
}

export interface Leases {
  /** `undefined` when the id asked for is taken. */
  readonly addLease: (id: string, ttlSeconds: number) => Lease | undefined;
  readonly findLease: (id: string) => Lease | undefined;
  /** Starts its time anew; `undefined` when it has expired. */
  readonly updateLease: (id: string) => Lease | undefined;
  /** False when it does not exist. */
  readonly removeLease: (id: string) => boolean;
  readonly listLeases: () => readonly Lease[];
  readonly listKeys: (id: string) => readonly string[];
  readonly removeExpired: () => void;
}

const MS_PER_SECOND = 1_000;
/** Large, as the ids of the real service are, so that a client that parses them as numbers fails. */
const FIRST_ID = 7_587_870_000_000_000_001n;
const ALL_KEYS = { key: '', rangeEnd: '\0' };

export function createLeases(store: Store, clock: PlatformClock): Leases {
  const leases = new Map<string, Lease>();
  let nextId = FIRST_ID;

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
    const held = store.listRange(ALL_KEYS).filter((stored) => stored.leaseId === id);
    return held.map((stored) => stored.key);
  }

  function removeLease(id: string): boolean {
    if (!leases.delete(id)) return false;
    const held = listKeys(id);
    store.writeRevision((writer) => {
      for (const key of held) writer.removeRange({ key, rangeEnd: undefined });
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
