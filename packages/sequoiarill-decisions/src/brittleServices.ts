/**
 * Knows which services have brittle targets: ones that fall over when they have to turn away more than a few
 * requests a second.
 */

export interface BrittleServices {
  /** Records whether an answer of a target says that it is brittle. */
  readonly recordAnswer: (service: string, isBrittle: boolean, nowMs: number) => void;
  /** Records what another router knew `ageMs` ago; returns whether that is news here. */
  readonly recordReport: (service: string, ageMs: number, nowMs: number) => boolean;
  readonly isBrittle: (service: string, nowMs: number) => boolean;
  /** Whether the other routers should be told again, because nobody has for a while. */
  readonly isReportDue: (service: string, nowMs: number) => boolean;
  /** This router tells others. */
  readonly recordSent: (service: string, nowMs: number) => void;
}

interface Observation {
  /** Last answer that said so, here or at another router; monotonic milliseconds. */
  brittleAtMs: number;
  /** Last answer here that did not. */
  soundAtMs: number;
  /** Last report that was received or sent. */
  reportedAtMs: number;
}

/** Routers without requests for the service rely on reports, which come more often than this. */
const RETENTION_MS = 8_000;
const REPORT_INTERVAL_MS = 2_000;

export function createBrittleServices(): BrittleServices {
  const observations = new Map<string, Observation>();

  function getObservation(service: string): Observation {
    const existing = observations.get(service);
    if (existing !== undefined) return existing;
    const never = Number.NEGATIVE_INFINITY;
    const observation = { brittleAtMs: never, soundAtMs: never, reportedAtMs: never };
    observations.set(service, observation);
    return observation;
  }

  function isBrittle(service: string, nowMs: number): boolean {
    const observation = observations.get(service);
    if (observation === undefined) return false;
    const { brittleAtMs, soundAtMs } = observation;
    return brittleAtMs > soundAtMs && nowMs - brittleAtMs < RETENTION_MS;
  }

  return {
    recordAnswer(service, saysBrittle, nowMs) {
      // Most services never are, and need no record.
      if (!saysBrittle && !observations.has(service)) return;
      const observation = getObservation(service);
      if (saysBrittle) observation.brittleAtMs = nowMs;
      else observation.soundAtMs = nowMs;
    },
    recordReport(service, ageMs, nowMs) {
      const observation = getObservation(service);
      const observedAtMs = nowMs - ageMs;
      if (observedAtMs <= observation.brittleAtMs) return false;
      const isNews = nowMs - observation.reportedAtMs >= REPORT_INTERVAL_MS / 2;
      observation.brittleAtMs = observedAtMs;
      observation.reportedAtMs = nowMs;
      return isNews;
    },
    isBrittle,
    isReportDue: (service, nowMs) =>
      isBrittle(service, nowMs) &&
      nowMs - getObservation(service).reportedAtMs >= REPORT_INTERVAL_MS,
    recordSent(service, nowMs) {
      getObservation(service).reportedAtMs = nowMs;
    },
  };
}
