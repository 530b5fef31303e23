/**
 * Records of all routers of the fleet that this process knows. Performs no I/O: the time is an
 * argument. Merging is commutative and idempotent, so lost, delayed and duplicate messages are
 * harmless.
 */
import type { ProcessSettings } from '@sequoiarill/types';

import * as Records from './peerRecord';
import type { PeerRecord } from './peerRecord';

/**
 * How long the record of a dead router is retained so that other routers learn of its death.
 * Records spread within seconds; the margin covers regions that are partitioned for minutes.
 */
export const DEAD_RECORD_RETENTION_MS = 15 * 60_000;
/**
 * Maximum number of removed routers whose incarnation is still remembered, so that a router that
 * was partitioned meanwhile cannot reintroduce the record as alive. More than the restarts of one
 * day (2,573 at the target size).
 */
const MAX_INCARNATION_FLOORS = 8_192;

export type HashText = (text: string) => string;

/**
 * `known`: the merge changed no record.
 * `refuted`: other routers considered this process dead or had a newer record of it, so it chose a
 * higher incarnation.
 * `conflict`: another process runs under this one's name.
 */
export type MergeOutcome = 'updated' | 'known' | 'refuted' | 'conflict';

export interface RosterEntry {
  readonly name: string;
  readonly incarnation: number;
}

export interface PeerRegistry {
  readonly getSelf: () => PeerRecord;
  readonly findRecord: (name: string) => PeerRecord | undefined;
  readonly listRecords: () => readonly PeerRecord[];
  readonly listZoneRecords: (zone: string) => readonly PeerRecord[];
  readonly mergeRecord: (record: PeerRecord, nowMs: number) => MergeOutcome;
  readonly markDead: (name: string, nowMs: number) => void;
  readonly markLeaving: () => void;
  /** Sets the incarnation of this process to one above the given value. */
  readonly setIncarnationAbove: (incarnation: number) => void;
  readonly removeExpired: (nowMs: number) => void;
  /**
   * Equal on two routers if and only if they have the same records of alive and leaving routers.
   */
  readonly getHash: () => string;
  readonly listZoneHashes: () => Readonly<Record<string, string>>;
  /** Routers of the local zone that are not dead, including this one, sorted by name. */
  readonly getRoster: () => readonly RosterEntry[];
  readonly getRosterHash: () => string;
}

export interface PeerRegistryOptions {
  readonly process: ProcessSettings;
  readonly address: string;
  /** Wall-clock time at the start; raised if peers know a higher incarnation. */
  readonly incarnation: number;
  readonly hashText: HashText;
}

interface Digests {
  readonly hash: string;
  readonly zoneHashes: Readonly<Record<string, string>>;
  readonly roster: readonly RosterEntry[];
  readonly rosterHash: string;
}

export function createPeerRegistry(options: PeerRegistryOptions): PeerRegistry {
  const { process, address, hashText } = options;
  const records = new Map<string, PeerRecord>();
  const deadSinceMs = new Map<string, number>();
  /** Highest incarnation known to be dead, for each router whose record was removed. */
  const floors = new Map<string, number>();
  let self: PeerRecord = {
    name: process.name,
    zone: process.zone,
    region: process.region,
    address,
    incarnation: options.incarnation,
    state: 'alive',
  };
  let digests: Digests | undefined;
  setRecord(self);

  function setRecord(record: PeerRecord): void {
    records.set(record.name, record);
    digests = undefined;
  }

  function getDigests(): Digests {
    digests ??= buildDigests([...records.values()], process.zone, hashText);
    return digests;
  }

  function setIncarnationAbove(incarnation: number): void {
    self = { ...self, incarnation: incarnation + 1 };
    setRecord(self);
  }

  function mergeOwnRecord(record: PeerRecord): MergeOutcome {
    if (Records.compareRecords(record, self) <= 0) return 'known';
    const isOther = record.state !== 'dead' && record.address !== self.address;
    setIncarnationAbove(record.incarnation);
    return isOther ? 'conflict' : 'refuted';
  }

  function mergeRecord(record: PeerRecord, nowMs: number): MergeOutcome {
    if (record.name === self.name) return mergeOwnRecord(record);
    const floor = floors.get(record.name);
    // A delayed record of a removed incarnation: store it as dead again, so that its sender learns
    // it.
    const isStale = floor !== undefined && record.incarnation <= floor;
    const merged: PeerRecord = isStale ? { ...record, incarnation: floor, state: 'dead' } : record;
    const existing = records.get(record.name);
    if (existing === undefined && merged.state === 'dead' && !isStale) {
      setIncarnationFloor(merged);
      return 'known';
    }
    if (existing !== undefined && Records.compareRecords(merged, existing) <= 0) return 'known';
    setRecord(merged);
    if (merged.state === 'dead') deadSinceMs.set(merged.name, nowMs);
    else deadSinceMs.delete(merged.name);
    return 'updated';
  }

  function setIncarnationFloor(record: PeerRecord): void {
    const floor = Math.max(floors.get(record.name) ?? 0, record.incarnation);
    floors.delete(record.name);
    floors.set(record.name, floor);
    const [oldest] = floors.keys();
    if (floors.size > MAX_INCARNATION_FLOORS && oldest !== undefined) floors.delete(oldest);
  }

  function removeExpired(nowMs: number): void {
    for (const [name, sinceMs] of deadSinceMs) {
      if (nowMs - sinceMs < DEAD_RECORD_RETENTION_MS) continue;
      const record = records.get(name);
      if (record !== undefined) setIncarnationFloor(record);
      records.delete(name);
      deadSinceMs.delete(name);
    }
  }

  return {
    getSelf: () => self,
    findRecord: (name) => records.get(name),
    listRecords: () => [...records.values()],
    listZoneRecords: (zone) => [...records.values()].filter((record) => record.zone === zone),
    mergeRecord,
    markDead(name, nowMs) {
      const record = records.get(name);
      if (record === undefined) return;
      mergeRecord({ ...record, state: 'dead' }, nowMs);
    },
    markLeaving() {
      self = { ...self, state: 'leaving' };
      setRecord(self);
    },
    setIncarnationAbove,
    removeExpired,
    getHash: () => getDigests().hash,
    listZoneHashes: () => getDigests().zoneHashes,
    getRoster: () => getDigests().roster,
    getRosterHash: () => getDigests().rosterHash,
  };
}

/** Excludes dead routers: each router removes them at a different time, and digests must match. */
function buildDigests(
  records: readonly PeerRecord[],
  localZone: string,
  hashText: HashText,
): Digests {
  const members = records.filter((record) => record.state !== 'dead');
  const sorted = members.sort(Records.compareNames);
  const zones = [...new Set(sorted.map((record) => record.zone))].sort();
  const zoneHashes = Object.fromEntries(
    zones.map((zone) => [zone, hashText(formatZone(sorted, zone))]),
  );
  const roster = sorted
    .filter((record) => record.zone === localZone)
    .map(({ name, incarnation }) => ({ name, incarnation }));
  return {
    hash: hashText(JSON.stringify(zoneHashes)),
    zoneHashes,
    roster,
    rosterHash: hashText(JSON.stringify(roster)),
  };
}

function formatZone(records: readonly PeerRecord[], zone: string): string {
  return records
    .filter((record) => record.zone === zone)
    .map(({ name, incarnation, state, address }) => `${name} ${incarnation} ${state} ${address}`)
    .join('\n');
}
