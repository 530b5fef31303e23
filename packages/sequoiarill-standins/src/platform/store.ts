/**
 * In-memory store of keys with revisions and their history, independent of the network interface.
 */

export interface StoredKey {
  /** Bytes as Latin-1 text, so that comparing texts compares bytes. */
  readonly key: string;
  readonly value: Buffer;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  readonly leaseId: string;
}

export interface StoreEvent {
  readonly type: 'PUT' | 'DELETE';
  readonly stored: StoredKey;
  readonly previous: StoredKey | undefined;
}

/** All changes that were committed together as one revision. */
export interface StoreRevision {
  readonly revision: number;
  readonly events: readonly StoreEvent[];
}

export interface KeyRange {
  readonly key: string;
  /** If absent, the range is only the key itself. */
  readonly rangeEnd: string | undefined;
}

/** Collects changes that are committed as one revision. */
export interface StoreWriter {
  readonly writeKey: (key: string, value: Buffer, leaseId: string) => StoredKey | undefined;
  readonly removeRange: (range: KeyRange) => readonly StoredKey[];
  /** The revision of this commit, or the current revision if it has no changes so far. */
  readonly getRevision: () => number;
}

export interface Store {
  readonly getRevision: () => number;
  readonly getCompactRevision: () => number;
  readonly findKey: (key: string) => StoredKey | undefined;
  readonly listRange: (range: KeyRange) => readonly StoredKey[];
  /** Commits all changes as one revision; without changes, no revision is created. */
  readonly writeRevision: <Result>(write: (writer: StoreWriter) => Result) => Result;
  /** Discards the history before this revision. */
  readonly compact: (revision: number) => void;
  /** Advances the revision as if keys that nobody watches had been written. */
  readonly addEmptyRevisions: (count: number) => void;
  readonly listRevisionsFrom: (revision: number) => readonly StoreRevision[];
  readonly subscribeRevisions: (listener: (revision: StoreRevision) => void) => () => void;
}

/** A range end of one zero byte selects every key from the start of the range. */
const OPEN_END = '\0';

export function isInRange(range: KeyRange, key: string): boolean {
  if (range.rangeEnd === undefined) return key === range.key;
  return key >= range.key && (range.rangeEnd === OPEN_END || key < range.rangeEnd);
}

function compareKeys(left: StoredKey, right: StoredKey): number {
  return left.key < right.key ? -1 : 1;
}

export function createStore(historyRevisions: number): Store {
  const keys = new Map<string, StoredKey>();
  const listeners = new Set<(revision: StoreRevision) => void>();
  let history: StoreRevision[] = [];
  let revision = 1;
  let compactRevision = 0;

  function listRange(range: KeyRange): readonly StoredKey[] {
    const exact = keys.get(range.key);
    if (range.rangeEnd === undefined) return exact === undefined ? [] : [exact];
    const found = [...keys.values()].filter((stored) => isInRange(range, stored.key));
    return found.sort(compareKeys);
  }

  function removeHistory(before: number): void {
    compactRevision = Math.max(compactRevision, before);
    history = history.filter((past) => past.revision >= compactRevision);
  }

  function addRevision(events: readonly StoreEvent[]): void {
    revision += 1;
    const added = { revision, events };
    history.push(added);
    if (history.length > 2 * historyRevisions) removeHistory(revision - historyRevisions);
    for (const listener of listeners) listener(added);
  }

  function createWriter(events: StoreEvent[]): StoreWriter {
    const next = revision + 1;

    function writeKey(key: string, value: Buffer, leaseId: string): StoredKey | undefined {
      const previous = keys.get(key);
      const stored: StoredKey = {
        key,
        value,
        createRevision: previous?.createRevision ?? next,
        modRevision: next,
        version: (previous?.version ?? 0) + 1,
        leaseId,
      };
      keys.set(key, stored);
      events.push({ type: 'PUT', stored, previous });
      return previous;
    }

    function removeKey(previous: StoredKey): void {
      keys.delete(previous.key);
      const stored = { ...previous, modRevision: next };
      events.push({ type: 'DELETE', stored, previous });
    }

    return {
      writeKey,
      removeRange(range) {
        const found = listRange(range);
        found.forEach(removeKey);
        return found;
      },
      getRevision: () => (events.length > 0 ? next : revision),
    };
  }

  return {
    getRevision: () => revision,
    getCompactRevision: () => compactRevision,
    findKey: (key) => keys.get(key),
    listRange,
    writeRevision(write) {
      const events: StoreEvent[] = [];
      const result = write(createWriter(events));
      if (events.length > 0) addRevision(events);
      return result;
    },
    compact: removeHistory,
    addEmptyRevisions(count) {
      revision += count;
    },
    listRevisionsFrom: (from) => history.filter((past) => past.revision >= from),
    subscribeRevisions(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}
