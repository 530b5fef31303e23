/**
 * How many attempts of this router began or ended at each target lately.
 *
 * Load reports lag: without counting what was sent and what ended after a report, every choice until
 * the next one would go to the target that looked idle. Counted in short buckets, so that memory is
 * bounded.
 */

const BUCKET_MS = 250;
/** Older reports are not corrected but disregarded. */
const MAX_BUCKETS = 40;

interface Bucket {
  readonly startMs: number;
  count: number;
}

export interface RecentCounts {
  readonly addAttempt: (target: string, nowMs: number) => void;
  readonly countSince: (target: string, sinceMs: number) => number;
}

export function createRecentCounts(): RecentCounts {
  const bucketsByTarget = new Map<string, Bucket[]>();
  return {
    addAttempt(target, nowMs) {
      const buckets = bucketsByTarget.get(target) ?? [];
      const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
      const last = buckets.at(-1);
      if (last?.startMs === startMs) last.count += 1;
      else buckets.push({ startMs, count: 1 });
      if (buckets.length > MAX_BUCKETS) buckets.shift();
      bucketsByTarget.set(target, buckets);
    },
    countSince(target, sinceMs) {
      const buckets = bucketsByTarget.get(target) ?? [];
      return buckets
        .filter((bucket) => bucket.startMs + BUCKET_MS > sinceMs)
        .reduce((sum, bucket) => sum + bucket.count, 0);
    },
  };
}
