/** State of routes, targets and routers, merged by revision from the store and from peers. */
import * as Kernel from '@sequoiarill/kernel';
import type { Directory, ForwardingTarget, ForwardingWire, LogEvent } from '@sequoiarill/types';

import * as ConfigurationStates from './configurationState';
import * as DeferredRecords from './deferredRecords';
import * as DelayedRemovals from './delayedRemovals';
import * as DirectoryKeys from './directoryKeys';
import * as DirectoryTargets from './directoryTargets';
import * as EntryLimits from './entryLimits';
import * as Events from './events';
import * as RecordCaches from './recordCache';
import type { DirectoryRecord } from './recordCache';
import * as RouterEntries from './routerEntry';
import type { RouterEntry } from './routerEntry';

const { getEra, splitRevision } = Kernel.Revisions;

export interface DirectoryState extends Omit<
  Directory,
  'isUpToDate' | 'getConfirmedAgeMs' | 'verifySince'
> {
  /** Leaves out the content of an entry that is far too long for its kind, and logs it. */
  readonly applyLimit: (record: DirectoryRecord) => DirectoryRecord;
  /** Applies records that are newer than the known ones. Older records have no effect. */
  readonly applyRecords: (records: readonly DirectoryRecord[]) => void;
  /**
   * Applies the complete content of the store at a revision. Known keys that are missing from it
   * were removed; while removals are delayed, such targets are kept as unconfirmed.
   */
  readonly applySnapshot: (records: readonly DirectoryRecord[], revision: number) => void;
  /**
   * Delays removals of targets until this time, in monotonic milliseconds. Called when the store
   * responds again and for updates from peers. Replacements that no record has confirmed become
   * unconfirmed, and are removed at that time unless the store confirms them.
   */
  readonly delayRemovalsUntil: (untilMs: number) => void;
  /** Removes targets whose delay has passed. */
  readonly removeDueTargets: () => void;
  /** Highest revision among the applied records. */
  readonly getRevision: () => number;
  /** Latest era of the store that a record or a snapshot has shown. */
  readonly getEra: () => number;
  /** Entries that routers wrote about themselves. */
  readonly listRouters: () => readonly RouterEntry[];
  readonly listRecordsAfter: (revision: number) => readonly DirectoryRecord[];
}

export interface DirectoryStateOptions {
  readonly wire: ForwardingWire;
  readonly logEvent: LogEvent;
  readonly getNowMs: () => number;
}

export function createDirectoryState(options: DirectoryStateOptions): DirectoryState {
  const { wire, logEvent, getNowMs } = options;
  const recordCache = RecordCaches.createRecordCache();
  const targets = DirectoryTargets.createDirectoryTargets({ wire, logEvent, getNowMs });
  const configurations = ConfigurationStates.createConfigurationState({
    wire,
    logEvent,
    recordCache,
  });
  const listeners = new Set<() => void>();
  const routers = new Map<string, RouterEntry>();
  let targetsByService: ReadonlyMap<string, readonly ForwardingTarget[]> = new Map();
  let knownEra = 0;
  const deferred = DeferredRecords.createDeferredRecords();

  function applyRouter({ key, value, revision }: DirectoryRecord): void {
    const entry = value === undefined ? undefined : RouterEntries.decodeRouter(value);
    if (entry === undefined) routers.delete(key);
    else {
      const name = key.slice(key.lastIndexOf('/') + 1);
      routers.set(key, { ...entry, name, registration: revision });
    }
  }

  function applyRecord(record: DirectoryRecord): boolean {
    const kind = DirectoryKeys.decideKeyKind(wire, record.key);
    if (kind === 'other') return false;
    if (kind === 'configuration') return configurations.applyRecord(record);
    if (isReturned(record)) {
      deferred.add(record);
      return false;
    }
    if (!deferred.replace(record) || !recordCache.addRecord(record)) return false;
    if (kind === 'router') applyRouter(record);
    else if (kind === 'target') targets.applyRecord(record);
    return true;
  }

  /**
   * Whether the record is of a target that had been removed before the store was restored. It has left, unless
   * it writes its entry again.
   */
  function isReturned({ key, revision, value }: DirectoryRecord): boolean {
    if (value === undefined || !targets.isDelaying() || !key.startsWith(wire.targetPrefix)) {
      return false;
    }
    const existing = recordCache.findRecord(key);
    const isOlder = existing !== undefined && getEra(existing.revision) < getEra(revision);
    return isOlder && existing.value === undefined && !deferred.isHolding(key);
  }

  function reportChange(): void {
    targetsByService = targets.buildGroupsByService();
    listeners.forEach((listener) => listener());
  }

  /**
   * Failure: a store is restored from an older copy, and entries that the copy lacks would be removed although
   * their targets run. They write them again, as after an outage.
   */
  function checkEra(records: readonly DirectoryRecord[]): void {
    const era = Math.max(knownEra, ...records.map(({ revision }) => getEra(revision)));
    const before = knownEra;
    knownEra = era;
    if (recordCache.getRevision() === 0 || era === before) return;
    logEvent(Events.STORE_RESTORED, { era, before });
    targets.delayRemovalsUntil(getNowMs() + DelayedRemovals.REREGISTRATION_MS);
  }

  function applyLimit(received: DirectoryRecord): DirectoryRecord {
    const { record, isTooLong } = EntryLimits.applyLimit(wire, received);
    if (isTooLong) {
      const { key, revision, value } = received;
      logEvent(Events.ENTRY_TOO_LONG, {
        key,
        ...splitRevision(revision),
        characters: value?.length,
      });
    }
    return record;
  }

  function applyRecords(received: readonly DirectoryRecord[]): void {
    const records = received.map(applyLimit);
    checkEra(records);
    const changed = records.filter(applyRecord);
    if (changed.length === 0) return;
    reportChange();
    const changedTargets = changed.filter(({ key }) => key.startsWith(wire.targetPrefix));
    if (changedTargets.length === 0) return;
    const removed = changedTargets.filter(({ value }) => value === undefined).length;
    logEvent(Events.TARGETS_CHANGED, {
      ...splitRevision(recordCache.getRevision()),
      written: changedTargets.length - removed,
      removed,
      known: targets.getSize(),
    });
  }

  return {
    getConfiguration: configurations.get,
    listTargets: (service) => targetsByService.get(service) ?? [],
    findCurrent: targets.findCurrent,
    recordReplacement(replaced, id) {
      if (targets.recordReplacement(replaced, id)) reportChange();
    },
    recordLeaving(target) {
      if (targets.recordLeaving(target)) reportChange();
    },
    countRouters: () => Math.max(1, routers.size),
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    listEntries: (prefix) => recordCache.listEntries(prefix),
    recordEntry: (entry) => applyRecords([entry]),
    applyLimit,
    applyRecords,
    applySnapshot(records, snapshotRevision) {
      const presentKeys = new Set(records.map(({ key }) => key));
      const missingKeys = recordCache.listMissingKeys(presentKeys, snapshotRevision);
      const removedRecords = missingKeys.map((key) => ({ key, revision: snapshotRevision }));
      checkEra([...records, ...removedRecords]);
      const isDeferred = ({ key }: DirectoryRecord) =>
        targets.isDelaying() && !key.startsWith(wire.targetPrefix);
      removedRecords.filter(isDeferred).forEach(deferred.add);
      applyRecords([...records, ...removedRecords.filter((record) => !isDeferred(record))]);
    },
    delayRemovalsUntil: targets.delayRemovalsUntil,
    removeDueTargets() {
      if (!targets.isDelaying()) applyRecords(deferred.takeAll());
      if (targets.removeDue()) reportChange();
    },
    getRevision: recordCache.getRevision,
    getEra: () => knownEra,
    listRouters: () => [...routers.values()],
    listRecordsAfter: recordCache.listRecordsAfter,
  };
}
