/** Records by key, newest revision first come; removed keys are remembered for a while. */

import type { StoredEntry } from '@sequoiarill/types';

/** One key as somebody saw it. Without a value it was removed at that revision. */
export interface DirectoryRecord {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
}

export interface RecordLog {
  /** False for a record that is not newer than what is known of its key. */
  readonly addRecord: (record: DirectoryRecord) => boolean;
  /** Highest revision of a record that was added. */
  readonly getRevision: () => number;
  /** Keys under a prefix that have a value. */
  readonly listValues: (prefix: string) => readonly StoredEntry[];
  readonly listAfter: (revision: number) => readonly DirectoryRecord[];
  /** Keys that have a value here at or below a revision and are not among those given. */
  readonly listMissing: (present: ReadonlySet<string>, revision: number) => readonly string[];
}

/** Removed keys beyond this are forgotten, oldest first: some hours of restarts at the target size. */
const MAX_TOMBSTONES = 2_000;

export function createRecordLog(): RecordLog {
  const records = new Map<string, DirectoryRecord>();
  let revision = 0;
  let tombstones = 0;

  function removeOldTombstones(): void {
    if (tombstones <= MAX_TOMBSTONES) return;
    for (const [key, { value }] of records) {
      if (value === undefined) {
        records.delete(key);
        tombstones -= 1;
        if (tombstones <= MAX_TOMBSTONES) return;
      }
    }
  }

  return {
    addRecord(record) {
      const known = records.get(record.key);
      if (known !== undefined && known.revision >= record.revision) return false;
      if (known !== undefined && known.value === undefined) tombstones -= 1;
      if (record.value === undefined) tombstones += 1;
      // Moves it to the end, so that the oldest tombstones come first.
      records.delete(record.key);
      records.set(record.key, record);
      revision = Math.max(revision, record.revision);
      removeOldTombstones();
      return true;
    },
    getRevision: () => revision,
    listValues: (prefix) =>
      [...records.values()].flatMap(({ key, revision: changed, value }) =>
        value !== undefined && key.startsWith(prefix) ? [{ key, revision: changed, value }] : [],
      ),
    listAfter: (after) => [...records.values()].filter((one) => one.revision > after),
    listMissing: (present, upTo) =>
      [...records.values()]
        .filter(({ key, value, revision: changed }) => {
          const isKnown = value !== undefined && changed <= upTo;
          return isKnown && !present.has(key);
        })
        .map(({ key }) => key),
  };
}
