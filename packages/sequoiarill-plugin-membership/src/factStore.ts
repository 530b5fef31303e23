/** Facts by target and observer, the newest of each. */
import * as Facts from './targetFact';
import type { TargetFact } from './targetFact';

/** A change of state is passed on unasked for so long, by which time it has reached the zone. */
const NEWS_MS = 1_500;

/** Kept so long after the last sight, for dumps and late duplicates; ages out of decisions before. */
const PRUNE_MS = 30_000;

export interface FactStore {
  readonly findFact: (target: string, observer: string) => TargetFact | undefined;
  readonly setFact: (fact: TargetFact) => void;
  readonly removeObserver: (observer: string) => void;
  readonly listAll: () => readonly TargetFact[];
  /** Facts that changed what their observer had said before, the newest first. */
  readonly listNews: (nowMs: number) => readonly TargetFact[];
  readonly listOfTarget: (target: string) => readonly TargetFact[];
  /** Those worth telling above each observer's version, by observer and in its order. */
  readonly listNewer: (
    versions: ReadonlyMap<string, number>,
    nowMs: number,
  ) => ReadonlyMap<string, readonly TargetFact[]>;
  readonly listTargets: () => readonly string[];
  readonly removeAged: (nowMs: number) => void;
}

export function createFactStore(): FactStore {
  const factsByTarget = new Map<string, Map<string, TargetFact>>();

  let news: readonly TargetFact[] = [];

  function removeOldNews(nowMs: number): void {
    if (news.length > 0) news = news.filter((fact) => nowMs - fact.seenMs < NEWS_MS);
  }

  return {
    findFact: (target, observer) => factsByTarget.get(target)?.get(observer),
    setFact(fact) {
      const facts = factsByTarget.get(fact.target) ?? new Map<string, TargetFact>();
      factsByTarget.set(fact.target, facts);
      const before = facts.get(fact.observer)?.state ?? 'healthy';
      facts.set(fact.observer, fact);
      if (fact.state !== before) news = [fact, ...news];
    },
    removeObserver(observer) {
      factsByTarget.forEach((facts) => facts.delete(observer));
      news = news.filter((fact) => fact.observer !== observer);
    },
    listAll: () => [...factsByTarget.values()].flatMap((facts) => [...facts.values()]),
    listNews(nowMs) {
      removeOldNews(nowMs);
      return news;
    },
    listOfTarget: (target) => [...(factsByTarget.get(target)?.values() ?? [])],
    listNewer(versions, nowMs) {
      // One pass over what is there: an observer tells of few targets, and there are many of both.
      const newer = new Map<string, TargetFact[]>();
      for (const facts of factsByTarget.values()) {
        for (const fact of facts.values()) {
          const version = versions.get(fact.observer);
          // Nobody decides by aged facts, and a woken router would send all it has.
          if (version === undefined || fact.version <= version) continue;
          if (!Facts.isFresh(fact, nowMs)) continue;
          const found = newer.get(fact.observer);
          if (found === undefined) newer.set(fact.observer, [fact]);
          else found.push(fact);
        }
      }
      newer.forEach((facts) => facts.sort((left, right) => left.version - right.version));
      return newer;
    },
    listTargets: () => [...factsByTarget.keys()],
    removeAged(nowMs) {
      removeOldNews(nowMs);
      for (const [target, facts] of factsByTarget) {
        for (const [observer, fact] of facts) {
          if (nowMs - fact.seenMs >= PRUNE_MS) facts.delete(observer);
        }
        if (facts.size === 0) factsByTarget.delete(target);
      }
    },
  };
}
