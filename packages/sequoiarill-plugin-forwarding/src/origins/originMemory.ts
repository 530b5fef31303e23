/** Remembers what began streams for as long as their callers may resume them. */
import type { Clock, OriginRecord, StreamKey, StreamOrigin } from '@sequoiarill/types';

export interface RememberedOrigin {
  readonly origin: StreamOrigin;
  readonly ageMs: number;
}

export interface OriginMemory {
  readonly addRecord: (record: OriginRecord) => void;
  readonly find: (key: StreamKey) => RememberedOrigin | undefined;
  readonly listRecords: () => readonly OriginRecord[];
  readonly getSize: () => number;
}

interface Entry extends StreamKey {
  readonly origin: StreamOrigin;
  /** Monotonic milliseconds. */
  readonly begunAtMs: number;
  readonly expiresAtMs: number;
}

/** Bounds memory to a few MB; the oldest are dropped, and their streams are refused when they are resumed. */
const MAX_ENTRIES = 20_000;

function formatKey({ organisation, requestId }: StreamKey): string {
  return `${requestId}\n${organisation}`;
}

export function createOriginMemory({ getNowMs }: Pick<Clock, 'getNowMs'>): OriginMemory {
  /** In the order in which they were added. */
  const entries = new Map<string, Entry>();

  /** Entries are kept for about the same time, so the first ones expire first. */
  function removeOld(): void {
    const nowMs = getNowMs();
    for (const [key, { expiresAtMs }] of entries) {
      if (expiresAtMs > nowMs && entries.size <= MAX_ENTRIES) return;
      entries.delete(key);
    }
  }

  return {
    addRecord({ organisation, requestId, origin, ageMs, leftMs }) {
      const nowMs = getNowMs();
      const entry = { organisation, requestId, origin };
      const key = formatKey(entry);
      entries.delete(key);
      entries.set(key, { ...entry, begunAtMs: nowMs - ageMs, expiresAtMs: nowMs + leftMs });
      removeOld();
    },
    find(key) {
      const entry = entries.get(formatKey(key));
      const nowMs = getNowMs();
      if (entry === undefined || entry.expiresAtMs <= nowMs) return undefined;
      return { origin: entry.origin, ageMs: nowMs - entry.begunAtMs };
    },
    listRecords() {
      const nowMs = getNowMs();
      return [...entries.values()]
        .filter(({ expiresAtMs }) => expiresAtMs > nowMs)
        .map(({ begunAtMs, expiresAtMs, ...record }) => ({
          ...record,
          ageMs: nowMs - begunAtMs,
          leftMs: expiresAtMs - nowMs,
        }));
    },
    getSize() {
      removeOld();
      return entries.size;
    },
  };
}
