/**
 * Counts the attempts of this router that recently started or ended on each target.
 *
 * Load reports lag: without the attempts that started and ended since the last report, every request
 * until the next one would go to the target that looked idle. Short buckets bound the memory.
 */

const BUCKET_MS = 250;
/**
 * At least 10 s, as empty buckets are not stored. Older load reports are not corrected further: their
 * weight decreases with age until they are disregarded.
 */
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
