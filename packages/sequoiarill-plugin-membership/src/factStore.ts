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
  /** Those worth telling of one observer above a version, in its order. */
  readonly listNewer: (observer: string, version: number, nowMs: number) => readonly TargetFact[];
  readonly listTargets: () => readonly string[];
  readonly removeAged: (nowMs: number) => void;
}

export function createFactStore(): FactStore {
  const factsByTarget = new Map<string, Map<string, TargetFact>>();

  /**
   * Facts of each observer in the order of their versions, with those that were replaced since, so
   * that an answer costs what is new and not what is there.
   */
  const logs = new Map<string, TargetFact[]>();
  let news: readonly TargetFact[] = [];

  function isCurrent(fact: TargetFact): boolean {
    return factsByTarget.get(fact.target)?.get(fact.observer) === fact;
  }

  function addToLog(fact: TargetFact): void {
    const log = logs.get(fact.observer) ?? [];
    logs.set(fact.observer, log);
    // News may overtake what its observer told before; all else comes in order.
    let place = log.length;
    while (place > 0 && (log[place - 1]?.version ?? 0) > fact.version) place -= 1;
    log.splice(place, 0, fact);
  }

  /** Those above a version that are worth telling, the oldest first. */
  function listLogged(observer: string, version: number, nowMs: number): readonly TargetFact[] {
    const log = logs.get(observer) ?? [];
    const newer: TargetFact[] = [];
    for (let place = log.length - 1; place >= 0; place -= 1) {
      const fact = log[place];
      if (fact === undefined || fact.version <= version) break;
      // Nobody decides by aged facts, and a woken router would send all it has.
      if (isCurrent(fact) && Facts.isFresh(fact, nowMs)) newer.push(fact);
    }
    return newer.reverse();
  }

  function removeReplaced(): void {
    for (const [observer, log] of logs) logs.set(observer, log.filter(isCurrent));
  }

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
      addToLog(fact);
      if (fact.state !== before) news = [fact, ...news];
    },
    removeObserver(observer) {
      factsByTarget.forEach((facts) => facts.delete(observer));
      logs.delete(observer);
      news = news.filter((fact) => fact.observer !== observer);
    },
    listAll: () => [...factsByTarget.values()].flatMap((facts) => [...facts.values()]),
    listNews(nowMs) {
      removeOldNews(nowMs);
      return news;
    },
    listOfTarget: (target) => [...(factsByTarget.get(target)?.values() ?? [])],
    listNewer: listLogged,
    listTargets: () => [...factsByTarget.keys()],
    removeAged(nowMs) {
      removeOldNews(nowMs);
      for (const [target, facts] of factsByTarget) {
        for (const [observer, fact] of facts) {
          if (nowMs - fact.seenMs >= PRUNE_MS) facts.delete(observer);
        }
        if (facts.size === 0) factsByTarget.delete(target);
      }
      removeReplaced();
    },
  };
}
