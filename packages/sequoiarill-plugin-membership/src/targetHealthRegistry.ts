/**
 * Health of the zone's targets: the facts (observations) published by all routers of the zone.
 * Performs no I/O: the time is an argument.
 *
 * Each observer numbers its facts in one increasing sequence. A router stores for each observer the
 * version up to which it has all facts, so one number per observer determines what a peer lacks.
 */
import type { TargetHealth, TargetReport } from '@sequoiarill/types';

import * as Deltas from './delta';
import type { Delta, ObserverDelta } from './delta';
import * as FactStores from './factStore';
import type { HashText, RosterEntry } from './peerRegistry';
import * as Publishing from './publishing';
import * as Facts from './targetFact';
import type { TargetFact } from './targetFact';

/** Own observations are removed at this age; decisions ignore them long before. */
const OWN_OBSERVATION_RETENTION_MS = 30_000;

export interface TargetHealthRegistry {
  readonly setRoster: (roster: readonly RosterEntry[]) => void;
  /** Increments the version of this process, which serves as its heartbeat, without a new fact. */
  readonly recordHeartbeat: () => void;
  /** Returns whether the observation changes the state that this router published last. */
  readonly recordReport: (report: TargetReport, nowMs: number) => boolean;
  /** Removes the facts of this process, for use after other routers considered it dead. */
  readonly removeOwnFacts: () => void;
  /** In the order of the roster. */
  readonly getVersions: () => readonly number[];
  readonly getOwnVersion: () => number;
  readonly listDelta: (versions: readonly number[], nowMs: number, maxFacts: number) => Delta;
  readonly listUpdates: (nowMs: number, maxFacts: number) => readonly ObserverDelta[];
  readonly hasUpdates: (nowMs: number) => boolean;
  /** Returns the targets with new facts. */
  readonly mergeDelta: (delta: Delta) => readonly string[];
  readonly mergeUpdates: (observers: readonly ObserverDelta[]) => readonly string[];
  readonly getHealth: (target: string, nowMs: number) => TargetHealth | undefined;
  readonly listTargets: () => readonly string[];
  readonly listFacts: () => readonly TargetFact[];
  readonly removeExpired: (nowMs: number) => void;
}

interface Observer extends RosterEntry {
  version: number;
}

export function createTargetHealthRegistry(self: string, hashText: HashText): TargetHealthRegistry {
  let observers: readonly Observer[] = [];
  let ownVersion = 0;
  const store = FactStores.createFactStore();
  /**
   * Latest own observations, published or not; they take precedence in decisions of this router.
   */
  const ownObservations = new Map<string, TargetFact>();
  const ranks = new Map<string, number>();

  function getVersion(observer: Observer): number {
    return observer.name === self ? ownVersion : observer.version;
  }

  function mergeFact(observer: Observer, fact: TargetFact): boolean {
    const stored = store.findFact(fact.target, observer.name);
    // Ignore delayed and duplicate facts: all versions up to this one were received before.
    const knownVersion = Math.max(observer.version, stored?.version ?? 0);
    if (fact.version <= knownVersion) return false;
    store.setFact({ ...fact, observer: observer.name });
    return true;
  }

  function mergeUpdates(updates: readonly ObserverDelta[]): readonly string[] {
    const changedTargets = new Set<string>();
    for (const { observer: name, facts } of updates) {
      const observer = observers.find((candidate) => candidate.name === name);
      if (observer === undefined || name === self) continue;
      const merged = facts.filter((fact) => mergeFact(observer, fact));
      merged.forEach((fact) => changedTargets.add(fact.target));
    }
    return [...changedTargets];
  }

  function getRank(target: string): number {
    const cachedRank = ranks.get(target);
    if (cachedRank !== undefined) return cachedRank;
    const ownHash = hashText(`${target} ${self}`);
    const others = observers.filter(({ name }) => name !== self);
    const ahead = others.filter(({ name }) => hashText(`${target} ${name}`) < ownHash);
    ranks.set(target, ahead.length);
    return ahead.length;
  }

  return {
    setRoster(roster) {
      const existing = new Map(observers.map((observer) => [observer.name, observer]));
      const names = new Set(roster.map((entry) => entry.name));
      for (const name of existing.keys()) if (!names.has(name)) store.removeObserver(name);
      observers = roster.map((entry) => {
        const observer = existing.get(entry.name);
        if (observer?.incarnation === entry.incarnation) return observer;
        if (entry.name !== self) store.removeObserver(entry.name);
        return { ...entry, version: 0 };
      });
      ranks.clear();
    },
    recordHeartbeat() {
      ownVersion += 1;
    },
    recordReport(report, nowMs) {
      ownObservations.set(report.target, { ...report, observer: self, version: 0, seenMs: nowMs });
      const decision = Publishing.decidePublishing({
        report,
        published: store.findFact(report.target, self),
        knownFacts: store.listByTarget(report.target),
        rank: getRank(report.target),
        nowMs,
      });
      if (decision === 'withhold') return false;
      ownVersion += 1;
      store.setFact({ ...report, observer: self, version: ownVersion, seenMs: nowMs });
      return decision === 'stateChange';
    },
    removeOwnFacts() {
      store.removeObserver(self);
      ownObservations.clear();
    },
    getVersions: () => observers.map(getVersion),
    getOwnVersion: () => ownVersion,
    listDelta(versions, nowMs, maxFacts) {
      const candidates = observers.map((observer, index) => ({
        observer: observer.name,
        version: getVersion(observer),
        facts: store.listNewer(observer.name, versions[index] ?? 0, nowMs),
      }));
      return Deltas.selectDelta(candidates, maxFacts);
    },
    listUpdates: (nowMs, maxFacts) =>
      Deltas.buildObserverDeltas(store.listUpdates(nowMs).slice(0, maxFacts)),
    hasUpdates: (nowMs) => store.listUpdates(nowMs).length > 0,
    mergeDelta(delta) {
      const changedTargets = mergeUpdates(delta.observers);
      delta.versions.forEach((version, index) => {
        const observer = observers[index];
        if (observer !== undefined) observer.version = Math.max(observer.version, version);
      });
      return changedTargets;
    },
    mergeUpdates,
    getHealth(target, nowMs) {
      const others = store.listByTarget(target).filter((fact) => fact.observer !== self);
      const own = ownObservations.get(target);
      return Facts.mergeFacts(own === undefined ? others : [...others, own], self, nowMs);
    },
    listTargets: () => [...new Set([...store.listTargets(), ...ownObservations.keys()])],
    listFacts: () => store.listAll(),
    removeExpired(nowMs) {
      store.removeExpired(nowMs);
      for (const [target, fact] of ownObservations) {
        if (nowMs - fact.seenMs >= OWN_OBSERVATION_RETENTION_MS) ownObservations.delete(target);
      }
    },
  };
}
