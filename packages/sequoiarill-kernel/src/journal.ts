/** The decisions of recent requests, in memory and bounded. */
import type { Clock, DecisionEntry, Journal } from '@sequoiarill/types';

/** A minute of requests at the target size of a node (67 a second), at about 1 KB each. */
const MAX_REQUESTS = 4_096;
/** A request with more decisions than this keeps its first ones, which hold the cause. */
const MAX_ENTRIES = 64;

interface RequestRecord {
  readonly startedMs: number;
  readonly entries: DecisionEntry[];
}

export interface JournalSize {
  readonly requests: number;
}

export function createJournal(
  clock: Clock,
  maxRequests = MAX_REQUESTS,
): Journal & { readonly getSize: () => JournalSize } {
  const records = new Map<string, RequestRecord>();

  function getRecord(requestId: string): RequestRecord {
    const known = records.get(requestId);
    if (known !== undefined) return known;
    const record: RequestRecord = { startedMs: clock.getNowMs(), entries: [] };
    records.set(requestId, record);
    if (records.size > maxRequests) {
      const [oldest] = records.keys();
      if (oldest !== undefined) records.delete(oldest);
    }
    return record;
  }

  return {
    recordDecision(requestId, kind, reason, details = {}) {
      const record = getRecord(requestId);
      if (record.entries.length >= MAX_ENTRIES) return;
      const elapsedMs = Math.round(clock.getNowMs() - record.startedMs);
      record.entries.push({ kind, at: clock.getWallTime(), elapsedMs, reason, details });
    },
    explainRequest: (requestId) => records.get(requestId)?.entries,
    getSize: () => ({ requests: records.size }),
  };
}
