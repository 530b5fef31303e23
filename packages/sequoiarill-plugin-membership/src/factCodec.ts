/** Facts between their typed form and the short one that routers send. Pure. */
import type { TargetState } from '@sequoiarill/types';

import type { EncodedFact, ObserverFacts } from './messages';
import type { RosterEntry } from './peerRegistry';
import type { TargetFact } from './targetFact';
import type { ObserverDelta } from './delta';

const STATES: readonly TargetState[] = ['healthy', 'slow', 'dead', 'leaving'];
const AGE_UNIT_MS = 100;
const NO_COUNT = -1;

/** The age goes along, so that a fact that was passed on does not look new. */
function encodeFact(fact: TargetFact, nowMs: number): EncodedFact {
  const age = Math.max(0, Math.round((nowMs - fact.seenMs) / AGE_UNIT_MS));
  const state = STATES.indexOf(fact.state);
  const { target, version, running = NO_COUNT, waiting = NO_COUNT } = fact;
  return [target, version, state, age, running, waiting];
}

function decodeFact(encoded: EncodedFact, observer: string, nowMs: number): TargetFact {
  const [target, version, state, age, running, waiting] = encoded;
  return {
    target,
    version,
    observer,
    state: STATES[state] ?? 'healthy',
    seenMs: nowMs - age * AGE_UNIT_MS,
    ...(running === NO_COUNT ? {} : { running }),
    ...(waiting === NO_COUNT ? {} : { waiting }),
  };
}

export function encodeObservers(
  observers: readonly ObserverDelta[],
  roster: readonly RosterEntry[],
  nowMs: number,
): ObserverFacts[] {
  const places = new Map(roster.map((entry, index) => [entry.name, index]));
  return observers.flatMap(({ observer, facts }) => {
    const place = places.get(observer);
    if (place === undefined) return [];
    return [{ observer: place, facts: facts.map((fact) => [...encodeFact(fact, nowMs)]) }];
  });
}

export function decodeObservers(
  encoded: readonly ObserverFacts[],
  roster: readonly RosterEntry[],
  nowMs: number,
): readonly ObserverDelta[] {
  return encoded.flatMap(({ observer: place, facts }) => {
    const observer = roster[place]?.name;
    if (observer === undefined) return [];
    return [{ observer, facts: facts.map((fact) => decodeFact(fact, observer, nowMs)) }];
  });
}
