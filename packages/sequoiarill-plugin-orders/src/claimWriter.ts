/** Writes how claimed orders ended, also when the platform is away for a while. */
import { setMaxListeners } from 'node:events';

import type { Clock, KeyTransaction } from '@sequoiarill/types';

import type { LeaseBuckets } from './claimLeases';
import * as Records from './claimRecords';
import type { ClaimPlace, ClaimRecord } from './claimRecords';
import type { TransactionBatcher } from './transactionBatches';

export interface ClaimWriter {
  /** Keeps a result; tried until it is kept, displaced or too many wait. */
  readonly writeResult: (place: ClaimPlace, record: ClaimRecord, revision: number) => void;
  /** Removes the claim of an order that was not sent; resolves after the first try. */
  readonly releaseClaim: (place: ClaimPlace, claimId: string, revision: number) => Promise<void>;
  /** Removes a claim that may or may not have been written, of an order that was not sent. */
  readonly removeUnsent: (place: ClaimPlace, claimId: string) => void;
  /** Whether this router knows that the order of the claim was never sent. */
  readonly isUnsent: (claimId: string) => boolean;
  /** The result of an order that is not kept yet. */
  readonly findPending: (place: ClaimPlace) => ClaimRecord | undefined;
  readonly getPendingCount: () => number;
  /** Resolves when nothing waits to be written. */
  readonly drain: () => Promise<void>;
  /** Stops trying. */
  readonly close: () => void;
}

export interface ClaimWriterOptions {
  readonly batcher: TransactionBatcher;
  readonly leases: LeaseBuckets;
  readonly clock: Clock;
  readonly claimSeconds: number;
  /** Told of each result that is given up. */
  readonly recordDropped: (record: ClaimRecord, reason: string) => void;
}

/** Between tries while the platform is away. */
const RETRY_MS = 1_000;
/** 16 MB of answers at most; orders of a few minutes of an outage. */
const MAX_PENDING = 1_024;
/** Ids only; more than the orders of a long outage. */
const MAX_UNSENT = 10_000;

export function createClaimWriter(options: ClaimWriterOptions): ClaimWriter {
  const { batcher, leases, clock } = options;
  const pending = new Map<string, ClaimRecord>();
  const unsent = new Set<string>();
  const tasks = new Set<Promise<void>>();
  const closing = new AbortController();
  // Every result that waits for the platform waits for it too.
  setMaxListeners(0, closing.signal);

  /** Runs until it says that it is done; waits between tries. */
  function startTask(runOnce: () => Promise<boolean>): void {
    async function runTask(): Promise<void> {
      while (!closing.signal.aborted && !(await runOnce())) {
        await clock.waitMs(RETRY_MS, closing.signal);
      }
    }
    const task = runTask();
    tasks.add(task);
    const removeTask = (): boolean => tasks.delete(task);
    task.then(removeTask, removeTask);
  }

  function addUnsent(claimId: string): void {
    unsent.add(claimId);
    const [oldest] = unsent;
    if (unsent.size > MAX_UNSENT && oldest !== undefined) unsent.delete(oldest);
  }

  /** The write replaces exactly the claim it belongs to, so it can be repeated safely. */
  async function writeOnce(
    place: ClaimPlace,
    record: ClaimRecord,
    revision: number,
  ): Promise<boolean> {
    const leaseId = await leases.getLease(options.claimSeconds);
    if (leaseId === undefined) return false;
    const value = Records.encodeRecord(record);
    const item: KeyTransaction = {
      comparisons: [{ key: place.claimKey, revision }],
      writes: [{ key: place.claimKey, value, leaseId }, { key: place.openKey }],
    };
    const result = await batcher.writeItem(item, false);
    if (result.kind === 'unavailable') leases.removeLeases();
    if (result.kind !== 'conflict') return result.kind === 'written';
    const entry = result.current.find(({ key }) => key === place.claimKey);
    const current = entry === undefined ? undefined : Records.decodeRecord(entry.value);
    const isKept = current?.claimId === record.claimId && current.state === record.state;
    if (!isKept) options.recordDropped(record, 'its claim is gone');
    return true;
  }

  /** `revision` 0 when it is not known whether the claim was written. */
  async function removeOnce(
    place: ClaimPlace,
    claimId: string,
    revision: number,
  ): Promise<boolean> {
    const item: KeyTransaction = {
      comparisons: [{ key: place.claimKey, revision }],
      writes: [{ key: place.claimKey }, { key: place.openKey }],
    };
    const result = await batcher.writeItem(item, true);
    if (result.kind === 'written') return true;
    if (result.kind !== 'conflict') return false;
    const entry = result.current.find(({ key }) => key === place.claimKey);
    const isOwn = entry !== undefined && Records.decodeRecord(entry.value)?.claimId === claimId;
    return isOwn ? removeOnce(place, claimId, entry.revision) : true;
  }

  return {
    writeResult(place, record, revision) {
      pending.set(place.claimKey, record);
      const [oldestKey, oldest] = [...pending.entries()][0] ?? [];
      if (pending.size > MAX_PENDING && oldestKey !== undefined && oldest !== undefined) {
        pending.delete(oldestKey);
        options.recordDropped(oldest, 'too many results wait for the platform');
      }
      startTask(async () => {
        if (pending.get(place.claimKey) !== record) return true;
        const isWritten = await writeOnce(place, record, revision);
        if (isWritten) pending.delete(place.claimKey);
        return isWritten;
      });
    },
    async releaseClaim(place, claimId, revision) {
      addUnsent(claimId);
      const isRemoved = await removeOnce(place, claimId, revision);
      if (!isRemoved) startTask(() => removeOnce(place, claimId, revision));
    },
    removeUnsent(place, claimId) {
      addUnsent(claimId);
      startTask(() => removeOnce(place, claimId, 0));
    },
    isUnsent: (claimId) => unsent.has(claimId),
    findPending: (place) => pending.get(place.claimKey),
    getPendingCount: () => pending.size,
    async drain() {
      while (tasks.size > 0) await Promise.all([...tasks]);
    },
    close: () => closing.abort(),
  };
}
