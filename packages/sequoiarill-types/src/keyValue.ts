/** The platform's key-value service as the system uses it. */

export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the last change of this key. */
  readonly revision: number;
  /** Revision at which this key was created. */
  readonly createRevision: number;
}

/** The call had no effect. */
export interface KeyValueUnavailable {
  readonly kind: 'unavailable';
  readonly message: string;
}

/** The call may have taken effect; the answer was lost. */
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

/** A comparison failed; nothing was written. `current` are the compared keys as they are now. */
export interface KeyValueConflict {
  readonly kind: 'conflict';
  readonly revision: number;
  readonly current: readonly KeyValueEntry[];
}

export interface KeyComparison {
  readonly key: string;
  /** Revision the key must have; 0 for a key that must not exist. */
  readonly revision: number;
}

export interface KeyWrite {
  readonly key: string;
  /** Absent: the key is removed. */
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
  /** Absent: the key was removed. */
  readonly entry?: KeyValueEntry;
  readonly revision: number;
}

export interface WatchChanges {
  readonly kind: 'changes';
  readonly revision: number;
  readonly changes: readonly KeyChange[];
}

/** Changes between the revision asked for and `oldestRevision` are gone: read the range again. */
export interface WatchCompacted {
  readonly kind: 'compacted';
  readonly oldestRevision: number;
}

export type WatchEvent = WatchChanges | WatchCompacted;

/** Some of the entries under a prefix, in the order of their keys. Pages are no snapshot. */
export interface KeyValuePage extends Omit<KeyValueRange, 'kind'> {
  readonly kind: 'page';
  /** More follow after the last entry. */
  readonly hasMore: boolean;
}

/** Capability `keyValue`. Each call counts against the platform's budget. */
export interface KeyValueStore {
  /** Entries after a key; the empty one stands for the beginning. */
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
  /** Ends when the connection breaks or the signal is aborted; the caller reads and watches anew. */
  readonly watchPrefix: (
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
    /** Longest time until an event tells at least that nothing has changed, milliseconds. */
    waitMs?: number,
  ) => AsyncGenerator<WatchEvent, void, void>;
}
