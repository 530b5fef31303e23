/**
 * Holds one zone-wide duty by a lease of the platform. The fencing number is the revision at which
 * the duty's key was created, so a later holder always has a higher one.
 */
import type { Clock, KeyValueEntry, KeyValueStore } from '@sequoiarill/types';

export interface LeaseKeeperOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly nextRandom: () => number;
  /** Key of the duty. */
  readonly key: string;
  /** Name of this process, for people. */
  readonly holder: string;
  readonly ttlSeconds: number;
}

export type ReservationOutcome =
  | { readonly kind: 'held'; readonly fence: number }
  | { readonly kind: 'taken'; readonly holder: string }
  | { readonly kind: 'unavailable'; readonly message: string };

export interface LeaseKeeper {
  /** Tries once to become the holder. */
  readonly reserveDuty: () => Promise<ReservationOutcome>;
  /** False as soon as the lease may have lapsed; ask before each act of the duty. */
  readonly isHolder: () => boolean;
  /** 0 while not the holder. */
  readonly getFence: () => number;
  /** Refreshes until the lease is lost or the signal is aborted. */
  readonly runRefreshes: (signal: AbortSignal) => Promise<void>;
  readonly releaseDuty: () => Promise<void>;
}

interface HeldLease {
  readonly leaseId: string;
  readonly fence: number;
}

const MS_PER_SECOND = 1_000;
/** Two refreshes may fail before the lease lapses. */
const REFRESHES_PER_TTL = 3;
/**
 * Part of the time to live that is not used: covers the drift of two monotonic clocks and the time
 * between asking `isHolder` and the act.
 */
const MARGIN_SHARE = 0.25;

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

export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
  const { store, clock, key, holder, ttlSeconds } = options;
  let held: HeldLease | undefined;
  let validUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * Failure: a process is paused past its lease and wakes believing that it still holds the duty.
   * The lease is counted from before the call was sent, thus from no later than the platform does,
   * on the monotonic clock that also runs while the process is stopped; so this turns false first.
   */
  function isHolder(): boolean {
    return held !== undefined && clock.getNowMs() < validUntilMs;
  }

  function updateValidity(sentMs: number, grantedSeconds: number): void {
    validUntilMs = sentMs + grantedSeconds * MS_PER_SECOND * (1 - MARGIN_SHARE);
  }

  function buildClaim(): Claim {
    const digits = Math.floor(options.nextRandom() * Number.MAX_SAFE_INTEGER).toString(36);
    return { claimId: `${holder}-${digits}`, holder };
  }

  /**
   * Failure: the answer to the write was lost. The claim's id in the key tells whether it took effect.
   * If it arrives only after this look, its lease is revoked or lapses, and with it the key.
   */
  async function findWrittenClaim(claim: Claim): Promise<number | undefined> {
    const range = await store.readKey(key);
    const entry = range.kind === 'range' ? range.entries[0] : undefined;
    return decodeClaim(entry).claimId === claim.claimId ? entry?.createRevision : undefined;
  }

  async function writeClaim(claim: Claim, leaseId: string): Promise<number | ReservationOutcome> {
    const outcome = await store.writeTransaction({
      comparisons: [{ key, revision: 0 }],
      writes: [{ key, value: JSON.stringify(claim), leaseId }],
    });
    if (outcome.kind === 'written') return outcome.revision;
    if (outcome.kind === 'conflict') {
      return { kind: 'taken', holder: decodeClaim(outcome.current[0]).holder };
    }
    const found = outcome.kind === 'unknown' ? await findWrittenClaim(claim) : undefined;
    return found ?? { kind: 'unavailable', message: outcome.message };
  }

  async function reserveWithLease(): Promise<ReservationOutcome> {
    const sentMs = clock.getNowMs();
    const granted = await store.grantLease(ttlSeconds);
    // A lost answer leaves a lease without a key; it lapses and hinders nobody.
    if (granted.kind !== 'granted') return { kind: 'unavailable', message: granted.message };
    const result = await writeClaim(buildClaim(), granted.leaseId);
    if (typeof result !== 'number') {
      await store.revokeLease(granted.leaseId);
      return result;
    }
    held = { leaseId: granted.leaseId, fence: result };
    updateValidity(sentMs, granted.ttlSeconds);
    return { kind: 'held', fence: result };
  }

  async function reserveDuty(): Promise<ReservationOutcome> {
    held = undefined;
    // A read first: while the duty is taken, the many that would like it cost no write.
    const range = await store.readKey(key);
    if (range.kind === 'unavailable') return { kind: 'unavailable', message: range.message };
    const [entry] = range.entries;
    if (entry !== undefined) return { kind: 'taken', holder: decodeClaim(entry).holder };
    return reserveWithLease();
  }

  async function updateLease(lease: HeldLease): Promise<void> {
    const sentMs = clock.getNowMs();
    const outcome = await store.refreshLease(lease.leaseId);
    // Stepping back is final: a lease that lapsed here stays lost even if the platform kept it.
    if (!isHolder() || outcome.kind === 'expired') held = undefined;
    else if (outcome.kind === 'granted') updateValidity(sentMs, outcome.ttlSeconds);
  }

  async function releaseDuty(): Promise<void> {
    const lease = held;
    held = undefined;
    if (lease !== undefined) await store.revokeLease(lease.leaseId);
  }

  return {
    reserveDuty,
    isHolder,
    getFence: () => (isHolder() ? (held?.fence ?? 0) : 0),
    async runRefreshes(signal) {
      const intervalMs = (ttlSeconds * MS_PER_SECOND) / REFRESHES_PER_TTL;
      while (!signal.aborted && isHolder()) {
        await clock.waitMs(intervalMs, signal);
        if (!signal.aborted && held !== undefined && isHolder()) await updateLease(held);
      }
    },
    releaseDuty,
  };
}
