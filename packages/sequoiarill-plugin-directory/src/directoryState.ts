/** What is known of routes and targets, merged by revision from the store and from peers. */
import type {
  Directory,
  ForwardingConfiguration,
  ForwardingTarget,
  ForwardingWire,
  LogEvent,
} from '@sequoiarill/types';

import * as Events from './events';
import * as HeldRemovals from './heldRemovals';
import * as RecordLogs from './recordLog';
import type { DirectoryRecord } from './recordLog';
import * as RouterEntries from './routerEntry';
import type { RouterEntry } from './routerEntry';
import * as TargetTables from './targetTable';

export interface DirectoryState extends Omit<Directory, 'isUpToDate'> {
  /** Takes in what is newer than what is known; older records change nothing. */
  readonly applyRecords: (records: readonly DirectoryRecord[]) => void;
  /**
   * Takes in everything that the store held at a revision. What is known and missing there was
   * removed; while removals are held, such targets stay known as unconfirmed.
   */
  readonly applyAll: (records: readonly DirectoryRecord[], revision: number) => void;
  /**
   * The store is back: removals of targets before this moment wait for it, and so do those of targets
   * that were learned meanwhile and that it does not confirm. Monotonic milliseconds.
   */
  readonly holdRemovalsUntil: (untilMs: number) => void;
  /** Carries out removals that waited long enough. */
  readonly removeDue: () => void;
  /** Highest revision of a record that was taken in. */
  readonly getRevision: () => number;
  /** What routers wrote of themselves. */
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
  const log = RecordLogs.createRecordLog();
  const targets = TargetTables.createTargetTable();
  const listeners = new Set<() => void>();
  const routers = new Map<string, RouterEntry>();
  let configuration: ForwardingConfiguration | undefined;
  let byService: ReadonlyMap<string, readonly ForwardingTarget[]> = new Map();
  const removals = HeldRemovals.createHeldRemovals(targets, getNowMs);
  /** Keys of targets that were learned and that no record has confirmed. */
  const learnedKeys = new Set<string>();

  function isRouter(key: string): boolean {
    return key.startsWith(`${wire.ownPrefix}routers/`);
  }

  function isTarget(key: string): boolean {
    return key.startsWith(wire.targetPrefix);
  }

  function isOurs(key: string): boolean {
    const isRollout = key.startsWith(wire.rolloutPrefix);
    const isOwn = key.startsWith(wire.ownPrefix);
    return key === wire.configurationKey || isTarget(key) || isRollout || isOwn;
  }

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

  function applyTarget({ key, revision: changed, value }: DirectoryRecord): void {
    removals.releaseTarget(key);
    learnedKeys.delete(key);
    if (value === undefined) {
      removals.removeTarget(key);
      return;
    }
    const decoded = wire.decodeTarget(key, value);
    if (decoded.kind === 'target') {
      targets.set(key, decoded.target);
    } else {
      targets.remove(key);
      logEvent(Events.TARGET_REFUSED, { key, revision: changed, reason: decoded.reason });
    }
  }

  /**
   * Failure: engines crash and start again while the store is away. Their new lives are unknown, so the
   * directory shrinks with each crash, and a stream meets one refusal after another. A life met at a
   * known address takes the place of the one before, until the store tells or does not confirm it.
   */
  function recordReplacement(replaced: ForwardingTarget, id: string): void {
    const key = `${wire.targetPrefix}${id}`;
    if (targets.find(key) !== undefined) return;
    const startedAtUnixMs = replaced.startedAtUnixMs + 1;
    targets.set(key, { ...replaced, id, startedAtUnixMs, state: 'ready' });
    if (targets.find(key) === undefined) return;
    learnedKeys.add(key);
    logEvent(Events.TARGET_LEARNED, { target: id, replaced: replaced.id, zone: replaced.zone });
    reportChange();
  }

  function applyRouter({ key, value }: DirectoryRecord): void {
    const entry = value === undefined ? undefined : RouterEntries.decodeRouter(value);
    if (entry === undefined) routers.delete(key);
    else routers.set(key, entry);
  }

  function applyRecord(record: DirectoryRecord): boolean {
    if (!isOurs(record.key) || !log.addRecord(record)) return false;
    if (record.key === wire.configurationKey) applyConfiguration(record);
    else if (isRouter(record.key)) applyRouter(record);
    else if (isTarget(record.key)) applyTarget(record);
    return true;
  }

  function reportChange(): void {
    byService = targets.buildGroups();
    listeners.forEach((listener) => listener());
  }

  function applyRecords(news: readonly DirectoryRecord[]): void {
    const changed = news.filter(applyRecord);
    if (changed.length === 0) return;
    reportChange();
    const changedTargets = changed.filter(({ key }) => isTarget(key));
    if (changedTargets.length === 0) return;
    const removed = changedTargets.filter(({ value }) => value === undefined).length;
    logEvent(Events.TARGETS_CHANGED, {
      revision: log.getRevision(),
      written: changedTargets.length - removed,
      removed,
      known: targets.getSize(),
    });
  }

  return {
    getConfiguration: () => configuration,
    listTargets: (service) => byService.get(service) ?? [],
    findCurrent(target) {
      const known = targets.find(`${wire.targetPrefix}${target.id}`);
      return known?.startedAtUnixMs === target.startedAtUnixMs ? known : undefined;
    },
    recordReplacement,
    countRouters: () => Math.max(1, routers.size),
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    listEntries: (prefix) => log.listValues(prefix),
    recordEntry: (entry) => applyRecords([entry]),
    applyRecords,
    applyAll(all, readRevision) {
      const present = new Set(all.map(({ key }) => key));
      const missing = log.listMissing(present, readRevision);
      const gone = missing.map((key) => ({ key, revision: readRevision }));
      applyRecords([...all, ...gone]);
    },
    holdRemovalsUntil: (untilMs) => removals.holdUntil(untilMs, learnedKeys),
    removeDue() {
      const due = removals.takeDue();
      if (due.length === 0) return;
      due.forEach((key) => learnedKeys.delete(key));
      reportChange();
    },
    getRevision: log.getRevision,
    listRouters: () => [...routers.values()],
    listRecordsAfter: log.listAfter,
  };
}
