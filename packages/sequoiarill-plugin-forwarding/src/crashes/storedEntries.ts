/** Entries of the store that tell routers which start later, and all others, what is blocked or was answered. */
import type { Directory, KeyValueStore } from '@sequoiarill/types';

export interface StoredEntriesOptions<Entry> {
  readonly prefix: string;
  readonly store: Pick<KeyValueStore, 'grantLease' | 'writeTransaction'>;
  readonly directory: Pick<Directory, 'listEntries'>;
  /** Last part of the entry's key in the store. */
  readonly getKey: (entry: Entry) => string;
  readonly encode: (entry: Entry) => string;
  /** Undefined for a value that no router wrote. */
  readonly decode: (key: string, value: string) => Entry | undefined;
}

export interface StoredEntries<Entry> {
  /** Queues an entry for writing; drops the oldest one when too many are pending. */
  readonly addEntry: (entry: Entry) => void;
  /** Writes the pending entries until a call fails. */
  readonly writePending: () => Promise<void>;
  /** Lists the entries that changed since the previous call. */
  readonly listChanged: () => readonly Entry[];
}

/** The store expires entries after this time. */
const LEASE_SECONDS = 600;
const MAX_PENDING_ENTRIES = 100;

export function createStoredEntries<Entry>(
  options: StoredEntriesOptions<Entry>,
): StoredEntries<Entry> {
  const { prefix, store, directory, getKey, encode, decode } = options;
  const pending = new Map<string, Entry>();
  let seenRevisions: ReadonlyMap<string, number> = new Map();
  let isWriting = false;

  async function writeEntry(entryKey: string, entry: Entry): Promise<boolean> {
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.kind !== 'granted') return false;
    // The newest entry overwrites the previous state.
    const written = await store.writeTransaction({
      comparisons: [],
      writes: [{ key: `${prefix}${entryKey}`, value: encode(entry), leaseId: lease.leaseId }],
    });
    return written.kind === 'written';
  }

  return {
    addEntry(entry) {
      pending.set(getKey(entry), entry);
      const oldest = pending.keys().next();
      if (pending.size > MAX_PENDING_ENTRIES && oldest.done !== true) pending.delete(oldest.value);
    },
    async writePending() {
      if (isWriting) return;
      isWriting = true;
      try {
        for (const [key, entry] of pending) {
          if (!(await writeEntry(key, entry))) return;
          if (pending.get(key) === entry) pending.delete(key);
        }
      } finally {
        isWriting = false;
      }
    },
    listChanged() {
      const stored = directory.listEntries(prefix);
      const changed = stored.filter(({ key, revision }) => seenRevisions.get(key) !== revision);
      seenRevisions = new Map(stored.map(({ key, revision }) => [key, revision]));
      return changed.flatMap(({ key, value }) => decode(key.slice(prefix.length), value) ?? []);
    },
  };
}
