/** Writes this router's address into the store, so that others find it, for as long as it lives. */
import type { Clock, KeyValueStore } from '@sequoiarill/types';

import * as RouterEntries from './routerEntry';
import type { RouterEntry } from './routerEntry';

export interface RegistrationOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly key: string;
  readonly entry: RouterEntry;
}

/** Long against an outage of seconds; an address that lingers costs others one failed call. */
const LEASE_SECONDS = 20;
/** Two refreshes may fail before the lease lapses; milliseconds. */
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
    const written = await store.writeTransaction({ comparisons: [], writes });
    if (written.kind !== 'written') return false;
    leaseId = lease.leaseId;
    return true;
  }

  async function updateLease(held: string): Promise<boolean> {
    const kept = await store.refreshLease(held);
    if (kept.kind === 'expired') leaseId = undefined;
    return kept.kind === 'granted';
  }

  while (!signal.aborted) {
    const isDone = leaseId === undefined ? await writeEntry() : await updateLease(leaseId);
    await clock.waitMs(isDone ? REFRESH_MS : RETRY_MS, signal);
  }
  if (leaseId !== undefined) await store.revokeLease(leaseId);
}
