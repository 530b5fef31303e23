/**
 * Tracks which targets have been asked something and are not heard for longer than usual.
 *
 * Load pattern: one target falls silent, or all targets of a service do at the same moment. Seen from a single
 * request both look the same, and also like a pause of this router. Whoever reads of a lost target needs the
 * number of silent targets beside the number that were just heard.
 */
import type { TargetLocation } from './suspectTracker';

export interface SilenceSummary {
  /** Targets that were asked something, now or within the last second, and were not heard for longer than usual. */
  readonly silentTargets: number;
  /** Targets heard within the last second, and the zones that they are in. */
  readonly heardTargets: number;
  readonly heardZones: number;
}

/** All times are running time, milliseconds: a pause of this process is no silence of a target. */
export interface TargetSilences<Target extends TargetLocation> {
  /** A request or a probe is outstanding until the returned function is called. */
  readonly recordStart: (target: Target, nowMs: number) => (endedAtMs: number) => void;
  readonly recordHeard: (target: Target, nowMs: number) => void;
  readonly getSummary: (service: string, nowMs: number) => SilenceSummary;
  readonly removeMissing: (isCurrent: (target: Target) => boolean) => void;
}

interface TargetEntry<Target> {
  readonly target: Target;
  outstanding: number;
  /** Start of the time in which something has been outstanding, and its end. */
  askedAtMs: number;
  endedAtMs: number;
  heardAtMs: number | undefined;
}

interface ServiceEntry<Target> {
  readonly targets: Map<string, TargetEntry<Target>>;
  /** Time without a sign of a target that has been asked something; undefined before the first one. */
  usualMs: number | undefined;
  deviationMs: number;
}

const RECENT_MS = 1_000;
/** Smoothing gains and number of mean deviations as for TCP retransmission timers. */
const MEAN_GAIN = 0.125;
const DEVIATION_GAIN = 0.25;
const DEVIATIONS = 4;
/** A shorter silence is a delay on the way or of a busy process. */
const MIN_SILENCE_MS = 200;

export function createTargetSilences<Target extends TargetLocation>(): TargetSilences<Target> {
  const services = new Map<string, ServiceEntry<Target>>();

  function getService(name: string): ServiceEntry<Target> {
    const existing = services.get(name);
    if (existing !== undefined) return existing;
    const entry = { targets: new Map(), usualMs: undefined, deviationMs: 0 };
    services.set(name, entry);
    return entry;
  }

  function getTarget(service: ServiceEntry<Target>, target: Target): TargetEntry<Target> {
    const existing = service.targets.get(target.id);
    if (existing !== undefined) return existing;
    const entry = { target, outstanding: 0, askedAtMs: 0, endedAtMs: 0, heardAtMs: undefined };
    service.targets.set(target.id, entry);
    return entry;
  }

  function recordGap(service: ServiceEntry<Target>, gapMs: number): void {
    if (service.usualMs === undefined) {
      service.usualMs = gapMs;
      service.deviationMs = gapMs / 2;
      return;
    }
    const error = gapMs - service.usualMs;
    service.usualMs += error * MEAN_GAIN;
    service.deviationMs += (Math.abs(error) - service.deviationMs) * DEVIATION_GAIN;
  }

  function isSilent(
    { outstanding, askedAtMs, endedAtMs, heardAtMs = 0 }: TargetEntry<Target>,
    longestMs: number,
    nowMs: number,
  ): boolean {
    if (outstanding === 0 && nowMs - endedAtMs > RECENT_MS) return false;
    const askedUntilMs = outstanding > 0 ? nowMs : endedAtMs;
    return askedUntilMs - Math.max(askedAtMs, heardAtMs) > longestMs;
  }

  return {
    recordStart(target, nowMs) {
      const entry = getTarget(getService(target.service), target);
      if (entry.outstanding === 0) entry.askedAtMs = nowMs;
      entry.outstanding += 1;
      let hasEnded = false;
      return (endedAtMs) => {
        if (hasEnded) return;
        hasEnded = true;
        entry.outstanding -= 1;
        entry.endedAtMs = endedAtMs;
      };
    },
    recordHeard(target, nowMs) {
      const service = getService(target.service);
      const entry = getTarget(service, target);
      if (entry.outstanding > 0) {
        recordGap(service, nowMs - Math.max(entry.askedAtMs, entry.heardAtMs ?? 0));
      }
      entry.heardAtMs = nowMs;
    },
    getSummary(name, nowMs) {
      const service = getService(name);
      const { targets, usualMs = 0, deviationMs } = service;
      const longestMs = Math.max(MIN_SILENCE_MS, usualMs + DEVIATIONS * deviationMs);
      const zones = new Set<string>();
      let [silentTargets, heardTargets] = [0, 0];
      targets.forEach((entry) => {
        if (isSilent(entry, longestMs, nowMs)) silentTargets += 1;
        if (entry.heardAtMs === undefined || nowMs - entry.heardAtMs > RECENT_MS) return;
        heardTargets += 1;
        zones.add(entry.target.zone);
      });
      return { silentTargets, heardTargets, heardZones: zones.size };
    },
    removeMissing(isCurrent) {
      services.forEach(({ targets }) =>
        targets.forEach(({ target }, id) => {
          if (!isCurrent(target)) targets.delete(id);
        }),
      );
    },
  };
}
