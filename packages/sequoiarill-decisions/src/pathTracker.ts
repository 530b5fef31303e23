/**
 * Distinguishes, for each service, a lost path of this router from lost targets.
 *
 * Failure: a router is partitioned from all targets, and from nothing else. Taken by themselves, its losses
 * look like a crash of all targets: it would refuse requests that any other router can run, and its
 * judgement of targets, versions and requests would be wrong. A survey of a few targets that finds none makes
 * the path doubtful; an answer that a target gives through another router shows that the path is lost, and
 * another router without targets shows that they are. The path is open again when a survey finds targets.
 */

/** `doubtful`: no target answers, for a reason that is not known; `lost`: another router reaches them. */
export type PathState = 'open' | 'doubtful' | 'lost';

/** How many targets were asked for a sign of life, and how many gave one. */
export interface TargetSurvey {
  readonly asked: number;
  readonly answered: number;
}

export interface PathTracker {
  readonly getState: (service: string) => PathState;
  /** Returns the state that follows. */
  readonly recordSurvey: (service: string, survey: TargetSurvey) => PathState;
  /** A target answered this router. A few answers also pass a path that is known to be lost. */
  readonly recordHeard: (service: string) => void;
  /** A target answered a request that another router sent. Returns whether the path counts as lost only now. */
  readonly recordRelayed: (service: string) => boolean;
  /** No other router took the request, or one that did has no target either. */
  readonly recordUntaken: (service: string, nowMs: number) => void;
  /** Whether another router may be asked now. */
  readonly mayRelay: (service: string, nowMs: number) => boolean;
}

/** Pause before other routers are asked again after none of them could help. */
const UNTAKEN_PAUSE_MS = 500;

interface ServicePath {
  state: PathState;
  relayAfterMs: number;
}

export function createPathTracker(): PathTracker {
  const paths = new Map<string, ServicePath>();

  function getPath(service: string): ServicePath {
    const existing = paths.get(service);
    if (existing !== undefined) return existing;
    const path: ServicePath = { state: 'open', relayAfterMs: 0 };
    paths.set(service, path);
    return path;
  }

  return {
    getState: (service) => paths.get(service)?.state ?? 'open',
    recordSurvey(service, { asked, answered }) {
      const path = getPath(service);
      if (asked === 0) return path.state;
      // Some answers pass a path that loses most packets, so a lost one needs all of them.
      const isOpen = path.state === 'lost' ? answered === asked : answered > 0;
      if (isOpen) path.state = 'open';
      else if (path.state === 'open') path.state = 'doubtful';
      return path.state;
    },
    recordHeard(service) {
      const path = paths.get(service);
      if (path?.state === 'doubtful') path.state = 'open';
    },
    recordRelayed(service) {
      const path = getPath(service);
      if (path.state !== 'doubtful') return false;
      path.state = 'lost';
      return true;
    },
    recordUntaken(service, nowMs) {
      const path = getPath(service);
      path.relayAfterMs = nowMs + UNTAKEN_PAUSE_MS;
      if (path.state === 'lost') path.state = 'doubtful';
    },
    mayRelay: (service, nowMs) => nowMs >= (paths.get(service)?.relayAfterMs ?? 0),
  };
}

/** A target of a survey. */
export interface SurveyCandidate {
  readonly zone: string;
  /** Lost since a target of the service was last heard. */
  readonly isLost: boolean;
}

/** Enough that targets of several zones are among them. */
const SURVEYED_TARGETS = 3;

/** Selects targets for a survey: of as many zones as possible, and those that were not lost before others. */
export function selectSurveyed<Candidate extends SurveyCandidate>(
  candidates: readonly Candidate[],
  nextRandom: () => number,
): readonly Candidate[] {
  const seenByZone = new Map<string, number>();
  return candidates
    .map((candidate) => ({ candidate, rank: nextRandom() + (candidate.isLost ? 1 : 0) }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ candidate }) => {
      const seen = seenByZone.get(candidate.zone) ?? 0;
      seenByZone.set(candidate.zone, seen + 1);
      return { candidate, seen };
    })
    .sort((left, right) => left.seen - right.seen)
    .slice(0, SURVEYED_TARGETS)
    .map(({ candidate }) => candidate);
}
