/**
 * Stores what began the streams of this router's callers, many streams in one write.
 *
 * Failure: all routers end at the same moment while several builds serve. None of those that start knows what began the
 * open streams, and each is refused.
 */
import type {
  Clock,
  Directory,
  ForwardingWire,
  KeyValueStore,
  OriginRecord,
  RouterPeers,
} from '@sequoiarill/types';

import * as StoredStreams from './storedStreams';

export interface StoredStreamWriter {
  /** Stores the record with others, once several builds may have begun streams of its service. */
  readonly addRecord: (record: OriginRecord) => void;
  /** Must be called regularly: writes what is due. */
  readonly update: () => Promise<void>;
}

export interface StoredStreamWriterOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly wire: Pick<ForwardingWire, 'streamPrefix'>;
  readonly directory: Pick<Directory, 'isUpToDate'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  readonly store: Pick<KeyValueStore, 'writeTransaction' | 'grantLease' | 'refreshLease'>;
  readonly nextRandom: () => number;
  /** Whether streams of the service may be of more than one build. */
  readonly hasSeveralBuilds: (service: string) => boolean;
}

/** A stream whose router ends earlier after its first event is refused when its caller resumes it. */
const MIN_INTERVAL_MS = 500;
/** Bounds what all routers together ask of the store, whose limit is some hundred writes a second. */
const FLEET_WRITES_PER_SECOND = 40;
/** Bounds the bytes that all who watch the store receive: at most 50 for each stream. */
const FLEET_STREAMS_PER_SECOND = 400;
/** Bounds the memory while nothing can be written; the oldest are dropped. */
const MAX_PENDING = 20_000;
/** Old entries that one write removes; a transaction may change 32 keys. */
const MAX_REMOVED = 30;
/** Length of a lease, as a multiple of the time for which its entries are needed: it is renewed in the rest. */
const LEASE_FACTOR = 1.25;
/** The platform grants leases up to this length. */
const MAX_LEASE_MS = 600_000;
const MS_PER_SECOND = 1_000;

interface Pending {
  readonly record: OriginRecord;
  readonly expiresAtMs: number;
}

interface WrittenEntry {
  readonly key: string;
  readonly expiresAtMs: number;
}

interface Lease {
  readonly id: string;
  /** When it ends at the latest unless it is renewed. */
  readonly endsAtMs: number;
}

/** Time between two writes or reads of one router of the fleet, milliseconds. */
export function computeIntervalMs(routers: number): number {
  return Math.max(MIN_INTERVAL_MS, (routers / FLEET_WRITES_PER_SECOND) * MS_PER_SECOND);
}

/** Most streams in one write. */
function computeMaxStreams(routers: number): number {
  const perRouterAndSecond = FLEET_STREAMS_PER_SECOND / Math.max(1, routers);
  const seconds = computeIntervalMs(routers) / MS_PER_SECOND;
  return Math.max(1, Math.floor(perRouterAndSecond * seconds));
}

export function createStoredStreamWriter(options: StoredStreamWriterOptions): StoredStreamWriter {
  const { clock, wire, directory, peers, store, nextRandom, hasSeveralBuilds } = options;
  /** Differs from that of the process before, whose entries are still needed. */
  const incarnation = nextRandom().toString(36).slice(2);
  let pending: Pending[] = [];
  let written: readonly WrittenEntry[] = [];
  let lease: Lease | undefined;
  let triedAtMs = Number.NEGATIVE_INFINITY;
  let sequence = 0;
  let isWriting = false;

  async function acquireLease(keepMs: number): Promise<string | undefined> {
    const nowMs = clock.getNowMs();
    if (lease !== undefined && lease.endsAtMs >= nowMs + keepMs) return lease.id;
    const seconds = Math.ceil(Math.min(MAX_LEASE_MS, LEASE_FACTOR * keepMs) / MS_PER_SECOND);
    const granted =
      lease === undefined ? await store.grantLease(seconds) : await store.refreshLease(lease.id);
    lease =
      granted.kind === 'granted'
        ? { id: granted.leaseId, endsAtMs: nowMs + granted.ttlSeconds * MS_PER_SECOND }
        : undefined;
    return lease?.id;
  }

  /** The newest of those that are due: callers resume streams that have not ended. */
  function selectDue(): readonly Pending[] {
    const services = new Set(pending.map(({ record }) => record.origin.service));
    const mixedServices = new Set([...services].filter(hasSeveralBuilds));
    const due = pending.filter(({ record }) => mixedServices.has(record.origin.service));
    return due.slice(-computeMaxStreams(peers.listRouters().length));
  }

  async function writeEntry(due: readonly Pending[]): Promise<boolean> {
    const nowMs = clock.getNowMs();
    const expiresAtMs = Math.max(...due.map((item) => item.expiresAtMs));
    const leaseId = await acquireLease(expiresAtMs - nowMs);
    if (leaseId === undefined) return false;
    sequence += 1;
    const key = `${wire.streamPrefix}${peers.self}/${incarnation}/${sequence}`;
    const value = StoredStreams.encodeStreams(due.map(({ record }) => record));
    const old = written.filter((entry) => entry.expiresAtMs <= nowMs).slice(0, MAX_REMOVED);
    const outcome = await store.writeTransaction({
      comparisons: [],
      writes: [{ key, value, leaseId }, ...old.map((entry) => ({ key: entry.key }))],
    });
    if (outcome.kind !== 'written') {
      // It may be unknown to the store, which was restored from an older copy.
      lease = undefined;
      return false;
    }
    const removed = new Set(old.map((entry) => entry.key));
    written = [...written.filter((entry) => !removed.has(entry.key)), { key, expiresAtMs }];
    return true;
  }

  return {
    addRecord(record) {
      const expiresAtMs = clock.getNowMs() + record.leftMs;
      pending.push({ record, expiresAtMs });
      if (pending.length > MAX_PENDING) pending.shift();
    },
    async update() {
      const nowMs = clock.getNowMs();
      const intervalMs = computeIntervalMs(peers.listRouters().length);
      if (isWriting || nowMs - triedAtMs < intervalMs) return;
      pending = pending.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
      const due = selectDue();
      if (due.length === 0 || !directory.isUpToDate()) return;
      triedAtMs = nowMs;
      isWriting = true;
      try {
        if (!(await writeEntry(due))) return;
        const done = new Set(due);
        pending = pending.filter((item) => !done.has(item));
      } finally {
        isWriting = false;
      }
    },
  };
}
