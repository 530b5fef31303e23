/** Selects the facts that one router sends to another that lacks them. */
import type { TargetFact } from './targetFact';

export interface ObserverDelta {
  readonly observer: string;
  readonly facts: readonly TargetFact[];
}

export interface Delta {
  /**
   * In roster order: the version up to which the facts of each observer are complete after merging.
   */
  readonly versions: readonly number[];
  readonly observers: readonly ObserverDelta[];
}

export interface DeltaCandidate extends ObserverDelta {
  /** Version up to which the sender has all facts of this observer. */
  readonly version: number;
}

/**
 * Limits a delta to a number of facts. The newest facts of an observer are omitted first, and its
 * version stays below them, so that the next exchange continues there and skips none.
 */
export function selectDelta(candidates: readonly DeltaCandidate[], maxFacts: number): Delta {
  let remaining = maxFacts;
  const selected = candidates.map((candidate) => {
    const facts = candidate.facts.slice(0, remaining);
    remaining -= facts.length;
    const next = candidate.facts[facts.length];
    const version =
      next === undefined ? candidate.version : Math.min(candidate.version, next.version - 1);
    return { observer: candidate.observer, version, facts };
  });
  return {
    versions: selected.map(({ version }) => version),
    observers: selected
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
