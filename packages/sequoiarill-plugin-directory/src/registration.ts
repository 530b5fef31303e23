/** Writes this router's address into the store, so that others find it, while the router runs. */
import type { Clock, KeyValueStore, KeyWrite } from '@sequoiarill/types';

import * as RouterEntries from './routerEntry';
import type { RouterEntry } from './routerEntry';

export interface Predecessor {
  /** Whether an earlier process of this router has left an entry, or a record of its stop. */
  readonly isFound: boolean;
  /** What it left when it stopped as planned; undefined where it ended otherwise. */
  readonly stopRecord: string | undefined;
}

export interface RegistrationOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly key: string;
  /** Key of what a process that stops as planned leaves to the next one. */
  readonly stopKey: string;
  readonly buildStopRecord: () => string;
  readonly entry: RouterEntry;
  /** Era of the store that is known now. */
  readonly getEra: () => number;
  /** Called once the first entry is written. */
  readonly reportPredecessor: (predecessor: Predecessor) => void;
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
  const { store, clock, key, stopKey, entry, getEra, reportPredecessor } = options;
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

  /** Keys that an earlier process has left, in which case nothing was written; undefined without an answer. */
  async function writeFirst(write: KeyWrite): Promise<readonly string[] | undefined> {
    const comparisons = [key, stopKey].map((compared) => ({ key: compared, revision: 0 }));
    const outcome = await store.writeTransaction({ comparisons, writes: [write] });
    if (outcome.kind !== 'written' && outcome.kind !== 'conflict') return undefined;
    hasWritten = true;
    const left = outcome.kind === 'conflict' ? outcome.current : [];
    const keys = left.map((stored) => stored.key);
    const stopRecord = left.find((stored) => stored.key === stopKey)?.value;
    reportPredecessor({
      isFound: outcome.kind === 'conflict',
      stopRecord: keys.includes(key) ? undefined : stopRecord,
    });
    return outcome.kind === 'conflict' && keys.length === 0 ? [key] : keys;
  }

  /** Leaves a record in place of the entry: the next process of this router uses it instead of starting anew. */
  async function writeStopRecord(): Promise<boolean> {
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.kind !== 'granted') return false;
    const record = { key: stopKey, value: options.buildStopRecord(), leaseId: lease.leaseId };
    const outcome = await store.writeTransaction({ comparisons: [], writes: [{ key }, record] });
    return outcome.kind === 'written';
  }

  async function writeEntry(): Promise<boolean> {
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.kind !== 'granted') return false;
    const write = { key, value: RouterEntries.encodeRouter(entry), leaseId: lease.leaseId };
    const isFirst = !hasWritten;
    const found = isFirst ? await writeFirst(write) : [];
    if (found === undefined) return false;
    if (isFirst && found.length === 0) {
      leaseId = lease.leaseId;
      return true;
    }
    // A process that is killed later must not be taken for one that has stopped as planned.
    const removals = found.filter((entryKey) => entryKey === stopKey).map(() => ({ key: stopKey }));
    const outcome = await store.writeTransaction({ comparisons: [], writes: [write, ...removals] });
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
  if (leaseId !== undefined && !(await writeStopRecord())) await store.revokeLease(leaseId);
}
