/** Writes the results of claimed orders, with retries while the platform is unavailable. */
import { setMaxListeners } from 'node:events';

import type { Clock, KeyTransaction } from '@sequoiarill/types';

import type { LeaseCache } from './claimLeases';
import * as Records from './claimRecords';
import type { ClaimKeys, ClaimRecord } from './claimRecords';
import type { TransactionBatcher } from './transactionBatches';

export interface ClaimWriter {
  /**
   * Stores a result in the background. Retries until it is written, its claim no longer exists, or
   * too many results are pending.
   */
  readonly writeResult: (claimKeys: ClaimKeys, record: ClaimRecord, revision: number) => void;
  /** Removes the claim of an order that was not sent; resolves after the first attempt. */
  readonly releaseClaim: (claimKeys: ClaimKeys, claimId: string, revision: number) => Promise<void>;
  /** Removes the claim of an order that was not sent, if the claim was written at all. */
  readonly removeUnsentClaim: (claimKeys: ClaimKeys, claimId: string) => void;
  /** Whether this router recorded that the order of this claim was not sent. */
  readonly isUnsentClaim: (claimId: string) => boolean;
  /** The result of an order that is not written yet. */
  readonly findPendingResult: (claimKeys: ClaimKeys) => ClaimRecord | undefined;
  readonly getPendingResultCount: () => number;
  /** Resolves when no write or removal is pending. */
  readonly drain: () => Promise<void>;
  /** Stops the retries. */
  readonly close: () => void;
}

export interface ClaimWriterOptions {
  readonly batcher: TransactionBatcher;
  readonly leases: LeaseCache;
  readonly clock: Clock;
  readonly claimSeconds: number;
  /** Called for each result that is dropped without being stored. */
  readonly recordDroppedResult: (record: ClaimRecord, reason: string) => void;
}

/** Delay between attempts while the platform is unavailable. */
const RETRY_DELAY_MS = 1_000;
/** At most 16 MB of answers; enough for the orders of a few minutes of an outage. */
const MAX_PENDING_RESULTS = 1_024;
/** Only claim ids are held; the limit exceeds the number of orders in a long outage. */
const MAX_UNSENT_IDS = 10_000;

export function createClaimWriter(options: ClaimWriterOptions): ClaimWriter {
  const { batcher, leases, clock } = options;
  const pendingResults = new Map<string, ClaimRecord>();
  const unsentIds = new Set<string>();
  const tasks = new Set<Promise<void>>();
  const closeController = new AbortController();
  // Every pending result adds a listener, so the default limit of listeners does not apply.
  setMaxListeners(0, closeController.signal);

  /** Runs `runOnce` until it resolves to `true`, with a delay between the attempts. */
  function startTask(runOnce: () => Promise<boolean>): void {
    async function runTask(): Promise<void> {
      while (!closeController.signal.aborted && !(await runOnce())) {
        await clock.waitMs(RETRY_DELAY_MS, closeController.signal);
      }
    }
    const task = runTask();
    tasks.add(task);
    const removeTask = (): boolean => tasks.delete(task);
    task.then(removeTask, removeTask);
  }

  function addUnsentClaim(claimId: string): void {
    unsentIds.add(claimId);
    const [oldest] = unsentIds;
    if (unsentIds.size > MAX_UNSENT_IDS && oldest !== undefined) unsentIds.delete(oldest);
  }

  /** Replaces the claim only at its own revision, so that the write can be retried safely. */
  async function writeResultOnce(
    claimKeys: ClaimKeys,
    record: ClaimRecord,
    revision: number,
  ): Promise<boolean> {
    const leaseId = await leases.getLeaseId(options.claimSeconds);
    if (leaseId === undefined) return false;
    const value = Records.encodeRecord(record);
    const transaction: KeyTransaction = {
      comparisons: [{ key: claimKeys.claimKey, revision }],
      writes: [{ key: claimKeys.claimKey, value, leaseId }, { key: claimKeys.openMarkerKey }],
    };
    const result = await batcher.writeTransaction(transaction, false);
    if (result.kind === 'unavailable') leases.removeLeases();
    if (result.kind !== 'conflict') return result.kind === 'written';
    const entry = result.current.find(({ key }) => key === claimKeys.claimKey);
    const current = entry === undefined ? undefined : Records.decodeRecord(entry.value);
    const isStored = current?.claimId === record.claimId && current.state === record.state;
    if (!isStored) options.recordDroppedResult(record, 'its claim is gone');
    return true;
  }

  /** `revision` is 0 if it is not known whether the claim was written. */
  async function removeClaimOnce(
    claimKeys: ClaimKeys,
    claimId: string,
    revision: number,
  ): Promise<boolean> {
    const transaction: KeyTransaction = {
      comparisons: [{ key: claimKeys.claimKey, revision }],
      writes: [{ key: claimKeys.claimKey }, { key: claimKeys.openMarkerKey }],
    };
    const result = await batcher.writeTransaction(transaction, true);
    if (result.kind === 'written') return true;
    if (result.kind !== 'conflict') return false;
    const entry = result.current.find(({ key }) => key === claimKeys.claimKey);
    const isOwn = entry !== undefined && Records.decodeRecord(entry.value)?.claimId === claimId;
    return isOwn ? removeClaimOnce(claimKeys, claimId, entry.revision) : true;
  }

  return {
    writeResult(claimKeys, record, revision) {
      pendingResults.set(claimKeys.claimKey, record);
      const [oldestClaimKey, oldest] = [...pendingResults.entries()][0] ?? [];
      if (
        pendingResults.size > MAX_PENDING_RESULTS &&
        oldestClaimKey !== undefined &&
        oldest !== undefined
      ) {
        pendingResults.delete(oldestClaimKey);
        options.recordDroppedResult(oldest, 'too many results wait for the platform');
      }
      startTask(async () => {
        if (pendingResults.get(claimKeys.claimKey) !== record) return true;
        const isWritten = await writeResultOnce(claimKeys, record, revision);
        if (isWritten) pendingResults.delete(claimKeys.claimKey);
        return isWritten;
      });
    },
    async releaseClaim(claimKeys, claimId, revision) {
      addUnsentClaim(claimId);
      const isRemoved = await removeClaimOnce(claimKeys, claimId, revision);
      if (!isRemoved) startTask(() => removeClaimOnce(claimKeys, claimId, revision));
    },
    removeUnsentClaim(claimKeys, claimId) {
      addUnsentClaim(claimId);
      startTask(() => removeClaimOnce(claimKeys, claimId, 0));
    },
    isUnsentClaim: (claimId) => unsentIds.has(claimId),
    findPendingResult: (claimKeys) => pendingResults.get(claimKeys.claimKey),
    getPendingResultCount: () => pendingResults.size,
    async drain() {
      while (tasks.size > 0) await Promise.all([...tasks]);
    },
    close: () => closeController.abort(),
  };
}
