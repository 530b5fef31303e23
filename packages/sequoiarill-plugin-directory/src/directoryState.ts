/** What is known of routes and targets, merged by revision from the store and from peers. */
import type {
  Directory,
  ForwardingConfiguration,
  ForwardingTarget,
  ForwardingWire,
  LogEvent,
} from '@sequoiarill/types';

import * as Events from './events';
import * as TargetTables from './targetTable';

/** One key as somebody saw it. Without a value it was removed at that revision. */
export interface DirectoryRecord {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
}

export interface DirectoryState extends Directory {
  /** Takes in what is newer than what is known; older records change nothing. */
  readonly applyRecords: (records: readonly DirectoryRecord[]) => void;
  /**
   * Takes in everything that the store held at a revision. What is known and missing there was
   * removed; until `keepUntilMs` such targets stay in use.
   */
  readonly applyAll: (records: readonly DirectoryRecord[], revision: number) => void;
  /** Removals of targets before this moment wait for it. Monotonic milliseconds. */
  readonly holdRemovalsUntil: (untilMs: number) => void;
  /** Carries out removals that waited long enough. */
  readonly removeDue: () => void;
  /** Highest revision of a record that was taken in. */
  readonly getRevision: () => number;
  readonly listRecordsAfter: (revision: number) => readonly DirectoryRecord[];
}

export interface DirectoryStateOptions {
  readonly wire: ForwardingWire;
  readonly logEvent: LogEvent;
  readonly getNowMs: () => number;
}

/** Tombstones beyond this are forgotten, oldest first: some hours of restarts at the target size. */
const MAX_TOMBSTONES = 2_000;

export function createDirectoryState(options: DirectoryStateOptions): DirectoryState {
  const { wire, logEvent, getNowMs } = options;
  const records = new Map<string, DirectoryRecord>();
  const targets = TargetTables.createTargetTable();
  const listeners = new Set<() => void>();
  let configuration: ForwardingConfiguration | undefined;
  let byService: ReadonlyMap<string, readonly ForwardingTarget[]> = new Map();
  let revision = 0;
  let removalsHeldUntilMs = 0;
  let heldRemovals = new Set<string>();

  function isOurs(key: string): boolean {
    return key === wire.configurationKey || key.startsWith(wire.targetPrefix);
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
    heldRemovals.delete(key);
    if (value === undefined) {
      removeTarget(key);
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
   * Failure: entries lapse while the store is away, although their targets live, and the store says
   * so when it is back. Without the delay a whole service would seem gone for about two seconds,
   * until its targets have written their entries again.
   */
  function removeTarget(key: string): void {
    if (getNowMs() < removalsHeldUntilMs && targets.find(key) !== undefined) heldRemovals.add(key);
    else targets.remove(key);
  }

  function recordOne(record: DirectoryRecord): boolean {
    const known = records.get(record.key);
    if (!isOurs(record.key) || (known !== undefined && known.revision >= record.revision)) {
      return false;
    }
    // Moves it to the end, so that the oldest tombstones come first.
    records.delete(record.key);
    records.set(record.key, record);
    revision = Math.max(revision, record.revision);
    if (record.key === wire.configurationKey) applyConfiguration(record);
    else applyTarget(record);
    return true;
  }

  function removeOldTombstones(): void {
    let excess = records.size - targets.getSize() - MAX_TOMBSTONES;
    for (const [key, record] of records) {
      if (excess <= 0) return;
      if (record.value === undefined) {
        records.delete(key);
        excess -= 1;
      }
    }
  }

  function reportChange(): void {
    byService = targets.buildGroups();
    removeOldTombstones();
    listeners.forEach((listener) => listener());
  }

  function applyRecords(news: readonly DirectoryRecord[]): void {
    const changed = news.filter(recordOne);
    if (changed.length === 0) return;
    reportChange();
    const changedTargets = changed.filter(({ key }) => key !== wire.configurationKey);
    if (changedTargets.length === 0) return;
    const removed = changedTargets.filter(({ value }) => value === undefined).length;
    logEvent(Events.TARGETS_CHANGED, {
      revision,
      written: changedTargets.length - removed,
      removed,
      known: targets.getSize(),
    });
  }

  return {
    getConfiguration: () => configuration,
    listTargets: (service) => byService.get(service) ?? [],
    isCurrent(target) {
      const known = targets.find(`${wire.targetPrefix}${target.id}`);
      return known !== undefined && known.startedAtUnixMs === target.startedAtUnixMs;
    },
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    applyRecords,
    applyAll(all, readRevision) {
      const present = new Set(all.map(({ key }) => key));
      const missing = [...records.values()].filter(
        (known) =>
          known.value !== undefined && known.revision <= readRevision && !present.has(known.key),
      );
      const removals = missing.map(({ key }) => ({ key, revision: readRevision }));
      applyRecords([...all, ...removals]);
    },
    holdRemovalsUntil(untilMs) {
      removalsHeldUntilMs = Math.max(removalsHeldUntilMs, untilMs);
    },
    removeDue() {
      if (heldRemovals.size === 0 || getNowMs() < removalsHeldUntilMs) return;
      const due = heldRemovals;
      heldRemovals = new Set();
      due.forEach((key) => targets.remove(key));
      reportChange();
    },
    getRevision: () => revision,
    listRecordsAfter: (after) => [...records.values()].filter((one) => one.revision > after),
  };
}
