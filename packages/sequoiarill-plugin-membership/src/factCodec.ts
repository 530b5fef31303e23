/** Encodes facts to the compact form of the messages between routers and decodes them. */
import type { TargetState } from '@sequoiarill/types';

import type { EncodedFact, ObserverFacts } from './messages';
import type { RosterEntry } from './peerRegistry';
import type { TargetFact } from './targetFact';
import type { ObserverDelta } from './delta';

const STATES: readonly TargetState[] = ['healthy', 'slow', 'dead', 'leaving'];
const AGE_UNIT_MS = 100;
const UNKNOWN_COUNT = -1;

/** Encodes the age, so that a relayed fact does not appear to be new. */
function encodeFact(fact: TargetFact, nowMs: number): EncodedFact {
  const age = Math.max(0, Math.round((nowMs - fact.seenMs) / AGE_UNIT_MS));
  const state = STATES.indexOf(fact.state);
  const { target, version, running = UNKNOWN_COUNT, waiting = UNKNOWN_COUNT } = fact;
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
    ...(running === UNKNOWN_COUNT ? {} : { running }),
    ...(waiting === UNKNOWN_COUNT ? {} : { waiting }),
  };
}

export function encodeObservers(
  observers: readonly ObserverDelta[],
  roster: readonly RosterEntry[],
  nowMs: number,
): ObserverFacts[] {
  const indexes = new Map(roster.map((entry, index) => [entry.name, index]));
  return observers.flatMap(({ observer, facts }) => {
    const index = indexes.get(observer);
    if (index === undefined) return [];
    return [{ observer: index, facts: facts.map((fact) => [...encodeFact(fact, nowMs)]) }];
  });
}

export function decodeObservers(
  encoded: readonly ObserverFacts[],
  roster: readonly RosterEntry[],
  nowMs: number,
): readonly ObserverDelta[] {
  return encoded.flatMap(({ observer: index, facts }) => {
    const observer = roster[index]?.name;
    if (observer === undefined) return [];
    return [{ observer, facts: facts.map((fact) => decodeFact(fact, observer, nowMs)) }];
  });
}
