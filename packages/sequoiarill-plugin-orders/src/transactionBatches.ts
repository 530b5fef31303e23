/**
 * Merges the transactions of one router into few calls to the platform's key-value service.
 *
 * Load pattern: many orders at once, or many routers. One call per claim would use up the few hundred
 * writes per second that all users of the platform share. Here, the rate of a router's calls has a
 * limit that does not depend on its number of orders; more orders make the batches larger, up to a
 * limit.
 */
import type {
  Clock,
  KeyTransaction,
  KeyValueConflict,
  KeyValueEntry,
  KeyValueStore,
} from '@sequoiarill/types';

export type TransactionResult = Awaited<ReturnType<KeyValueStore['writeTransaction']>>;

export interface TransactionBatcher {
  /**
   * Writes a transaction in a batch with others. One that ends as `unknown` may have taken effect,
   * as for a single call. A transaction that is not urgent waits longer, to share a batch with
   * urgent ones.
   */
  readonly writeTransaction: (
    transaction: KeyTransaction,
    isUrgent: boolean,
  ) => Promise<TransactionResult>;
  readonly getQueueLength: () => number;
}

export interface TransactionBatcherOptions {
  readonly store: Pick<KeyValueStore, 'writeTransaction'>;
  readonly clock: Clock;
  /** How long further transactions are collected before a batch starts. */
  readonly batchWindowMs: number;
  /** How long transactions that are not urgent wait for an urgent one. */
  readonly nonUrgentDelayMs: number;
  /**
   * Minimum time between the starts of two batches: the router's share of the platform's budget.
   */
  readonly minCallIntervalMs: number;
  readonly recordCall: () => void;
}

interface QueuedTransaction {
  readonly transaction: KeyTransaction;
  readonly isUrgent: boolean;
  readonly resolve: (result: TransactionResult) => void;
}

/** With two keys each, within the limit of 128 operations per transaction of the service. */
const MAX_BATCH_TRANSACTIONS = 32;
/** Below the limit of one megabyte per request. */
const MAX_BATCH_BYTES = 524_288;

export function createTransactionBatcher(options: TransactionBatcherOptions): TransactionBatcher {
  const { store, clock } = options;
  const queue: QueuedTransaction[] = [];
  let isRunning = false;
  let lastCallMs = -Infinity;
  let stopNonUrgentDelay: (() => void) | undefined;

  async function writeMerged(batch: readonly QueuedTransaction[]): Promise<TransactionResult> {
    options.recordCall();
    return store.writeTransaction({
      comparisons: batch.flatMap(({ transaction }) => transaction.comparisons),
      writes: batch.flatMap(({ transaction }) => transaction.writes),
    });
  }

  /**
   * A conflict in one transaction fails the whole batch. The response holds the current entries of
   * all compared keys, which resolves the conflicting transactions; the others had no effect and
   * are written again together. A caller that repeats old keys thus costs one additional call, not
   * one for each other transaction of the batch.
   */
  async function writeBatch(batch: readonly QueuedTransaction[]): Promise<void> {
    let remaining = batch;
    while (remaining.length > 0) {
      const result = await writeMerged(remaining);
      if (result.kind !== 'conflict') {
        remaining.forEach(({ resolve }) => resolve(result));
        return;
      }
      const conflicting = remaining.filter(({ transaction }) => isConflicting(transaction, result));
      // Every call resolves at least one transaction, so the loop ends even if no conflict is
      // found.
      const resolvedTransactions = new Set(conflicting.length > 0 ? conflicting : remaining);
      resolvedTransactions.forEach(({ transaction, resolve }) =>
        resolve({ ...result, current: selectCurrent(transaction, result) }),
      );
      remaining = remaining.filter((queued) => !resolvedTransactions.has(queued));
    }
  }

  async function waitForBatchStart(): Promise<void> {
    if (!queue.some(({ isUrgent }) => isUrgent)) {
      const urgentArrival = new AbortController();
      stopNonUrgentDelay = () => urgentArrival.abort();
      await clock.waitMs(options.nonUrgentDelayMs, urgentArrival.signal);
      stopNonUrgentDelay = undefined;
    }
    const nowMs = clock.getNowMs();
    await clock.waitMs(
      Math.max(options.batchWindowMs, lastCallMs + options.minCallIntervalMs - nowMs),
    );
    lastCallMs = clock.getNowMs();
  }

  /**
   * Sends one batch at a time; transactions that arrive meanwhile are collected for the next one.
   */
  async function runBatches(): Promise<void> {
    while (queue.length > 0) {
      await waitForBatchStart();
      await writeBatch(takeBatch(queue));
    }
    isRunning = false;
  }

  return {
    async writeTransaction(transaction, isUrgent) {
      return new Promise((resolve) => {
        queue.push({ transaction, isUrgent, resolve });
        if (isUrgent) stopNonUrgentDelay?.();
        if (isRunning) return;
        isRunning = true;
        // Never rejects: the store returns failures as values.
        runBatches().catch(() => undefined);
      });
    },
    getQueueLength: () => queue.length,
  };
}

/**
 * Takes urgent transactions first, then others as far as they fit, each in the order of arrival. A
 * transaction with a key that is already in the batch waits for the next one: the service rejects a
 * transaction that writes a key twice, and the whole batch would fail.
 */
function takeBatch(queue: QueuedTransaction[]): readonly QueuedTransaction[] {
  const batch: QueuedTransaction[] = [];
  const writtenKeys = new Set<string>();
  let bytes = 0;
  for (const queued of [...queue].sort(compareUrgency)) {
    const { writes } = queued.transaction;
    bytes += writes.reduce((sum, write) => sum + (write.value?.length ?? 0), 0);
    const isFull =
      batch.length === MAX_BATCH_TRANSACTIONS || (batch.length > 0 && bytes > MAX_BATCH_BYTES);
    if (isFull) break;
    if (!writes.some(({ key }) => writtenKeys.has(key))) batch.push(queued);
    writes.forEach(({ key }) => writtenKeys.add(key));
  }
  const batched = new Set(batch);
  queue.splice(0, queue.length, ...queue.filter((queued) => !batched.has(queued)));
  return batch;
}

function compareUrgency(left: QueuedTransaction, right: QueuedTransaction): number {
  return Number(right.isUrgent) - Number(left.isUrgent);
}

function getRevision(conflict: KeyValueConflict, key: string): number {
  return conflict.current.find((entry) => entry.key === key)?.revision ?? 0;
}

function isConflicting(transaction: KeyTransaction, conflict: KeyValueConflict): boolean {
  return transaction.comparisons.some(
    ({ key, revision }) => getRevision(conflict, key) !== revision,
  );
}

function selectCurrent(
  transaction: KeyTransaction,
  conflict: KeyValueConflict,
): readonly KeyValueEntry[] {
  const comparedKeys = new Set(transaction.comparisons.map(({ key }) => key));
  return conflict.current.filter((entry) => comparedKeys.has(entry.key));
}
