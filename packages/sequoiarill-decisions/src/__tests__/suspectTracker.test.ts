import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as SuspectTrackers from '../suspectTracker';

function createPlace(id: string, zone = 'a') {
  return { id, zone, service: 'engines' };
}

describe('loss suspicion', () => {
  it('leaves a lost target out for about the time of a restart', () => {
    const suspicion = SuspectTrackers.createSuspectTracker();
    suspicion.recordLoss(createPlace('a1'), 1_000);
    expect(suspicion.isSuspect(createPlace('a1'), 1_100)).toEqual(true);
    expect(suspicion.isSuspect(createPlace('a2'), 1_100)).toEqual(false);
    expect(suspicion.isSuspect(createPlace('a1'), 3_000)).toEqual(false);
  });

  it('leaves out the zone that goes dark, but for targets that still speak', () => {
    // Most engines of a zone go dark at the same moment. Without the zone each new prompt would wait
    // for one of the dead engines first.
    const suspicion = SuspectTrackers.createSuspectTracker();
    for (const id of ['a1', 'a2', 'a3']) suspicion.recordLoss(createPlace(id), 1_000);
    suspicion.recordAlive(createPlace('a5'), 1_050);
    expect(suspicion.isSuspect(createPlace('a4'), 1_100)).toEqual(true);
    expect(suspicion.isSuspect(createPlace('a5'), 1_100)).toEqual(false);
    expect(suspicion.isSuspect(createPlace('b1', 'b'), 1_100)).toEqual(false);
    expect(suspicion.isSuspect(createPlace('a4'), 2_100)).toEqual(false);
  });

  it('takes losses that lie apart for ordinary crashes', () => {
    const suspicion = SuspectTrackers.createSuspectTracker();
    suspicion.recordLoss(createPlace('a1'), 1_000);
    suspicion.recordLoss(createPlace('a2'), 2_500);
    suspicion.recordLoss(createPlace('a3'), 4_000);
    expect(suspicion.isSuspect(createPlace('a4'), 4_010)).toEqual(false);
  });

  it('trusts a target again at its first sign of life, and one that is gone no more', () => {
    const suspicion = SuspectTrackers.createSuspectTracker();
    suspicion.recordLoss(createPlace('a1'), 1_000);
    suspicion.recordAlive(createPlace('a1'), 1_200);
    expect(suspicion.isSuspect(createPlace('a1'), 1_201)).toEqual(false);
    suspicion.recordRemoval(createPlace('a2'), 1_000);
    expect(suspicion.isSuspect(createPlace('a2'), 5_000)).toEqual(true);
  });
});
