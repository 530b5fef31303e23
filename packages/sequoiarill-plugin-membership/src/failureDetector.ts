/**
 * Failure detector for the routers of the local zone. Performs no I/O: the time is an argument.
 *
 * Load pattern: a zone of up to tens of routers. Their heartbeats are relayed by other routers,
 * each about twice a second, with pauses of a second under load. With a fixed threshold instead of
 * one derived from measured intervals, a busy zone would declare half of its routers dead, and each
 * death causes a round of record exchanges.
 */
import type { RosterEntry } from './peerRegistry';

/** Lower bound of the threshold: covers several exchange rounds and a long garbage collection. */
export const MIN_SUSPECT_SILENCE_MS = 3_000;
/** Upper bound of the threshold; with a higher one a real failure would be detected too late. */
const MAX_SUSPECT_SILENCE_MS = 12_000;
/**
 * Threshold in deviations above the mean: twice the factor of TCP retransmission timers, for
 * gossip.
 */
const DEVIATION_FACTOR = 8;
/** Weights of the newest interval in mean and deviation, as in TCP retransmission timers. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const INITIAL_MEAN_MS = 1_000;
/** A router is declared dead after this multiple of the silence after which it is suspected. */
const DEAD_FACTOR = 2;
/** Probes, which also take other paths, that must fail in addition to the silence. */
export const MIN_FAILED_PROBES = 2;

export type Liveness = 'alive' | 'suspect' | 'dead';

interface Heartbeat {
  readonly incarnation: number;
  readonly version: number;
  readonly lastContactMs: number;
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly failedProbes: number;
}

export interface FailureDetector {
  /** A higher version than the last one is liveness evidence, whichever router relayed it. */
  readonly recordVersion: (name: string, version: number, nowMs: number) => void;
  /** Records a direct contact with the router. */
  readonly recordContact: (name: string, nowMs: number) => void;
  readonly recordFailedProbe: (name: string) => void;
  readonly decideLiveness: (name: string, nowMs: number) => Liveness;
  /** Sets the monitored routers; new and restarted ones start as if contacted at `nowMs`. */
  readonly setRoster: (roster: readonly RosterEntry[], nowMs: number) => void;
  /**
   * Discards the silence of all routers after a pause of this process. Otherwise a router that was
   * stopped for a minute would measure a minute of silence for each peer and declare its zone dead.
   */
  readonly recordPause: (nowMs: number) => void;
  readonly getSilenceMs: (name: string, nowMs: number) => number;
}

export function createFailureDetector(): FailureDetector {
  const heartbeats = new Map<string, Heartbeat>();

  function updateHeartbeat(name: string, change: (heartbeat: Heartbeat) => Heartbeat): void {
    const heartbeat = heartbeats.get(name);
    if (heartbeat !== undefined) heartbeats.set(name, change(heartbeat));
  }

  return {
    recordVersion(name, version, nowMs) {
      updateHeartbeat(name, (heartbeat) =>
        version <= heartbeat.version ? heartbeat : { ...applyInterval(heartbeat, nowMs), version },
      );
    },
    recordContact(name, nowMs) {
      updateHeartbeat(name, (heartbeat) => applyContact(heartbeat, nowMs));
    },
    recordFailedProbe(name) {
      updateHeartbeat(name, (heartbeat) => ({
        ...heartbeat,
        failedProbes: heartbeat.failedProbes + 1,
      }));
    },
    decideLiveness(name, nowMs) {
      const heartbeat = heartbeats.get(name);
      if (heartbeat === undefined) return 'alive';
      const silenceMs = nowMs - heartbeat.lastContactMs;
      const suspectSilenceMs = computeSuspectSilenceMs(heartbeat);
      if (silenceMs < suspectSilenceMs) return 'alive';
      const isProbed = heartbeat.failedProbes >= MIN_FAILED_PROBES;
      return isProbed && silenceMs >= suspectSilenceMs * DEAD_FACTOR ? 'dead' : 'suspect';
    },
    setRoster(roster, nowMs) {
      const names = new Set(roster.map((entry) => entry.name));
      for (const name of heartbeats.keys()) if (!names.has(name)) heartbeats.delete(name);
      for (const { name, incarnation } of roster) {
        if (heartbeats.get(name)?.incarnation === incarnation) continue;
        heartbeats.set(name, createHeartbeat(incarnation, nowMs));
      }
    },
    recordPause(nowMs) {
      for (const [name, last] of heartbeats) heartbeats.set(name, applyContact(last, nowMs));
    },
    getSilenceMs: (name, nowMs) => nowMs - (heartbeats.get(name)?.lastContactMs ?? nowMs),
  };
}

function createHeartbeat(incarnation: number, nowMs: number): Heartbeat {
  return {
    incarnation,
    version: 0,
    lastContactMs: nowMs,
    meanMs: INITIAL_MEAN_MS,
    deviationMs: INITIAL_MEAN_MS / 4,
    failedProbes: 0,
  };
}

function applyContact(heartbeat: Heartbeat, nowMs: number): Heartbeat {
  return { ...heartbeat, lastContactMs: nowMs, failedProbes: 0 };
}

function applyInterval(heartbeat: Heartbeat, nowMs: number): Heartbeat {
  const intervalMs = Math.max(0, nowMs - heartbeat.lastContactMs);
  const meanError = intervalMs - heartbeat.meanMs;
  const deviationError = Math.abs(meanError) - heartbeat.deviationMs;
  return {
    ...applyContact(heartbeat, nowMs),
    meanMs: heartbeat.meanMs + MEAN_WEIGHT * meanError,
    deviationMs: heartbeat.deviationMs + DEVIATION_WEIGHT * deviationError,
  };
}

function computeSuspectSilenceMs(heartbeat: Heartbeat): number {
  const measuredMs = heartbeat.meanMs + DEVIATION_FACTOR * heartbeat.deviationMs;
  return Math.min(MAX_SUSPECT_SILENCE_MS, Math.max(MIN_SUSPECT_SILENCE_MS, measuredMs));
}
