/**
 * Failure detector: tracks which targets are probably down, based on recent losses.
 *
 * Load pattern: most engines of a zone crash at the same moment, some without closing their connections.
 * Without the tracker each router detects each crash separately, and every new or continued stream that
 * is sent to the next dead engine first waits for a refused or silent connection. So a lost target is
 * suspected for about the time of a restart, and losses of several targets of a zone make the entire zone
 * suspected for a similar time, except targets with recent liveness evidence.
 */

/** Identity and location of a target. */
export interface TargetLocation {
  readonly id: string;
  readonly zone: string;
  readonly service: string;
}

export interface SuspectTracker {
  readonly recordLoss: (target: TargetLocation, nowMs: number) => void;
  /** Records that the target was removed. */
  readonly recordRemoval: (target: TargetLocation, nowMs: number) => void;
  /** Records liveness evidence: the target answered. */
  readonly recordAlive: (target: TargetLocation, nowMs: number) => void;
  /**
   * Whether another incarnation may have taken the target's address since its identity was last verified:
   * the target was lost since, or several targets of its zone were.
   */
  readonly isUnverified: (target: TargetLocation) => boolean;
  /** Records that the target was verified to be the known incarnation. */
  readonly recordVerified: (target: TargetLocation, nowMs: number) => void;
  /** Time of the last verification, monotonic milliseconds; undefined for never. */
  readonly getVerifiedAtMs: (target: TargetLocation) => number | undefined;
  readonly isSuspect: (target: TargetLocation, nowMs: number) => boolean;
  /**
   * Ends the suspicion of these targets and their zones: their losses had a cause of this router's own. Their
   * identities stay unverified.
   */
  readonly removeLosses: (targets: readonly TargetLocation[]) => void;
  readonly removeTarget: (id: string) => void;
}

/** Time for which a lost target is suspected: a restart takes a second or more. */
const TARGET_SUSPECT_MS = 1_200;
/** Time for which a removed target is suspected: the directory drops it within this time. */
const REMOVED_SUSPECT_MS = 6_000;
/** Losses of different targets of a zone within this time are considered correlated. */
const CORRELATED_LOSS_MS = 1_000;
/** Correlated losses that indicate a fault of the zone; one or two are ordinary crashes. */
const MIN_ZONE_LOSSES = 3;
/** Correlated losses after which the zone's other targets are unverified; verifying them is cheap. */
const MIN_UNVERIFIED_LOSSES = 2;
/** Time for which the rest of such a zone is suspected after the last loss. */
const ZONE_SUSPECT_MS = 1_000;
/** A target with liveness evidence this recent, or from after the last loss, is not suspected with its zone. */
const ALIVE_MS = 250;

interface ZoneRecord {
  /** Times of recent losses by target id. */
  readonly lossTimes: Map<string, number>;
  suspectUntilMs: number;
  /** Time of the last correlated loss of several targets; 0 for never. */
  lostAtMs: number;
}

export function createSuspectTracker(): SuspectTracker {
  // Times by target id, monotonic milliseconds.
  const suspectUntil = new Map<string, number>();
  const aliveAt = new Map<string, number>();
  const verifiedAt = new Map<string, number>();
  const lostAt = new Map<string, number>();
  const zones = new Map<string, ZoneRecord>();

  function getZone(target: TargetLocation): ZoneRecord {
    const key = `${target.service} ${target.zone}`;
    const existing = zones.get(key);
    if (existing !== undefined) return existing;
    const zone: ZoneRecord = { lossTimes: new Map(), suspectUntilMs: 0, lostAtMs: 0 };
    zones.set(key, zone);
    return zone;
  }

  function removeExpired(nowMs: number): void {
    for (const [id, untilMs] of suspectUntil) if (untilMs <= nowMs) suspectUntil.delete(id);
    for (const [id, atMs] of aliveAt) if (nowMs - atMs > ZONE_SUSPECT_MS) aliveAt.delete(id);
  }

  return {
    recordLoss(target, nowMs) {
      removeExpired(nowMs);
      aliveAt.delete(target.id);
      suspectUntil.set(target.id, nowMs + TARGET_SUSPECT_MS);
      const zone = getZone(target);
      for (const [id, atMs] of zone.lossTimes) {
        if (nowMs - atMs > CORRELATED_LOSS_MS) zone.lossTimes.delete(id);
      }
      zone.lossTimes.set(target.id, nowMs);
      lostAt.set(target.id, nowMs);
      if (zone.lossTimes.size >= MIN_ZONE_LOSSES) zone.suspectUntilMs = nowMs + ZONE_SUSPECT_MS;
      if (zone.lossTimes.size >= MIN_UNVERIFIED_LOSSES) zone.lostAtMs = nowMs;
    },
    recordRemoval(target, nowMs) {
      removeExpired(nowMs);
      aliveAt.delete(target.id);
      suspectUntil.set(target.id, nowMs + REMOVED_SUSPECT_MS);
    },
    recordAlive(target, nowMs) {
      suspectUntil.delete(target.id);
      aliveAt.set(target.id, nowMs);
    },
    isUnverified(target) {
      const lostAtMs = Math.max(lostAt.get(target.id) ?? 0, getZone(target).lostAtMs);
      return lostAtMs > (verifiedAt.get(target.id) ?? -1) && lostAtMs > 0;
    },
    recordVerified(target, nowMs) {
      verifiedAt.set(target.id, nowMs);
      lostAt.delete(target.id);
    },
    getVerifiedAtMs: (target) => verifiedAt.get(target.id),
    removeLosses(targets) {
      for (const target of targets) {
        suspectUntil.delete(target.id);
        const zone = getZone(target);
        zone.lossTimes.clear();
        zone.suspectUntilMs = 0;
      }
    },
    removeTarget(id) {
      [suspectUntil, aliveAt, verifiedAt, lostAt].forEach((times) => times.delete(id));
    },
    isSuspect(target, nowMs) {
      if ((suspectUntil.get(target.id) ?? 0) > nowMs) return true;
      const { suspectUntilMs, lostAtMs } = getZone(target);
      if (suspectUntilMs <= nowMs) return false;
      const aliveAtMs = aliveAt.get(target.id);
      if (aliveAtMs === undefined) return true;
      // Losses of a zone that is silent for a moment say nothing of a target that has answered since.
      return aliveAtMs <= lostAtMs && nowMs - aliveAtMs > ALIVE_MS;
    },
  };
}
