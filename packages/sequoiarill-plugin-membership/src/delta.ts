/** What one router sends of the facts that another lacks. Pure. */
import type { TargetFact } from './targetFact';

export interface ObserverDelta {
  readonly observer: string;
  readonly facts: readonly TargetFact[];
}

export interface Delta {
  /** By roster order: up to which version each observer's facts are complete after merging. */
  readonly versions: readonly number[];
  readonly observers: readonly ObserverDelta[];
}

export interface DeltaCandidate extends ObserverDelta {
  /** Up to which the sender has everything of this observer. */
  readonly version: number;
}

/**
 * Cuts a delta that is too large. What is left out of an observer's facts are its newest, and its
 * version stays below them, so that the next exchange goes on there and nothing is skipped.
 */
export function selectDelta(candidates: readonly DeltaCandidate[], maxFacts: number): Delta {
  let left = maxFacts;
  const chosen = candidates.map((candidate) => {
    const facts = candidate.facts.slice(0, left);
    left -= facts.length;
    const next = candidate.facts[facts.length];
    const version =
      next === undefined ? candidate.version : Math.min(candidate.version, next.version - 1);
    return { observer: candidate.observer, version, facts };
  });
  return {
    versions: chosen.map(({ version }) => version),
    observers: chosen
      .filter(({ facts }) => facts.length > 0)
      .map(({ observer, facts }) => ({ observer, facts })),
  };
}

export function buildObserverDeltas(facts: readonly TargetFact[]): readonly ObserverDelta[] {
  const names = [...new Set(facts.map((fact) => fact.observer))];
  return names.map((observer) => ({
    observer,
    facts: facts.filter((fact) => fact.observer === observer),
  }));
}
