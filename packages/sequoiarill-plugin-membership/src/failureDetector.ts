/**
 * Which routers of the own zone have gone silent. Pure: the time is an argument.
 *
 * Load pattern: a zone of up to tens of routers whose heartbeats arrive by way of others, each about
 * twice a second, under load with pauses of a second. Without thresholds from measured intervals a
 * busy zone would declare half of itself dead, and each death costs a round of records.
 */

import type { RosterEntry } from './peerRegistry';

/** Below this no silence counts: several rounds of exchange and a long garbage collection. */
export const MIN_SUSPECT_MS = 3_000;
/** Above this a real death would go unnoticed for too long. */
const MAX_SUSPECT_MS = 12_000;
/** Deviations above the mean; the usual choice of retransmission timers, doubled for gossip. */
const DEVIATIONS = 8;
/** Weights of the newest interval in mean and deviation, as in retransmission timers. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const FIRST_MEAN_MS = 1_000;
/** Silence until death, in units of the silence until suspicion. */
const DEAD_FACTOR = 2;
/** Probes by another path that have to fail as well. */
export const MIN_FAILED_PROBES = 2;

export type Liveness = 'alive' | 'suspect' | 'dead';

interface Heartbeat {
  readonly incarnation: number;
  readonly version: number;
  readonly lastHeardMs: number;
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly failedProbes: number;
}

export interface FailureDetector {
  /** A version above the last one proves life, whoever passed it on. */
  readonly recordVersion: (name: string, version: number, nowMs: number) => void;
  /** The router itself answered just now. */
  readonly recordAnswer: (name: string, nowMs: number) => void;
  readonly recordFailedProbe: (name: string) => void;
  readonly decideLiveness: (name: string, nowMs: number) => Liveness;
  /** Keeps exactly these routers; new ones and restarted ones begin as just heard. */
  readonly setRoster: (roster: readonly RosterEntry[], nowMs: number) => void;
  /**
   * For a process that was paused: all silence up to now is its own. Without this, a router stopped
   * for a minute would wake, see a minute of silence from everybody and declare its zone dead.
   */
  readonly restartSilence: (nowMs: number) => void;
  readonly getSilenceMs: (name: string, nowMs: number) => number;
}

export function createFailureDetector(): FailureDetector {
  const heartbeats = new Map<string, Heartbeat>();

  function updateHeartbeat(name: string, change: (known: Heartbeat) => Heartbeat): void {
    const known = heartbeats.get(name);
    if (known !== undefined) heartbeats.set(name, change(known));
  }

  return {
    recordVersion(name, version, nowMs) {
      updateHeartbeat(name, (known) =>
        version <= known.version ? known : { ...mergeInterval(known, nowMs), version },
      );
    },
    recordAnswer(name, nowMs) {
      updateHeartbeat(name, (known) => mergeSign(known, nowMs));
    },
    recordFailedProbe(name) {
      updateHeartbeat(name, (known) => ({ ...known, failedProbes: known.failedProbes + 1 }));
    },
    decideLiveness(name, nowMs) {
      const heartbeat = heartbeats.get(name);
      if (heartbeat === undefined) return 'alive';
      const silenceMs = nowMs - heartbeat.lastHeardMs;
      const limitMs = computeLimitMs(heartbeat);
      if (silenceMs < limitMs) return 'alive';
      const isProbed = heartbeat.failedProbes >= MIN_FAILED_PROBES;
      return isProbed && silenceMs >= limitMs * DEAD_FACTOR ? 'dead' : 'suspect';
    },
    setRoster(roster, nowMs) {
      const names = new Set(roster.map((entry) => entry.name));
      for (const name of heartbeats.keys()) if (!names.has(name)) heartbeats.delete(name);
      for (const { name, incarnation } of roster) {
        if (heartbeats.get(name)?.incarnation === incarnation) continue;
        heartbeats.set(name, createHeartbeat(incarnation, nowMs));
      }
    },
    restartSilence(nowMs) {
      for (const [name, known] of heartbeats) heartbeats.set(name, mergeSign(known, nowMs));
    },
    getSilenceMs: (name, nowMs) => nowMs - (heartbeats.get(name)?.lastHeardMs ?? nowMs),
  };
}

function createHeartbeat(incarnation: number, nowMs: number): Heartbeat {
  return {
    incarnation,
    version: 0,
    lastHeardMs: nowMs,
    meanMs: FIRST_MEAN_MS,
    deviationMs: FIRST_MEAN_MS / 4,
    failedProbes: 0,
  };
}

function mergeSign(known: Heartbeat, nowMs: number): Heartbeat {
  return { ...known, lastHeardMs: nowMs, failedProbes: 0 };
}

function mergeInterval(known: Heartbeat, nowMs: number): Heartbeat {
  const intervalMs = Math.max(0, nowMs - known.lastHeardMs);
  const error = intervalMs - known.meanMs;
  const deviationError = Math.abs(error) - known.deviationMs;
  return {
    ...mergeSign(known, nowMs),
    meanMs: known.meanMs + MEAN_WEIGHT * error,
    deviationMs: known.deviationMs + DEVIATION_WEIGHT * deviationError,
  };
}

function computeLimitMs(heartbeat: Heartbeat): number {
  const measuredMs = heartbeat.meanMs + DEVIATIONS * heartbeat.deviationMs;
  return Math.min(MAX_SUSPECT_MS, Math.max(MIN_SUSPECT_MS, measuredMs));
}
