import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as SuspectTrackers from '../suspectTracker';

function createLocation(id: string, zone = 'a') {
  return { id, zone, service: 'engines' };
}

describe('suspectTracker', () => {
  it('suspects a lost target for about the time of a restart', () => {
    const tracker = SuspectTrackers.createSuspectTracker();
    tracker.recordLoss(createLocation('a1'), 1_000);
    expect(tracker.isSuspect(createLocation('a1'), 1_100)).toEqual(true);
    expect(tracker.isSuspect(createLocation('a2'), 1_100)).toEqual(false);
    expect(tracker.isSuspect(createLocation('a1'), 3_000)).toEqual(false);
  });

  it('suspects a zone that loses several targets, except targets with liveness evidence', () => {
    // Most engines of a zone crash at the same moment. If the zone were not suspected, each new prompt
    // would first wait for one of the dead engines.
    const tracker = SuspectTrackers.createSuspectTracker();
    for (const id of ['a1', 'a2', 'a3']) tracker.recordLoss(createLocation(id), 1_000);
    tracker.recordAlive(createLocation('a5'), 1_050);
    expect(tracker.isSuspect(createLocation('a4'), 1_100)).toEqual(true);
    expect(tracker.isSuspect(createLocation('a5'), 1_100)).toEqual(false);
    expect(tracker.isSuspect(createLocation('b1', 'b'), 1_100)).toEqual(false);
    expect(tracker.isSuspect(createLocation('a4'), 2_100)).toEqual(false);
  });

  it('trusts a target that has answered after the losses of its zone', () => {
    // Guards against engines without new requests for a second after a common pause that they have ended.
    const tracker = SuspectTrackers.createSuspectTracker();
    for (const id of ['a1', 'a2', 'a3', 'a4']) tracker.recordLoss(createLocation(id), 1_000);
    tracker.recordAlive(createLocation('a1'), 1_050);
    tracker.recordLoss(createLocation('b1', 'b'), 1_400);
    expect(tracker.isSuspect(createLocation('a1'), 1_500)).toEqual(false);
    expect(tracker.isSuspect(createLocation('a2'), 1_500)).toEqual(true);
    // Three more losses: the zone was lost after the answer.
    for (const id of ['a2', 'a3', 'a4']) tracker.recordLoss(createLocation(id), 1_600);
    expect(tracker.isSuspect(createLocation('a1'), 1_700)).toEqual(true);
  });

  it('treats losses at different times as ordinary crashes', () => {
    const tracker = SuspectTrackers.createSuspectTracker();
    tracker.recordLoss(createLocation('a1'), 1_000);
    tracker.recordLoss(createLocation('a2'), 2_500);
    tracker.recordLoss(createLocation('a3'), 4_000);
    expect(tracker.isSuspect(createLocation('a4'), 4_010)).toEqual(false);
  });

  it('clears a target with liveness evidence, and keeps suspecting a removed one', () => {
    const tracker = SuspectTrackers.createSuspectTracker();
    tracker.recordLoss(createLocation('a1'), 1_000);
    tracker.recordAlive(createLocation('a1'), 1_200);
    expect(tracker.isSuspect(createLocation('a1'), 1_201)).toEqual(false);
    tracker.recordRemoval(createLocation('a2'), 1_000);
    expect(tracker.isSuspect(createLocation('a2'), 5_000)).toEqual(true);
  });
});
