/**
 * Which targets are probably down, from the losses seen lately.
 *
 * Load pattern: most engines of a zone crash at the same moment, some without a word. Without this
 * each router finds each of them by itself, and every new or continued stream that is sent to the
 * next dead one waits for a refused or silent connection first. So one loss leaves its target out for
 * about the time of a restart, and losses at several targets of a zone leave out the whole zone for
 * as long, unless a target there gives a sign of life.
 */

/** Where a target stands. */
export interface TargetLocation {
  readonly id: string;
  readonly zone: string;
  readonly service: string;
}

export interface SuspectTracker {
  readonly recordLoss: (target: TargetLocation, nowMs: number) => void;
  /** The target is known not to be there any more. */
  readonly recordRemoval: (target: TargetLocation, nowMs: number) => void;
  /** The target answered: it lives, and so may its neighbours. */
  readonly recordAlive: (target: TargetLocation, nowMs: number) => void;
  /**
   * Whether another life may have taken the target's address since it last proved who it is: it was
   * lost, or several of its zone were.
   */
  readonly isUnverified: (target: TargetLocation) => boolean;
  /** The target proved that it still is the life that is known. */
  readonly recordVerified: (target: TargetLocation, nowMs: number) => void;
  /** When it last did so, monotonic milliseconds; undefined for never. */
  readonly getVerifiedAtMs: (target: TargetLocation) => number | undefined;
  readonly isSuspect: (target: TargetLocation, nowMs: number) => boolean;
  readonly removeTarget: (id: string) => void;
}

/** Time for which a lost target is left out, milliseconds: a restart takes a second or more. */
const TARGET_MS = 1_200;
/** The directory drops a target that is gone within this time, milliseconds. */
const GONE_MS = 6_000;
/** Losses of different targets of a zone within this time belong together, milliseconds. */
const TOGETHER_MS = 1_000;
/** Targets lost together that speak for a fault of the zone; one or two are ordinary crashes. */
const ZONE_LOSSES = 3;
/** So many make the identity of the zone's other targets doubtful; asking them is cheap. */
const UNPROVED_LOSSES = 2;
/** Time for which the rest of such a zone is left out after the last loss, milliseconds. */
const ZONE_MS = 1_000;
/** A target that gave a sign of life this lately is not down with its zone, milliseconds. */
const SIGN_MS = 250;

interface ZoneRecord {
  readonly lossesMs: Map<string, number>;
  suspectUntilMs: number;
  /** When several targets were lost together, last; 0 for never. */
  lostMs: number;
}

export function createSuspectTracker(): SuspectTracker {
  const untilByTarget = new Map<string, number>();
  const signByTarget = new Map<string, number>();
  const proofByTarget = new Map<string, number>();
  const lossByTarget = new Map<string, number>();
  const zones = new Map<string, ZoneRecord>();

  function getZone(target: TargetLocation): ZoneRecord {
    const key = `${target.service} ${target.zone}`;
    const known = zones.get(key);
    if (known !== undefined) return known;
    const created: ZoneRecord = { lossesMs: new Map(), suspectUntilMs: 0, lostMs: 0 };
    zones.set(key, created);
    return created;
  }

  function removeOld(nowMs: number): void {
    for (const [id, untilMs] of untilByTarget) if (untilMs <= nowMs) untilByTarget.delete(id);
    for (const [id, atMs] of signByTarget) if (nowMs - atMs > SIGN_MS) signByTarget.delete(id);
  }

  return {
    recordLoss(target, nowMs) {
      removeOld(nowMs);
      signByTarget.delete(target.id);
      untilByTarget.set(target.id, nowMs + TARGET_MS);
      const zone = getZone(target);
      for (const [id, atMs] of zone.lossesMs) {
        if (nowMs - atMs > TOGETHER_MS) zone.lossesMs.delete(id);
      }
      zone.lossesMs.set(target.id, nowMs);
      lossByTarget.set(target.id, nowMs);
      if (zone.lossesMs.size >= ZONE_LOSSES) zone.suspectUntilMs = nowMs + ZONE_MS;
      if (zone.lossesMs.size >= UNPROVED_LOSSES) zone.lostMs = nowMs;
    },
    recordRemoval(target, nowMs) {
      removeOld(nowMs);
      signByTarget.delete(target.id);
      untilByTarget.set(target.id, nowMs + GONE_MS);
    },
    recordAlive(target, nowMs) {
      untilByTarget.delete(target.id);
      signByTarget.set(target.id, nowMs);
    },
    isUnverified(target) {
      const lostMs = Math.max(lossByTarget.get(target.id) ?? 0, getZone(target).lostMs);
      return lostMs > (proofByTarget.get(target.id) ?? -1) && lostMs > 0;
    },
    recordVerified(target, nowMs) {
      proofByTarget.set(target.id, nowMs);
      lossByTarget.delete(target.id);
    },
    getVerifiedAtMs: (target) => proofByTarget.get(target.id),
    removeTarget(id) {
      [untilByTarget, signByTarget, proofByTarget, lossByTarget].forEach((known) =>
        known.delete(id),
      );
    },
    isSuspect(target, nowMs) {
      if ((untilByTarget.get(target.id) ?? 0) > nowMs) return true;
      if (getZone(target).suspectUntilMs <= nowMs) return false;
      const signedAtMs = signByTarget.get(target.id);
      return signedAtMs === undefined || nowMs - signedAtMs > SIGN_MS;
    },
  };
}
