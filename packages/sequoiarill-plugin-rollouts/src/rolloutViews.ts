/** View of each service's roll-out from the directory: its order, its state and the resulting split. */
import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type { RolloutSplit } from '@sequoiarill/decisions';
import type {
  Directory,
  ForwardingTarget,
  ForwardingWire,
  LogEvent,
  RolloutOrder,
  RolloutPhase,
  StoredEntry,
} from '@sequoiarill/types';

import * as Events from './events';
import * as RolloutRecords from './rolloutRecord';
import type { RolloutRecord } from './rolloutRecord';

const { isSameChange } = Kernel.Revisions;

export interface ObservedOrder extends RolloutOrder {
  readonly key: string;
  readonly revision: number;
  /** Time at which this router read the entry, monotonic milliseconds. */
  readonly readAtMs: number;
}

export interface ObservedRecord extends RolloutRecord {
  readonly revision: number;
  readonly readAtMs: number;
}

export interface RolloutView {
  readonly service: string;
  /** Undefined if the order was withdrawn. */
  readonly order: ObservedOrder | undefined;
  /** State of this order or of an earlier one. */
  readonly record: ObservedRecord | undefined;
  readonly split: RolloutSplit;
}

export interface RolloutViews {
  readonly get: (service: string) => RolloutView | undefined;
  readonly list: () => readonly RolloutView[];
  /** Rebuilds the views from the directory. */
  readonly update: () => void;
}

export interface RolloutViewsOptions {
  readonly directory: Pick<Directory, 'listEntries' | 'listTargets'>;
  readonly wire: ForwardingWire;
  readonly recordPrefix: string;
  readonly getNowMs: () => number;
  readonly logEvent: LogEvent;
}

const NO_TARGETS: ReadonlySet<string> = new Set();

export function isFinalPhase(phase: RolloutPhase): boolean {
  return phase === 'completed' || phase === 'rolledBack';
}

function findVersionInService(
  order: RolloutOrder,
  record: RolloutRecord | undefined,
  targets: readonly ForwardingTarget[],
): string {
  if (record === undefined) {
    return Decisions.findBaseVersion(targets, order.toVersion) ?? order.toVersion;
  }
  return record.phase === 'completed' ? record.toVersion : record.fromVersion;
}

/** Whether the record is of this order or of a later one. */
function isHandled(order: ObservedOrder, record: ObservedRecord | undefined): boolean {
  if (record === undefined) return false;
  const { orderRevision } = record;
  return orderRevision >= order.revision || isSameChange(orderRevision, order.revision);
}

function buildSplit(
  order: ObservedOrder | undefined,
  record: ObservedRecord | undefined,
  targets: readonly ForwardingTarget[],
): RolloutSplit | undefined {
  const isOrderHandled = order === undefined || isHandled(order, record);
  if (record !== undefined && isOrderHandled) {
    const { fromVersion, toVersion, share } = record;
    // The order was withdrawn before its end: the new version gets no more requests.
    const phase = order === undefined && !isFinalPhase(record.phase) ? 'rolledBack' : record.phase;
    return { phase, fromVersion, toVersion, share, avoided: NO_TARGETS };
  }
  if (order === undefined) return undefined;
  const { toVersion } = order;
  const fromVersion = findVersionInService(order, record, targets);
  return { phase: 'ordered', fromVersion, toVersion, share: 0, avoided: NO_TARGETS };
}

export function createRolloutViews(options: RolloutViewsOptions): RolloutViews {
  const { directory, wire, recordPrefix, getNowMs, logEvent } = options;
  const orders = new Map<string, ObservedOrder>();
  const records = new Map<string, ObservedRecord>();
  const refusals = new Map<string, number>();
  let views: ReadonlyMap<string, RolloutView> = new Map();

  function applyOrder({ key, revision, value }: StoredEntry): void {
    const service = key.slice(wire.rolloutPrefix.length);
    if (orders.get(service)?.revision === revision || refusals.get(key) === revision) return;
    const decoded = wire.decodeRolloutOrder(value);
    if (decoded.kind === 'order') {
      orders.set(service, { ...decoded.order, service, key, revision, readAtMs: getNowMs() });
      return;
    }
    refusals.set(key, revision);
    logEvent(Events.ORDER_REFUSED, { key, revision, reason: decoded.reason });
  }

  function applyRecord({ key, revision, value }: StoredEntry): void {
    const service = key.slice(recordPrefix.length);
    if (records.get(service)?.revision === revision) return;
    const record = RolloutRecords.decodeRecord(value);
    if (record !== undefined) records.set(service, { ...record, revision, readAtMs: getNowMs() });
  }

  /**
   * Failure: the store is restored from a copy that lacks a state, and no step is written any more, since each
   * would compare the revision that the state had. The state itself stays in force.
   */
  function markLostRecords(presentKeys: ReadonlySet<string>): void {
    for (const [service, record] of records) {
      const isLost = !presentKeys.has(`${recordPrefix}${service}`);
      if (isLost && record.revision !== 0) records.set(service, { ...record, revision: 0 });
    }
  }

  function buildView(service: string): readonly [string, RolloutView] | undefined {
    const order = orders.get(service);
    const record = records.get(service);
    const split = buildSplit(order, record, directory.listTargets(service));
    return split === undefined ? undefined : [service, { service, order, record, split }];
  }

  return {
    get: (service) => views.get(service),
    list: () => [...views.values()],
    update() {
      const stored = directory.listEntries(wire.rolloutPrefix);
      stored.forEach(applyOrder);
      const storedRecords = directory.listEntries(recordPrefix);
      storedRecords.forEach(applyRecord);
      markLostRecords(new Set(storedRecords.map(({ key }) => key)));
      const presentKeys = new Set(stored.map(({ key }) => key));
      for (const [service, { key }] of orders) if (!presentKeys.has(key)) orders.delete(service);
      const services = new Set([...orders.keys(), ...records.keys()]);
      views = new Map(
        [...services].flatMap((service) => {
          const view = buildView(service);
          return view === undefined ? [] : [view];
        }),
      );
    },
  };
}
