/** Writes this router's address into the store, so that others find it, while the router runs. */
import type { Clock, KeyValueStore } from '@sequoiarill/types';

import * as RouterEntries from './routerEntry';
import type { RouterEntry } from './routerEntry';

export interface RegistrationOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly key: string;
  readonly entry: RouterEntry;
}

/**
 * Much longer than an outage of seconds; an outdated address costs other routers one failed call.
 */
const LEASE_SECONDS = 20;
/** Two renewals may fail before the lease expires. */
const REFRESH_MS = 6_000;
const RETRY_MS = 2_000;

export async function runRegistration(
  options: RegistrationOptions,
  signal: AbortSignal,
): Promise<void> {
  const { store, clock, key, entry } = options;
  let leaseId: string | undefined;

  async function writeEntry(): Promise<boolean> {
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.kind !== 'granted') return false;
    const writes = [{ key, value: RouterEntries.encodeRouter(entry), leaseId: lease.leaseId }];
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
    await clock.waitMs(hasSucceeded ? REFRESH_MS : RETRY_MS, signal);
  }
  if (leaseId !== undefined) await store.revokeLease(leaseId);
}
