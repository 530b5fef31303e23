/** Counts garbage collections and the time that they take. */
import { PerformanceObserver, constants } from 'node:perf_hooks';
import type { PerformanceEntry } from 'node:perf_hooks';
import * as V8 from 'node:v8';

export type CollectionKind = 'minor' | 'major' | 'incremental' | 'weak';

export interface CollectionCounts {
  readonly count: number;
  readonly totalMs: number;
  readonly longestMs: number;
}

export interface CollectionRecord {
  readonly recordCollection: (kind: CollectionKind, lastedMs: number) => void;
  /** What was recorded since the last call, by kind. */
  readonly takeCounts: () => ReadonlyMap<CollectionKind, CollectionCounts>;
}

type CollectionEntry = PerformanceEntry & Readonly<{ detail: Readonly<{ kind?: number }> }>;

const KINDS: ReadonlyMap<number, CollectionKind> = new Map([
  [constants.NODE_PERFORMANCE_GC_MINOR, 'minor'],
  [constants.NODE_PERFORMANCE_GC_MAJOR, 'major'],
  [constants.NODE_PERFORMANCE_GC_INCREMENTAL, 'incremental'],
  [constants.NODE_PERFORMANCE_GC_WEAKCB, 'weak'],
]);
const NONE: CollectionCounts = { count: 0, totalMs: 0, longestMs: 0 };

export function createCollectionRecord(): CollectionRecord {
  let countsByKind = new Map<CollectionKind, CollectionCounts>();
  return {
    recordCollection(kind, lastedMs) {
      const { count, totalMs, longestMs } = countsByKind.get(kind) ?? NONE;
      countsByKind.set(kind, {
        count: count + 1,
        totalMs: totalMs + lastedMs,
        longestMs: Math.max(longestMs, lastedMs),
      });
    },
    takeCounts() {
      const taken = countsByKind;
      countsByKind = new Map();
      return taken;
    },
  };
}

/** Records the collections of this process; returns a function that ends it. */
export function watchCollections(record: Pick<CollectionRecord, 'recordCollection'>): () => void {
  const observer = new PerformanceObserver((list) => {
    for (const entry of list.getEntries()) {
      // The types of Node.js lack the details of an entry.
      const { duration, detail } = entry as CollectionEntry;
      const kind = KINDS.get(detail.kind ?? 0);
      if (kind !== undefined) record.recordCollection(kind, duration);
    }
  });
  observer.observe({ entryTypes: ['gc'] });
  return () => observer.disconnect();
}

/** Used part of the heap beside its limit. */
export function computeHeapShare(): number {
  const { used_heap_size: used, heap_size_limit: limit } = V8.getHeapStatistics();
  return used / limit;
}
