/**
 * Leader election for one zone-wide role, by a lease in the key-value service. The fencing number
 * is the revision at which the key of the role was created, so a later leader always has a higher
 * one.
 */
import type { Clock, KeyValueEntry, KeyValueStore } from '@sequoiarill/types';

export interface LeaderElectionOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly nextRandom: () => number;
  /** Key of the role in the key-value service. */
  readonly key: string;
  /** Name of this process, for display only. */
  readonly holder: string;
  readonly ttlSeconds: number;
}

export type ElectionOutcome =
  | { readonly kind: 'held'; readonly fencingNumber: number }
  | { readonly kind: 'taken'; readonly holder: string }
  | { readonly kind: 'unavailable'; readonly message: string };

export interface LeaderElection {
  /** Makes one attempt to become the leader. */
  readonly acquireLeadership: () => Promise<ElectionOutcome>;
  /** False as soon as the lease may have expired. Check it before each action of the role. */
  readonly isLeader: () => boolean;
  /** 0 while this process is not the leader. */
  readonly getFencingNumber: () => number;
  /** Renews the lease until it is lost or the signal is aborted. */
  readonly runRenewals: (signal: AbortSignal) => Promise<void>;
  readonly releaseLeadership: () => Promise<void>;
}

interface LeaderLease {
  readonly leaseId: string;
  readonly fencingNumber: number;
}

const MS_PER_SECOND = 1_000;
/** With the safety margin below, the leadership survives one failed renewal, not two in a row. */
const RENEWALS_PER_TTL = 3;
/**
 * Share of the time to live that is left unused. It covers the drift between two monotonic clocks
 * and the time between a check of `isLeader` and the action that follows.
 */
const SAFETY_MARGIN_SHARE = 0.25;

interface Claim {
  readonly claimId: string;
  readonly holder: string;
}

function decodeClaim(entry: KeyValueEntry | undefined): Claim {
  try {
    return JSON.parse(entry?.value ?? '') as Claim;
  } catch {
    return { claimId: '', holder: 'unknown' };
  }
}

export function createLeaderElection(options: LeaderElectionOptions): LeaderElection {
  const { store, clock, key, holder, ttlSeconds } = options;
  let ownLease: LeaderLease | undefined;
  let validUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * Failure: a process is paused until its lease has expired, and still considers itself the leader
   * when it resumes. The validity is therefore counted from before the call was sent, which is no
   * later than the platform counts it, on a monotonic clock that also runs while the process is
   * paused. So this turns false before the platform grants the role to another process.
   */
  function isLeader(): boolean {
    return ownLease !== undefined && clock.getNowMs() < validUntilMs;
  }

  function updateValidity(sentMs: number, grantedSeconds: number): void {
    validUntilMs = sentMs + grantedSeconds * MS_PER_SECOND * (1 - SAFETY_MARGIN_SHARE);
  }

  function buildClaim(): Claim {
    const digits = Math.floor(options.nextRandom() * Number.MAX_SAFE_INTEGER).toString(36);
    return { claimId: `${holder}-${digits}`, holder };
  }

  /**
   * Failure: the response to the write was lost. The claim id in the key shows whether the write
   * took effect. If it takes effect only after this read, the key is removed when its lease is
   * revoked or expires.
   */
  async function findWrittenClaim(claim: Claim): Promise<number | undefined> {
    const range = await store.readKey(key);
    const entry = range.kind === 'range' ? range.entries[0] : undefined;
    return decodeClaim(entry).claimId === claim.claimId ? entry?.createRevision : undefined;
  }

  async function writeClaim(claim: Claim, leaseId: string): Promise<number | ElectionOutcome> {
    const outcome = await store.writeTransaction({
      comparisons: [{ key, revision: 0 }],
      writes: [{ key, value: JSON.stringify(claim), leaseId }],
    });
    if (outcome.kind === 'written') return outcome.revision;
    if (outcome.kind === 'conflict') {
      return { kind: 'taken', holder: decodeClaim(outcome.current[0]).holder };
    }
    const writtenRevision = outcome.kind === 'unknown' ? await findWrittenClaim(claim) : undefined;
    return writtenRevision ?? { kind: 'unavailable', message: outcome.message };
  }

  async function acquireWithLease(): Promise<ElectionOutcome> {
    const sentMs = clock.getNowMs();
    const granted = await store.grantLease(ttlSeconds);
    // If the response was lost, a lease without a key remains. It expires without blocking anyone.
    if (granted.kind !== 'granted') return { kind: 'unavailable', message: granted.message };
    const result = await writeClaim(buildClaim(), granted.leaseId);
    if (typeof result !== 'number') {
      await store.revokeLease(granted.leaseId);
      return result;
    }
    ownLease = { leaseId: granted.leaseId, fencingNumber: result };
    updateValidity(sentMs, granted.ttlSeconds);
    return { kind: 'held', fencingNumber: result };
  }

  async function acquireLeadership(): Promise<ElectionOutcome> {
    ownLease = undefined;
    // Reads first, so that other candidates cause no writes while the role is taken.
    const range = await store.readKey(key);
    if (range.kind === 'unavailable') return { kind: 'unavailable', message: range.message };
    const [entry] = range.entries;
    if (entry !== undefined) return { kind: 'taken', holder: decodeClaim(entry).holder };
    return acquireWithLease();
  }

  async function renewLease(lease: LeaderLease): Promise<void> {
    const sentMs = clock.getNowMs();
    const outcome = await store.refreshLease(lease.leaseId);
    // A lease that expired locally stays lost, even if the platform has still renewed it.
    if (!isLeader() || outcome.kind === 'expired') ownLease = undefined;
    else if (outcome.kind === 'granted') updateValidity(sentMs, outcome.ttlSeconds);
  }

  async function releaseLeadership(): Promise<void> {
    const lease = ownLease;
    ownLease = undefined;
    if (lease !== undefined) await store.revokeLease(lease.leaseId);
  }

  return {
    acquireLeadership,
    isLeader,
    getFencingNumber: () => (isLeader() ? (ownLease?.fencingNumber ?? 0) : 0),
    async runRenewals(signal) {
      const intervalMs = (ttlSeconds * MS_PER_SECOND) / RENEWALS_PER_TTL;
      while (!signal.aborted && isLeader()) {
        await clock.waitMs(intervalMs, signal);
        if (!signal.aborted && ownLease !== undefined && isLeader()) await renewLease(ownLease);
      }
    },
    releaseLeadership,
  };
}
