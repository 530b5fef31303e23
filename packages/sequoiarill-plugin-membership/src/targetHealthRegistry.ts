/**
 * Facts about the zone's targets by all its routers. Pure: the time is an argument.
 *
 * Each observer numbers its facts in one rising sequence. For each observer a router knows up to
 * which number it has everything, so one number an observer tells exactly what another lacks.
 */
import type { TargetHealth, TargetReport } from '@sequoiarill/types';

import * as Deltas from './delta';
import type { Delta, ObserverDelta } from './delta';
import * as FactStores from './factStore';
import type { HashText, RosterEntry } from './peerRegistry';
import * as Publishing from './publishing';
import * as Facts from './targetFact';
import type { TargetFact } from './targetFact';

/** An own sight that no decision uses any more. */
const SIGHT_MS = 30_000;

export interface TargetHealthRegistry {
  readonly setRoster: (roster: readonly RosterEntry[]) => void;
  /** The next version of this process, also when nothing else changed: its heartbeat. */
  readonly recordBeat: () => void;
  /** Tells whether the observation changed the state that this router told last. */
  readonly recordReport: (report: TargetReport, nowMs: number) => boolean;
  /** Forgets what this process told, when others took it for dead meanwhile. */
  readonly removeOwn: () => void;
  /** By roster order. */
  readonly getVersions: () => readonly number[];
  readonly getOwnVersion: () => number;
  readonly listDelta: (versions: readonly number[], nowMs: number, maxFacts: number) => Delta;
  readonly listNews: (nowMs: number, maxFacts: number) => readonly ObserverDelta[];
  readonly hasNews: (nowMs: number) => boolean;
  /** Returns the targets of which something new came. */
  readonly mergeDelta: (delta: Delta) => readonly string[];
  readonly mergeNews: (observers: readonly ObserverDelta[]) => readonly string[];
  readonly getHealth: (target: string, nowMs: number) => TargetHealth | undefined;
  readonly listTargets: () => readonly string[];
  readonly listFacts: () => readonly TargetFact[];
  readonly removeAged: (nowMs: number) => void;
}

interface Observer extends RosterEntry {
  version: number;
}

export function createTargetHealthRegistry(self: string, hashText: HashText): TargetHealthRegistry {
  let observers: readonly Observer[] = [];
  let ownVersion = 0;
  const store = FactStores.createFactStore();
  /** What this router saw last, told or not; the first to be asked in its own decisions. */
  const ownSights = new Map<string, TargetFact>();
  const ranks = new Map<string, number>();

  function getVersion(observer: Observer): number {
    return observer.name === self ? ownVersion : observer.version;
  }

  function mergeFact(observer: Observer, fact: TargetFact): boolean {
    const stored = store.findFact(fact.target, observer.name);
    // Late and repeated facts: everything up to these versions was seen before.
    const knownVersion = Math.max(observer.version, stored?.version ?? 0);
    if (fact.version <= knownVersion) return false;
    store.setFact({ ...fact, observer: observer.name });
    return true;
  }

  function mergeNews(news: readonly ObserverDelta[]): readonly string[] {
    const touched = new Set<string>();
    for (const { observer: name, facts } of news) {
      const observer = observers.find((candidate) => candidate.name === name);
      if (observer === undefined || name === self) continue;
      const merged = facts.filter((fact) => mergeFact(observer, fact));
      merged.forEach((fact) => touched.add(fact.target));
    }
    return [...touched];
  }

  function getRank(target: string): number {
    const known = ranks.get(target);
    if (known !== undefined) return known;
    const ownHash = hashText(`${target} ${self}`);
    const rivals = observers.filter(({ name }) => name !== self);
    const better = rivals.filter(({ name }) => hashText(`${target} ${name}`) < ownHash);
    ranks.set(target, better.length);
    return better.length;
  }

  return {
    setRoster(roster) {
      const known = new Map(observers.map((observer) => [observer.name, observer]));
      const names = new Set(roster.map((entry) => entry.name));
      for (const name of known.keys()) if (!names.has(name)) store.removeObserver(name);
      observers = roster.map((entry) => {
        const observer = known.get(entry.name);
        if (observer?.incarnation === entry.incarnation) return observer;
        if (entry.name !== self) store.removeObserver(entry.name);
        return { ...entry, version: 0 };
      });
      ranks.clear();
    },
    recordBeat() {
      ownVersion += 1;
    },
    recordReport(report, nowMs) {
      ownSights.set(report.target, { ...report, observer: self, version: 0, seenMs: nowMs });
      const decision = Publishing.decidePublishing({
        report,
        told: store.findFact(report.target, self),
        known: store.listOfTarget(report.target),
        rank: getRank(report.target),
        nowMs,
      });
      if (decision === 'withhold') return false;
      ownVersion += 1;
      store.setFact({ ...report, observer: self, version: ownVersion, seenMs: nowMs });
      return decision === 'stateChange';
    },
    removeOwn() {
      store.removeObserver(self);
      ownSights.clear();
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
    listNews: (nowMs, maxFacts) =>
      Deltas.buildObserverDeltas(store.listNews(nowMs).slice(0, maxFacts)),
    hasNews: (nowMs) => store.listNews(nowMs).length > 0,
    mergeDelta(delta) {
      const touched = mergeNews(delta.observers);
      delta.versions.forEach((version, index) => {
        const observer = observers[index];
        if (observer !== undefined) observer.version = Math.max(observer.version, version);
      });
      return touched;
    },
    mergeNews,
    getHealth(target, nowMs) {
      const others = store.listOfTarget(target).filter((fact) => fact.observer !== self);
      const own = ownSights.get(target);
      return Facts.mergeFacts(own === undefined ? others : [...others, own], self, nowMs);
    },
    listTargets: () => [...new Set([...store.listTargets(), ...ownSights.keys()])],
    listFacts: () => store.listAll(),
    removeAged(nowMs) {
      store.removeAged(nowMs);
      for (const [target, fact] of ownSights) {
        if (nowMs - fact.seenMs >= SIGHT_MS) ownSights.delete(target);
      }
    },
  };
}
