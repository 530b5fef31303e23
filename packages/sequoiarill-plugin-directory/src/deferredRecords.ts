/**
 * Holds back records of a store that was restored from an older copy, until targets, routers and operators
 * have had time to write again what the copy lacks.
 *
 * Failure: the copy lacks the entry of a router or an order that is in force, and they would be dropped for
 * the second until they are written again; or it still holds the entry of a target that has left since, and
 * that target would get requests again.
 */
import type { DirectoryRecord } from './recordCache';

export interface DeferredRecords {
  readonly add: (record: DirectoryRecord) => void;
  /** Drops what is held back for the key and is older than the record; false if something newer is. */
  readonly replace: (record: DirectoryRecord) => boolean;
  readonly isHolding: (key: string) => boolean;
  readonly takeAll: () => readonly DirectoryRecord[];
}

export function createDeferredRecords(): DeferredRecords {
  const records = new Map<string, DirectoryRecord>();
  return {
    add(record) {
      records.set(record.key, record);
    },
    replace({ key, revision }) {
      const held = records.get(key);
      if (held === undefined) return true;
      if (held.revision >= revision) return false;
      records.delete(key);
      return true;
    },
    isHolding: (key) => records.has(key),
    takeAll() {
      const taken = [...records.values()];
      records.clear();
      return taken;
    },
  };
}
