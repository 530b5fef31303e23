/**
 * Interface to the platform's key-value store. Revisions order all changes, also where the store was restored
 * from an older copy of itself.
 */

export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the last change to this key. */
  readonly revision: number;
  /** Revision at which this key was created. */
  readonly createRevision: number;
}

/** The call failed and had no effect. */
export interface KeyValueUnavailable {
  readonly kind: 'unavailable';
  readonly message: string;
}

/** The response was lost, so the call may or may not have taken effect. */
export interface KeyValueUnknown {
  readonly kind: 'unknown';
  readonly message: string;
}

export interface KeyValueRange {
  readonly kind: 'range';
  /** Revision of the store at which the range was read. */
  readonly revision: number;
  readonly entries: readonly KeyValueEntry[];
}

export interface KeyValueWritten {
  readonly kind: 'written';
  readonly revision: number;
}

/** A comparison failed and nothing was written. `current` holds the compared keys as stored. */
export interface KeyValueConflict {
  readonly kind: 'conflict';
  readonly revision: number;
  readonly current: readonly KeyValueEntry[];
}

export interface KeyComparison {
  readonly key: string;
  /** Revision that the key must have, or 0 if the key must not exist. */
  readonly revision: number;
}

export interface KeyWrite {
  readonly key: string;
  /** If absent, the write removes the key. */
  readonly value?: string;
  readonly leaseId?: string;
}

export interface KeyTransaction {
  readonly comparisons: readonly KeyComparison[];
  readonly writes: readonly KeyWrite[];
}

export interface LeaseGranted {
  readonly kind: 'granted';
  readonly leaseId: string;
  readonly ttlSeconds: number;
}

/** The lease no longer exists. */
export interface LeaseExpired {
  readonly kind: 'expired';
}

export interface KeyChange {
  readonly key: string;
  /** Absent if the key was removed. */
  readonly entry?: KeyValueEntry;
  readonly revision: number;
}

export interface WatchChanges {
  readonly kind: 'changes';
  readonly revision: number;
  readonly changes: readonly KeyChange[];
}

/**
 * The changes between the requested revision and `oldestRevision` were compacted, so the range has
 * to be read again.
 */
export interface WatchCompacted {
  readonly kind: 'compacted';
  readonly oldestRevision: number;
}

export type WatchEvent = WatchChanges | WatchCompacted;

/** Some of the entries under a prefix, ordered by key. Pages do not form a consistent snapshot. */
export interface KeyValuePage extends Omit<KeyValueRange, 'kind'> {
  readonly kind: 'page';
  /** Whether more entries follow the last one. */
  readonly hasMore: boolean;
}

export interface WatchOptions {
  /** Longest time until the next event, milliseconds. Without changes, an empty event follows. */
  readonly waitMs?: number;
  /** Called when a part of an answer arrives. */
  readonly handleProgress?: () => void;
}

/** Capability `keyValue`. Each call counts against the platform's request budget. */
export interface KeyValueStore {
  /** Reads entries after a key. An empty key starts at the beginning. */
  readonly readPage: (
    prefix: string,
    afterKey: string,
  ) => Promise<KeyValuePage | KeyValueUnavailable>;
  readonly readPrefix: (prefix: string) => Promise<KeyValueRange | KeyValueUnavailable>;
  readonly readKey: (key: string) => Promise<KeyValueRange | KeyValueUnavailable>;
  readonly writeTransaction: (
    transaction: KeyTransaction,
  ) => Promise<KeyValueWritten | KeyValueConflict | KeyValueUnavailable | KeyValueUnknown>;
  readonly grantLease: (
    ttlSeconds: number,
  ) => Promise<LeaseGranted | KeyValueUnavailable | KeyValueUnknown>;
  readonly refreshLease: (
    leaseId: string,
  ) => Promise<LeaseGranted | LeaseExpired | KeyValueUnavailable>;
  readonly revokeLease: (leaseId: string) => Promise<void>;
  /**
   * Ends when the connection breaks or the signal is aborted. The caller then has to read the range
   * again and start a new watch.
   */
  readonly watchPrefix: (
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
    options?: WatchOptions,
  ) => AsyncGenerator<WatchEvent, void, void>;
  /** Later calls use new connections. Those in progress keep theirs. */
  readonly renewConnections: () => void;
}
