/**
 * Shares leases between claims, so that a claim needs no call to the platform for its own lease.
 */
import type { Clock, KeyValueStore } from '@sequoiarill/types';

export interface LeaseCache {
  /** A lease with at least this remaining time; `undefined` if the platform granted none. */
  readonly getLeaseId: (seconds: number) => Promise<string | undefined>;
  /** Clears the cache, since one of the leases may have expired. */
  readonly removeLeases: () => void;
}

interface CachedLease {
  readonly requestedMs: number;
  readonly leaseId: Promise<string | undefined>;
}

/**
 * A lease is reused for this share of the requested time, and granted for that much longer, so that
 * the last claim under it is still stored for the whole requested time.
 */
const REUSE_SHARE = 0.25;
const MS_PER_SECOND = 1_000;

export function createLeaseCache(
  store: Pick<KeyValueStore, 'grantLease'>,
  clock: Clock,
): LeaseCache {
  const leases = new Map<number, CachedLease>();

  /** If the response is lost, the granted lease stays unused and expires by itself. */
  async function acquireLease(seconds: number): Promise<string | undefined> {
    const result = await store.grantLease(Math.ceil(seconds * (1 + REUSE_SHARE)));
    return result.kind === 'granted' ? result.leaseId : undefined;
  }

  function addLease(seconds: number): CachedLease {
    const lease: CachedLease = { requestedMs: clock.getNowMs(), leaseId: acquireLease(seconds) };
    leases.set(seconds, lease);
    return lease;
  }

  return {
    async getLeaseId(seconds) {
      const existing = leases.get(seconds);
      const isReusable =
        existing !== undefined &&
        clock.getNowMs() - existing.requestedMs < seconds * REUSE_SHARE * MS_PER_SECOND;
      const lease = isReusable ? existing : addLease(seconds);
      const leaseId = await lease.leaseId;
      if (leaseId === undefined && leases.get(seconds) === lease) leases.delete(seconds);
      return leaseId;
    },
    removeLeases: () => leases.clear(),
  };
}
