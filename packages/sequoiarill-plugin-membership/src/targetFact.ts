/**
 * A fact is one router's observation of one target. Merges the facts of several routers into one
 * health.
 */
import type { TargetHealth, TargetReport, TargetState } from '@sequoiarill/types';

export interface TargetFact extends TargetReport {
  readonly observer: string;
  /** Increases with each fact of this observer within one incarnation. */
  readonly version: number;
  /** Time of the observation on the monotonic clock of this process: arrival time minus the age. */
  readonly seenMs: number;
}

/** Twice the interval at which load is published, so that one lost round does not hide a target. */
export const MAX_FACT_AGE_MS = 6_000;
/**
 * Facts about dead targets are valid for longer, because no router sends requests to a dead target
 * and so none publishes its state again. After expiry the next request probes the target for all
 * routers. A shorter time would lose more requests to dead targets; a longer one would leave a
 * recovered target idle.
 */
export const MAX_DEAD_FACT_AGE_MS = 10_000;

export function isFresh(fact: TargetFact, nowMs: number): boolean {
  const maxAgeMs = fact.state === 'dead' ? MAX_DEAD_FACT_AGE_MS : MAX_FACT_AGE_MS;
  return nowMs - fact.seenMs < maxAgeMs;
}

/**
 * The own observation takes precedence, because a partition may affect only this router or only the
 * others. Without one, a target is dead or slow if a majority of recent observers report it:
 * otherwise one observer behind a broken switch could remove targets that serve all other routers.
 * A target is leaving if any observer reports it, because that information comes from the platform
 * or the target itself.
 */
export function mergeFacts(
  facts: readonly TargetFact[],
  self: string,
  nowMs: number,
): TargetHealth | undefined {
  const fresh = facts.filter((fact) => isFresh(fact, nowMs));
  const [newest] = [...fresh].sort((left, right) => right.seenMs - left.seenMs);
  if (newest === undefined) return undefined;
  const ownFact = fresh.find((fact) => fact.observer === self);
  const state = fresh.some((fact) => fact.state === 'leaving')
    ? 'leaving'
    : (ownFact?.state ?? decideMajority(fresh));
  const sourceFact = ownFact ?? fresh.find((fact) => fact.state === state) ?? newest;
  const loadFacts = fresh.filter((fact) => fact.running !== undefined);
  const [newestLoad] = loadFacts.sort((left, right) => right.seenMs - left.seenMs);
  return {
    target: newest.target,
    state,
    observer: sourceFact.observer,
    ageMs: Math.max(0, nowMs - sourceFact.seenMs),
    ...(newestLoad?.running === undefined ? {} : { running: newestLoad.running }),
    ...(newestLoad?.waiting === undefined ? {} : { waiting: newestLoad.waiting }),
  };
}

function decideMajority(facts: readonly TargetFact[]): TargetState {
  const half = facts.length / 2;
  const dead = facts.filter((fact) => fact.state === 'dead').length;
  if (dead > half) return 'dead';
  const slow = facts.filter((fact) => fact.state === 'slow').length;
  return dead + slow > half ? 'slow' : 'healthy';
}
