/** Caches the newest record of each key. Removed keys are remembered for a while. */

import type { StoredEntry } from '@sequoiarill/types';

/** One key as reported by the store or a peer. Without a value, it was removed at that revision. */
export interface DirectoryRecord {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
}

export interface RecordCache {
  /** Returns false if the record is not newer than the cached one of its key. */
  readonly addRecord: (record: DirectoryRecord) => boolean;
  /** Caches the record in place of any other of its key. */
  readonly setRecord: (record: DirectoryRecord) => void;
  readonly findRecord: (key: string) => DirectoryRecord | undefined;
  /** Highest revision among the added records. */
  readonly getRevision: () => number;
  /** Keys under a prefix that have a value. */
  readonly listEntries: (prefix: string) => readonly StoredEntry[];
  readonly listRecordsAfter: (revision: number) => readonly DirectoryRecord[];
  /** Keys that have a cached value at or below a revision and are not among the given ones. */
  readonly listMissingKeys: (present: ReadonlySet<string>, revision: number) => readonly string[];
}

/**
 * Limit of remembered removals, oldest dropped first: some hours of restarts at the target size.
 */
const MAX_TOMBSTONES = 2_000;

export function createRecordCache(): RecordCache {
  const records = new Map<string, DirectoryRecord>();
  let revision = 0;
  let tombstoneCount = 0;

  function removeOldTombstones(): void {
    if (tombstoneCount <= MAX_TOMBSTONES) return;
    for (const [key, { value }] of records) {
      if (value === undefined) {
        records.delete(key);
        tombstoneCount -= 1;
        if (tombstoneCount <= MAX_TOMBSTONES) return;
      }
    }
  }

  function setRecord(record: DirectoryRecord): void {
    const existing = records.get(record.key);
    if (existing !== undefined && existing.value === undefined) tombstoneCount -= 1;
    if (record.value === undefined) tombstoneCount += 1;
    // Moves the key to the end, so that the oldest tombstones come first.
    records.delete(record.key);
    records.set(record.key, record);
    revision = Math.max(revision, record.revision);
    removeOldTombstones();
  }

  return {
    addRecord(record) {
      const existing = records.get(record.key);
      if (existing !== undefined && existing.revision >= record.revision) return false;
      setRecord(record);
      return true;
    },
    setRecord,
    findRecord: (key) => records.get(key),
    getRevision: () => revision,
    listEntries: (prefix) =>
      [...records.values()].flatMap(({ key, revision: recordRevision, value }) =>
        value !== undefined && key.startsWith(prefix)
          ? [{ key, revision: recordRevision, value }]
          : [],
      ),
    listRecordsAfter: (afterRevision) =>
      [...records.values()].filter((record) => record.revision > afterRevision),
    listMissingKeys: (present, maxRevision) =>
      [...records.values()]
        .filter(({ key, value, revision: recordRevision }) => {
          const isExpected = value !== undefined && recordRevision <= maxRevision;
          return isExpected && !present.has(key);
        })
        .map(({ key }) => key),
  };
}
