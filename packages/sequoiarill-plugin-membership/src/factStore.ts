/** Facts by target and observer, the newest of each. */
import * as Facts from './targetFact';
import type { TargetFact } from './targetFact';

/** Kept so long after the last sight, for dumps and late duplicates; ages out of decisions before. */
const PRUNE_MS = 30_000;

export interface StoredFact {
  readonly fact: TargetFact;
  /** Whether it changed what the observer had said before. */
  readonly isChange: boolean;
}

export interface FactStore {
  readonly findFact: (target: string, observer: string) => TargetFact | undefined;
  readonly setFact: (fact: TargetFact) => void;
  readonly removeObserver: (observer: string) => void;
  readonly listAll: () => readonly StoredFact[];
  readonly listOfTarget: (target: string) => readonly TargetFact[];
  /** Those worth telling of one observer above a version, in its order. */
  readonly listNewer: (observer: string, version: number, nowMs: number) => readonly TargetFact[];
  readonly listTargets: () => readonly string[];
  readonly removeAged: (nowMs: number) => void;
}

export function createFactStore(): FactStore {
  const factsByTarget = new Map<string, Map<string, StoredFact>>();

  return {
    findFact: (target, observer) => factsByTarget.get(target)?.get(observer)?.fact,
    setFact(fact) {
      const facts = factsByTarget.get(fact.target) ?? new Map<string, StoredFact>();
      factsByTarget.set(fact.target, facts);
      const before = facts.get(fact.observer)?.fact.state ?? 'healthy';
      facts.set(fact.observer, { fact, isChange: fact.state !== before });
    },
    removeObserver(observer) {
      factsByTarget.forEach((facts) => facts.delete(observer));
    },
    listAll: () => [...factsByTarget.values()].flatMap((facts) => [...facts.values()]),
    listOfTarget: (target) =>
      [...(factsByTarget.get(target)?.values() ?? [])].map((stored) => stored.fact),
    listNewer(observer, version, nowMs) {
      const newer: TargetFact[] = [];
      for (const facts of factsByTarget.values()) {
        const fact = facts.get(observer)?.fact;
        // Nobody decides by aged facts, and a woken router would send all it has.
        if (fact !== undefined && fact.version > version && Facts.isFresh(fact, nowMs)) {
          newer.push(fact);
        }
      }
      return newer.sort((left, right) => left.version - right.version);
    },
    listTargets: () => [...factsByTarget.keys()],
    removeAged(nowMs) {
      for (const [target, facts] of factsByTarget) {
        for (const [observer, { fact }] of facts) {
          if (nowMs - fact.seenMs >= PRUNE_MS) facts.delete(observer);
        }
        if (facts.size === 0) factsByTarget.delete(target);
      }
    },
  };
}
