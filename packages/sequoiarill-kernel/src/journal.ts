/** Keeps the decisions made for recent requests in memory, up to a fixed number of requests. */
import type { Clock, DecisionEntry, Journal } from '@sequoiarill/types';

/** One minute of requests at the planned load of a node (67 per second), at about 1 KB each. */
const MAX_REQUESTS = 4_096;
/** Further entries are dropped; the first ones are kept because they contain the cause. */
const MAX_ENTRIES_PER_REQUEST = 64;

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
    const existing = records.get(requestId);
    if (existing !== undefined) return existing;
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
      if (record.entries.length >= MAX_ENTRIES_PER_REQUEST) return;
      const elapsedMs = Math.round(clock.getNowMs() - record.startedMs);
      record.entries.push({ kind, at: clock.getWallTime(), elapsedMs, reason, details });
    },
    explainRequest: (requestId) => records.get(requestId)?.entries,
    getSize: () => ({ requests: records.size }),
  };
}
