/** State of routes, targets and routers, merged by revision from the store and from peers. */
import type {
  Directory,
  ForwardingConfiguration,
  ForwardingTarget,
  ForwardingWire,
  LogEvent,
} from '@sequoiarill/types';

import * as DelayedRemovals from './delayedRemovals';
import * as DirectoryKeys from './directoryKeys';
import * as Events from './events';
import * as RecordCaches from './recordCache';
import type { DirectoryRecord } from './recordCache';
import * as RouterEntries from './routerEntry';
import type { RouterEntry } from './routerEntry';
import * as TargetRegistries from './targetRegistry';

export interface DirectoryState extends Omit<Directory, 'isUpToDate'> {
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
  const targets = TargetRegistries.createTargetRegistry();
  const listeners = new Set<() => void>();
  const routers = new Map<string, RouterEntry>();
  let configuration: ForwardingConfiguration | undefined;
  let targetsByService: ReadonlyMap<string, readonly ForwardingTarget[]> = new Map();
  const removals = DelayedRemovals.createDelayedRemovals(targets, getNowMs);
  /** Keys of replacement targets that no record has confirmed. */
  const replacementKeys = new Set<string>();

  function applyConfiguration(record: DirectoryRecord): void {
    if (record.value === undefined) return;
    const decoded = wire.decodeConfiguration(record.value);
    if (decoded.kind === 'malformed') {
      logEvent(Events.CONFIGURATION_REFUSED, { revision: record.revision, reason: decoded.reason });
      return;
    }
    configuration = decoded.configuration;
    const { version, routes } = configuration;
    logEvent(Events.CONFIGURATION_APPLIED, {
      version,
      revision: record.revision,
      routes: routes.length,
    });
  }

  function applyTarget({ key, revision, value }: DirectoryRecord): void {
    removals.cancelRemoval(key);
    const isReplacement = replacementKeys.delete(key);
    const known = targets.find(key);
    if (value === undefined) {
      removals.removeTarget(key);
      return;
    }
    const decoded = wire.decodeTarget(key, value);
    if (decoded.kind === 'target') {
      targets.set(key, decoded.target);
      // The entry gives the start time of the same incarnation, which was not known before.
      if (isReplacement && known?.state === 'draining') targets.markLeaving(key, decoded.target);
    } else {
      targets.remove(key);
      logEvent(Events.TARGET_REFUSED, { key, revision, reason: decoded.reason });
    }
  }

  /**
   * Failure: engines crash and restart during a store outage. Their new incarnations are unknown,
   * so each crash leaves fewer targets, and a stream is refused by one target after another. An
   * incarnation found at a known address therefore replaces the previous one, until the store
   * reports it or does not confirm it.
   */
  function recordReplacement(replaced: ForwardingTarget, id: string): void {
    const key = `${wire.targetPrefix}${id}`;
    if (targets.find(key) !== undefined) return;
    const startedAtUnixMs = replaced.startedAtUnixMs + 1;
    targets.set(key, { ...replaced, id, startedAtUnixMs, state: 'ready' });
    if (targets.find(key) === undefined) return;
    replacementKeys.add(key);
    logEvent(Events.TARGET_LEARNED, { target: id, replaced: replaced.id, zone: replaced.zone });
    reportChange();
  }

  function recordLeaving(target: ForwardingTarget): void {
    if (findCurrent(target)?.state === 'draining') return;
    targets.markLeaving(`${wire.targetPrefix}${target.id}`, target);
    reportChange();
  }

  function findCurrent(target: ForwardingTarget): ForwardingTarget | undefined {
    const current = targets.find(`${wire.targetPrefix}${target.id}`);
    return current?.startedAtUnixMs === target.startedAtUnixMs ? current : undefined;
  }

  function applyRouter({ key, value }: DirectoryRecord): void {
    const entry = value === undefined ? undefined : RouterEntries.decodeRouter(value);
    if (entry === undefined) routers.delete(key);
    else routers.set(key, entry);
  }

  function applyRecord(record: DirectoryRecord): boolean {
    const kind = DirectoryKeys.decideKeyKind(wire, record.key);
    if (kind === 'other' || !recordCache.addRecord(record)) return false;
    if (kind === 'configuration') applyConfiguration(record);
    else if (kind === 'router') applyRouter(record);
    else if (kind === 'target') applyTarget(record);
    return true;
  }

  function reportChange(): void {
    targetsByService = targets.buildGroupsByService();
    listeners.forEach((listener) => listener());
  }

  function applyRecords(records: readonly DirectoryRecord[]): void {
    const changed = records.filter(applyRecord);
    if (changed.length === 0) return;
    reportChange();
    const changedTargets = changed.filter(({ key }) => key.startsWith(wire.targetPrefix));
    if (changedTargets.length === 0) return;
    const removed = changedTargets.filter(({ value }) => value === undefined).length;
    logEvent(Events.TARGETS_CHANGED, {
      revision: recordCache.getRevision(),
      written: changedTargets.length - removed,
      removed,
      known: targets.getSize(),
    });
  }

  return {
    getConfiguration: () => configuration,
    listTargets: (service) => targetsByService.get(service) ?? [],
    findCurrent,
    recordReplacement,
    recordLeaving,
    countRouters: () => Math.max(1, routers.size),
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    listEntries: (prefix) => recordCache.listEntries(prefix),
    recordEntry: (entry) => applyRecords([entry]),
    applyRecords,
    applySnapshot(records, snapshotRevision) {
      const presentKeys = new Set(records.map(({ key }) => key));
      const missingKeys = recordCache.listMissingKeys(presentKeys, snapshotRevision);
      const removedRecords = missingKeys.map((key) => ({ key, revision: snapshotRevision }));
      applyRecords([...records, ...removedRecords]);
    },
    delayRemovalsUntil: (untilMs) => removals.delayUntil(untilMs, replacementKeys),
    removeDueTargets() {
      const dueKeys = removals.takeDue();
      if (dueKeys.length === 0) return;
      dueKeys.forEach((key) => replacementKeys.delete(key));
      reportChange();
    },
    getRevision: recordCache.getRevision,
    listRouters: () => [...routers.values()],
    listRecordsAfter: recordCache.listRecordsAfter,
  };
}
