/**
 * Gathers transactions of one router into few calls of the platform's key-value service.
 *
 * Load pattern: many orders at once, or many routers. Sent one by one, claims would use up the few
 * hundred writes a second that the platform has for everybody. Here a router's calls have a bound
 * that does not depend on its orders; more orders make batches larger, up to their bound.
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
   * Writes one transaction with others. An `unknown` may have taken effect, as for a single call.
   * What is not `isUrgent` waits longer for urgent ones to go with.
   */
  readonly writeItem: (item: KeyTransaction, isUrgent: boolean) => Promise<TransactionResult>;
  readonly getQueueLength: () => number;
}

export interface TransactionBatcherOptions {
  readonly store: Pick<KeyValueStore, 'writeTransaction'>;
  readonly clock: Clock;
  /** How long urgent items are gathered. */
  readonly windowMs: number;
  /** How long others wait for urgent ones. */
  readonly lazyMs: number;
  /** Least time between the starts of two batches: the router's share of the platform's budget. */
  readonly spacingMs: number;
  readonly recordCall: () => void;
}

interface QueuedItem {
  readonly item: KeyTransaction;
  readonly isUrgent: boolean;
  readonly settle: (result: TransactionResult) => void;
}

/** Two keys each stay within the 128 operations a transaction of the service may have. */
const MAX_ITEMS = 32;
/** Below the megabyte that one request may have. */
const MAX_BYTES = 524_288;

export function createTransactionBatcher(options: TransactionBatcherOptions): TransactionBatcher {
  const { store, clock } = options;
  const queue: QueuedItem[] = [];
  let isRunning = false;
  let lastCallMs = -Infinity;
  let wakeLazy: (() => void) | undefined;

  async function writeMerged(items: readonly QueuedItem[]): Promise<TransactionResult> {
    options.recordCall();
    return store.writeTransaction({
      comparisons: items.flatMap(({ item }) => item.comparisons),
      writes: items.flatMap(({ item }) => item.writes),
    });
  }

  /**
   * A conflict of one item fails the whole transaction. Its answer holds every compared key as it
   * is, which settles the items in conflict; the others had no effect and go again together. A
   * caller that repeats old keys thus costs one call more, not one for each item beside its own.
   */
  async function writeBatch(batch: readonly QueuedItem[]): Promise<void> {
    let items = batch;
    while (items.length > 0) {
      const result = await writeMerged(items);
      if (result.kind !== 'conflict') {
        items.forEach(({ settle }) => settle(result));
        return;
      }
      const inConflict = items.filter(({ item }) => isConflicting(item, result));
      // Every call settles something, so that this ends even if the store names no key.
      const settled = new Set(inConflict.length > 0 ? inConflict : items);
      settled.forEach(({ item, settle }) =>
        settle({ ...result, current: selectCurrent(item, result) }),
      );
      items = items.filter((queued) => !settled.has(queued));
    }
  }

  async function waitForWindow(): Promise<void> {
    if (!queue.some(({ isUrgent }) => isUrgent)) {
      const woken = new AbortController();
      wakeLazy = () => woken.abort();
      await clock.waitMs(options.lazyMs, woken.signal);
      wakeLazy = undefined;
    }
    const nowMs = clock.getNowMs();
    await clock.waitMs(Math.max(options.windowMs, lastCallMs + options.spacingMs - nowMs));
    lastCallMs = clock.getNowMs();
  }

  /** One call at a time: while one is under way, the next one gathers, so load makes it larger. */
  async function runBatches(): Promise<void> {
    while (queue.length > 0) {
      await waitForWindow();
      await writeBatch(takeBatch(queue));
    }
    isRunning = false;
  }

  return {
    async writeItem(item, isUrgent) {
      return new Promise((resolve) => {
        queue.push({ item, isUrgent, settle: resolve });
        if (isUrgent) wakeLazy?.();
        if (isRunning) return;
        isRunning = true;
        // Never rejects: the store's outcomes are values.
        runBatches().catch(() => undefined);
      });
    },
    getQueueLength: () => queue.length,
  };
}

/**
 * Urgent items first, then others as far as they fit; order among equals is kept. An item whose
 * keys are in the batch already waits for the next one: the service refuses a transaction that
 * writes one key twice, and all of the batch would fail with it.
 */
function takeBatch(queue: QueuedItem[]): readonly QueuedItem[] {
  const batch: QueuedItem[] = [];
  const keys = new Set<string>();
  let bytes = 0;
  for (const queued of [...queue].sort(compareUrgency)) {
    const { writes } = queued.item;
    bytes += writes.reduce((sum, write) => sum + (write.value?.length ?? 0), 0);
    const isFull = batch.length === MAX_ITEMS || (batch.length > 0 && bytes > MAX_BYTES);
    if (isFull) break;
    if (!writes.some(({ key }) => keys.has(key))) batch.push(queued);
    writes.forEach(({ key }) => keys.add(key));
  }
  const taken = new Set(batch);
  queue.splice(0, queue.length, ...queue.filter((queued) => !taken.has(queued)));
  return batch;
}

function compareUrgency(left: QueuedItem, right: QueuedItem): number {
  return Number(right.isUrgent) - Number(left.isUrgent);
}

function getRevision(conflict: KeyValueConflict, key: string): number {
  return conflict.current.find((entry) => entry.key === key)?.revision ?? 0;
}

function isConflicting(item: KeyTransaction, conflict: KeyValueConflict): boolean {
  return item.comparisons.some(({ key, revision }) => getRevision(conflict, key) !== revision);
}

function selectCurrent(item: KeyTransaction, conflict: KeyValueConflict): readonly KeyValueEntry[] {
  const keys = new Set(item.comparisons.map(({ key }) => key));
  return conflict.current.filter((entry) => keys.has(entry.key));
}
