/**
 * Routers of the whole fleet as one process knows them. Pure: the time is an argument. Merging is
 * commutative and idempotent, so lost, late and repeated messages do no harm.
 */
import type { ProcessSettings } from '@sequoiarill/types';

import * as Records from './peerRecord';
import type { PeerRecord } from './peerRecord';

/**
 * A dead router's record stays so long for others to learn of the death. Far above the seconds in
 * which records spread, also between regions that lose each other for minutes.
 */
export const FORGET_DEAD_MS = 15 * 60_000;
/**
 * After that only the incarnation stays, so that a router which was cut off meanwhile cannot bring
 * the record back as alive. Above a day's restarts (2,573 at the target size).
 */
const MAX_FLOORS = 8_192;

export type HashText = (text: string) => string;

/**
 * `refuted`: others held this process for dead or older, so it took a higher incarnation.
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
  /** This process takes a higher incarnation than any it was told of. */
  readonly setIncarnationAbove: (incarnation: number) => void;
  readonly removeForgotten: (nowMs: number) => void;
  /** Equal on two routers exactly when they know the same routers that live or leave. */
  readonly getHash: () => string;
  readonly listZoneHashes: () => Readonly<Record<string, string>>;
  /** Routers of the own zone that are not dead, sorted by name, this process among them. */
  readonly getRoster: () => readonly RosterEntry[];
  readonly getRosterHash: () => string;
}

export interface PeerRegistryOptions {
  readonly process: ProcessSettings;
  readonly address: string;
  /** Wall clock at start; corrected upwards by what peers know. */
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
  /** Highest incarnation known to be dead, of routers that are forgotten. */
  const floors = new Map<string, number>();
  let self: PeerRecord = { ...process, address, incarnation: options.incarnation, state: 'alive' };
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
    // A late record of a forgotten incarnation: show it as dead again, so that its sender learns.
    const isLate = floor !== undefined && record.incarnation <= floor;
    const merged: PeerRecord = isLate ? { ...record, incarnation: floor, state: 'dead' } : record;
    const known = records.get(record.name);
    if (known === undefined && merged.state === 'dead' && !isLate) {
      setFloor(merged);
      return 'known';
    }
    if (known !== undefined && Records.compareRecords(merged, known) <= 0) return 'known';
    setRecord(merged);
    if (merged.state === 'dead') deadSinceMs.set(merged.name, nowMs);
    else deadSinceMs.delete(merged.name);
    return 'updated';
  }

  function setFloor(record: PeerRecord): void {
    const floor = Math.max(floors.get(record.name) ?? 0, record.incarnation);
    floors.delete(record.name);
    floors.set(record.name, floor);
    const [oldest] = floors.keys();
    if (floors.size > MAX_FLOORS && oldest !== undefined) floors.delete(oldest);
  }

  function removeForgotten(nowMs: number): void {
    for (const [name, sinceMs] of deadSinceMs) {
      if (nowMs - sinceMs < FORGET_DEAD_MS) continue;
      const record = records.get(name);
      if (record !== undefined) setFloor(record);
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
    removeForgotten,
    getHash: () => getDigests().hash,
    listZoneHashes: () => getDigests().zoneHashes,
    getRoster: () => getDigests().roster,
    getRosterHash: () => getDigests().rosterHash,
  };
}

/** The dead stay out: each router forgets them at another moment, and digests must not differ. */
function buildDigests(
  records: readonly PeerRecord[],
  ownZone: string,
  hashText: HashText,
): Digests {
  const living = records.filter((record) => record.state !== 'dead');
  const sorted = living.sort(Records.compareNames);
  const zones = [...new Set(sorted.map((record) => record.zone))].sort();
  const zoneHashes = Object.fromEntries(
    zones.map((zone) => [zone, hashText(formatZone(sorted, zone))]),
  );
  const roster = sorted
    .filter((record) => record.zone === ownZone)
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
