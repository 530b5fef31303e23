/** Leases for claims: one for many, so that a claim costs no call of its own. */
import type { Clock, KeyValueStore } from '@sequoiarill/types';

export interface LeaseBuckets {
  /** A lease that lasts for at least so many seconds; `undefined` while the platform is away. */
  readonly getLease: (seconds: number) => Promise<string | undefined>;
  /** Forgets the leases at hand, since one of them may be gone. */
  readonly removeLeases: () => void;
}

interface Bucket {
  readonly openedMs: number;
  readonly leaseId: Promise<string | undefined>;
}

/** A bucket takes claims for this share of its minimal life, and lives so much longer. */
const OPEN_SHARE = 0.25;
const MS_PER_SECOND = 1_000;

export function createLeaseBuckets(
  store: Pick<KeyValueStore, 'grantLease'>,
  clock: Clock,
): LeaseBuckets {
  const buckets = new Map<number, Bucket>();

  /** A lost answer leaves a lease that nothing uses and that ends by itself. */
  async function openLease(seconds: number): Promise<string | undefined> {
    const result = await store.grantLease(Math.ceil(seconds * (1 + OPEN_SHARE)));
    return result.kind === 'granted' ? result.leaseId : undefined;
  }

  function openBucket(seconds: number): Bucket {
    const bucket: Bucket = { openedMs: clock.getNowMs(), leaseId: openLease(seconds) };
    buckets.set(seconds, bucket);
    return bucket;
  }

  return {
    async getLease(seconds) {
      const known = buckets.get(seconds);
      const isOpen =
        known !== undefined &&
        clock.getNowMs() - known.openedMs < seconds * OPEN_SHARE * MS_PER_SECOND;
      const bucket = isOpen ? known : openBucket(seconds);
      const leaseId = await bucket.leaseId;
      if (leaseId === undefined && buckets.get(seconds) === bucket) buckets.delete(seconds);
      return leaseId;
    },
    removeLeases: () => buckets.clear(),
  };
}
