/** Stores the latest fact for each target and observer. */
import * as Facts from './targetFact';
import type { TargetFact } from './targetFact';

/** How long a state change is pushed with each request; by then it has reached the whole zone. */
const PUSH_MS = 1_500;

/**
 * Facts are retained this long for dumps and to detect late duplicates; decisions ignore them
 * sooner.
 */
const FACT_RETENTION_MS = 30_000;

export interface FactStore {
  readonly findFact: (target: string, observer: string) => TargetFact | undefined;
  readonly setFact: (fact: TargetFact) => void;
  readonly removeObserver: (observer: string) => void;
  readonly listAll: () => readonly TargetFact[];
  /** Recent facts that changed the state reported by their observer, the newest first. */
  readonly listUpdates: (nowMs: number) => readonly TargetFact[];
  readonly listByTarget: (target: string) => readonly TargetFact[];
  /** Recent facts of one observer above a version, in ascending order of versions. */
  readonly listNewer: (observer: string, version: number, nowMs: number) => readonly TargetFact[];
  readonly listTargets: () => readonly string[];
  readonly removeExpired: (nowMs: number) => void;
}

export function createFactStore(): FactStore {
  const factsByTarget = new Map<string, Map<string, TargetFact>>();

  /**
   * Facts of each observer in ascending order of versions, including superseded ones, so that the
   * cost of a response depends on the number of new facts and not on the number of stored ones.
   */
  const logs = new Map<string, TargetFact[]>();
  let updates: readonly TargetFact[] = [];

  function isCurrent(fact: TargetFact): boolean {
    return factsByTarget.get(fact.target)?.get(fact.observer) === fact;
  }

  function addToLog(fact: TargetFact): void {
    const log = logs.get(fact.observer) ?? [];
    logs.set(fact.observer, log);
    // Pushed updates may arrive before older facts of the same observer; all others arrive in
    // order.
    let index = log.length;
    while (index > 0 && (log[index - 1]?.version ?? 0) > fact.version) index -= 1;
    log.splice(index, 0, fact);
  }

  /** Lists current, recent facts above a version, the oldest first. */
  function listLogged(observer: string, version: number, nowMs: number): readonly TargetFact[] {
    const log = logs.get(observer) ?? [];
    const newer: TargetFact[] = [];
    for (let index = log.length - 1; index >= 0; index -= 1) {
      const fact = log[index];
      if (fact === undefined || fact.version <= version) break;
      // Decisions ignore expired facts, and a router resumed after a pause would send all it has.
      if (isCurrent(fact) && Facts.isFresh(fact, nowMs)) newer.push(fact);
    }
    return newer.reverse();
  }

  function removeSuperseded(): void {
    for (const [observer, log] of logs) logs.set(observer, log.filter(isCurrent));
  }

  function removeOldUpdates(nowMs: number): void {
    if (updates.length > 0) updates = updates.filter((fact) => nowMs - fact.seenMs < PUSH_MS);
  }

  return {
    findFact: (target, observer) => factsByTarget.get(target)?.get(observer),
    setFact(fact) {
      const facts = factsByTarget.get(fact.target) ?? new Map<string, TargetFact>();
      factsByTarget.set(fact.target, facts);
      const previousState = facts.get(fact.observer)?.state ?? 'healthy';
      facts.set(fact.observer, fact);
      addToLog(fact);
      if (fact.state !== previousState) updates = [fact, ...updates];
    },
    removeObserver(observer) {
      factsByTarget.forEach((facts) => facts.delete(observer));
      logs.delete(observer);
      updates = updates.filter((fact) => fact.observer !== observer);
    },
    listAll: () => [...factsByTarget.values()].flatMap((facts) => [...facts.values()]),
    listUpdates(nowMs) {
      removeOldUpdates(nowMs);
      return updates;
    },
    listByTarget: (target) => [...(factsByTarget.get(target)?.values() ?? [])],
    listNewer: listLogged,
    listTargets: () => [...factsByTarget.keys()],
    removeExpired(nowMs) {
      removeOldUpdates(nowMs);
      for (const [target, facts] of factsByTarget) {
        for (const [observer, fact] of facts) {
          if (nowMs - fact.seenMs >= FACT_RETENTION_MS) facts.delete(observer);
        }
        if (facts.size === 0) factsByTarget.delete(target);
      }
      removeSuperseded();
    },
  };
}
