/** Writes this router's address into the store, so that others find it, while the router runs. */
import type { Clock, KeyValueStore } from '@sequoiarill/types';

import * as RouterEntries from './routerEntry';
import type { RouterEntry } from './routerEntry';

export interface RegistrationOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly key: string;
  readonly entry: RouterEntry;
  /** Era of the store that is known now. */
  readonly getEra: () => number;
  /** Called once the first entry is written, with whether an earlier process of this router has left one. */
  readonly reportPredecessor: (hasPredecessor: boolean) => void;
}

/**
 * Much longer than an outage of seconds; an outdated address costs other routers one failed call.
 */
const LEASE_SECONDS = 20;
/** Two renewals may fail before the lease expires. */
const REFRESH_MS = 6_000;
const RETRY_MS = 2_000;
/** How often a wait checks whether the store was restored. */
const ERA_CHECK_MS = 400;

export async function runRegistration(
  options: RegistrationOptions,
  signal: AbortSignal,
): Promise<void> {
  const { store, clock, key, entry, getEra, reportPredecessor } = options;
  let leaseId: string | undefined;
  let hasWritten = false;

  /**
   * Failure: the store is restored from a copy that lacks the entry of this router or its lease, and gives
   * the id of the lease to another one. So the entry is written again, with a lease of the new era.
   */
  async function waitUntilDue(ms: number): Promise<void> {
    const era = getEra();
    const untilMs = clock.getNowMs() + ms;
    while (!signal.aborted && getEra() === era && clock.getNowMs() < untilMs) {
      await clock.waitMs(Math.min(ERA_CHECK_MS, untilMs - clock.getNowMs()), signal);
    }
    if (getEra() !== era) leaseId = undefined;
  }

  async function writeEntry(): Promise<boolean> {
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.kind !== 'granted') return false;
    const writes = [{ key, value: RouterEntries.encodeRouter(entry), leaseId: lease.leaseId }];
    if (!hasWritten) {
      const comparisons = [{ key, revision: 0 }];
      const first = await store.writeTransaction({ comparisons, writes });
      if (first.kind !== 'written' && first.kind !== 'conflict') return false;
      hasWritten = true;
      reportPredecessor(first.kind === 'conflict');
      if (first.kind === 'written') {
        leaseId = lease.leaseId;
        return true;
      }
    }
    const outcome = await store.writeTransaction({ comparisons: [], writes });
    if (outcome.kind !== 'written') return false;
    leaseId = lease.leaseId;
    return true;
  }

  async function renewLease(currentLeaseId: string): Promise<boolean> {
    const refreshed = await store.refreshLease(currentLeaseId);
    if (refreshed.kind === 'expired') leaseId = undefined;
    return refreshed.kind === 'granted';
  }

  while (!signal.aborted) {
    const hasSucceeded = leaseId === undefined ? await writeEntry() : await renewLease(leaseId);
    // An idle connection that turned silent would take each further try as well.
    if (!hasSucceeded) store.renewConnections();
    await waitUntilDue(hasSucceeded ? REFRESH_MS : RETRY_MS);
  }
  if (leaseId !== undefined) await store.revokeLease(leaseId);
}
