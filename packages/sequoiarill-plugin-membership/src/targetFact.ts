/** What one router saw of one target, and how several such facts become one answer. Pure. */
import type { TargetHealth, TargetReport, TargetState } from '@sequoiarill/types';

export interface TargetFact extends TargetReport {
  readonly observer: string;
  /** Rises with each fact of this observer within one incarnation. */
  readonly version: number;
  /** Monotonic time of this process at which it was seen, its age on arrival taken off. */
  readonly seenMs: number;
}

/** Twice the time in which load is told again, so that one lost round does not hide a target. */
export const FRESH_MS = 6_000;
/**
 * A death is believed longer, since nobody sends to a dead target and so nobody tells of it again;
 * when it has aged out, the next request finds out for all. Shorter would spend more requests on
 * it, longer would leave a target idle that has come back.
 */
export const DEAD_FRESH_MS = 10_000;

export function isFresh(fact: TargetFact, nowMs: number): boolean {
  const limitMs = fact.state === 'dead' ? DEAD_FRESH_MS : FRESH_MS;
  return nowMs - fact.seenMs < limitMs;
}

/**
 * The own observation counts before all others, since a partition may cut off only this router or
 * only the others. Without one, a target is dead or slow when a majority of fresh observers says
 * so: one observer behind a broken switch would else take away targets that serve all the others.
 * A leaving target is leaving whoever says it, since only the platform or the target itself knows.
 */
export function mergeFacts(
  facts: readonly TargetFact[],
  self: string,
  nowMs: number,
): TargetHealth | undefined {
  const fresh = facts.filter((fact) => isFresh(fact, nowMs));
  const [newest] = [...fresh].sort((left, right) => right.seenMs - left.seenMs);
  if (newest === undefined) return undefined;
  const own = fresh.find((fact) => fact.observer === self);
  const state = fresh.some((fact) => fact.state === 'leaving')
    ? 'leaving'
    : (own?.state ?? decideMajority(fresh));
  const witness = own ?? fresh.find((fact) => fact.state === state) ?? newest;
  const load = fresh.filter((fact) => fact.running !== undefined);
  const [newestLoad] = load.sort((left, right) => right.seenMs - left.seenMs);
  return {
    target: newest.target,
    state,
    observer: witness.observer,
    ageMs: Math.max(0, nowMs - witness.seenMs),
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
