/** What the directory tells of each service's roll-out: the order, its state, and the split that follows. */
import * as Decisions from '@sequoiarill/decisions';
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

export interface SeenOrder extends RolloutOrder {
  readonly key: string;
  readonly revision: number;
  /** Monotonic milliseconds. */
  readonly seenAtMs: number;
}

export interface SeenRecord extends RolloutRecord {
  readonly revision: number;
  readonly seenAtMs: number;
}

export interface RolloutView {
  readonly service: string;
  /** Undefined when the order was withdrawn. */
  readonly order: SeenOrder | undefined;
  /** Of this order or an earlier one. */
  readonly record: SeenRecord | undefined;
  readonly split: RolloutSplit;
}

export interface RolloutViews {
  readonly get: (service: string) => RolloutView | undefined;
  readonly list: () => readonly RolloutView[];
  /** Looks at the directory again. */
  readonly update: () => void;
}

export interface RolloutViewsOptions {
  readonly directory: Pick<Directory, 'listEntries' | 'listTargets'>;
  readonly wire: ForwardingWire;
  readonly recordPrefix: string;
  readonly getNowMs: () => number;
  readonly logEvent: LogEvent;
}

const NONE: ReadonlySet<string> = new Set();

export function isEnded(phase: RolloutPhase): boolean {
  return phase === 'completed' || phase === 'rolledBack';
}

function findServiceVersion(
  order: RolloutOrder,
  record: RolloutRecord | undefined,
  targets: readonly ForwardingTarget[],
): string {
  if (record === undefined) {
    return Decisions.findBaseVersion(targets, order.toVersion) ?? order.toVersion;
  }
  return record.phase === 'completed' ? record.toVersion : record.fromVersion;
}

function createSplit(
  order: SeenOrder | undefined,
  record: SeenRecord | undefined,
  targets: readonly ForwardingTarget[],
): RolloutSplit | undefined {
  const isAnswered = order === undefined || (record?.orderRevision ?? -1) >= order.revision;
  if (record !== undefined && isAnswered) {
    const { fromVersion, toVersion, share } = record;
    // Withdrawn before its end: nothing more is risked.
    const phase = order === undefined && !isEnded(record.phase) ? 'rolledBack' : record.phase;
    return { phase, fromVersion, toVersion, share, avoided: NONE };
  }
  if (order === undefined) return undefined;
  const { toVersion } = order;
  const fromVersion = findServiceVersion(order, record, targets);
  return { phase: 'ordered', fromVersion, toVersion, share: 0, avoided: NONE };
}

export function createRolloutViews(options: RolloutViewsOptions): RolloutViews {
  const { directory, wire, recordPrefix, getNowMs, logEvent } = options;
  const orders = new Map<string, SeenOrder>();
  const records = new Map<string, SeenRecord>();
  const refused = new Map<string, number>();
  let views: ReadonlyMap<string, RolloutView> = new Map();

  function applyOrder({ key, revision, value }: StoredEntry): void {
    const service = key.slice(wire.rolloutPrefix.length);
    if (orders.get(service)?.revision === revision || refused.get(key) === revision) return;
    const decoded = wire.decodeRolloutOrder(value);
    if (decoded.kind === 'order') {
      orders.set(service, { ...decoded.order, service, key, revision, seenAtMs: getNowMs() });
      return;
    }
    refused.set(key, revision);
    logEvent(Events.ORDER_REFUSED, { key, revision, reason: decoded.reason });
  }

  function applyRecord({ key, revision, value }: StoredEntry): void {
    const service = key.slice(recordPrefix.length);
    if (records.get(service)?.revision === revision) return;
    const record = RolloutRecords.decodeRecord(value);
    if (record !== undefined) records.set(service, { ...record, revision, seenAtMs: getNowMs() });
  }

  function createView(service: string): readonly [string, RolloutView] | undefined {
    const order = orders.get(service);
    const record = records.get(service);
    const split = createSplit(order, record, directory.listTargets(service));
    return split === undefined ? undefined : [service, { service, order, record, split }];
  }

  return {
    get: (service) => views.get(service),
    list: () => [...views.values()],
    update() {
      const stored = directory.listEntries(wire.rolloutPrefix);
      stored.forEach(applyOrder);
      directory.listEntries(recordPrefix).forEach(applyRecord);
      const present = new Set(stored.map(({ key }) => key));
      for (const [service, { key }] of orders) if (!present.has(key)) orders.delete(service);
      const services = new Set([...orders.keys(), ...records.keys()]);
      views = new Map(
        [...services].flatMap((service) => {
          const view = createView(service);
          return view === undefined ? [] : [view];
        }),
      );
    },
  };
}
