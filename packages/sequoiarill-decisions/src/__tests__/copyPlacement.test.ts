import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as CopyPlacement from '../copyPlacement';
import type { CopyQuestion } from '../copyPlacement';

const QUESTION: CopyQuestion = {
  runZone: 'a',
  routerZone: 'c',
  holderZone: 'c',
  isHolderAvailable: true,
  isLocalZoneAvailable: true,
  ageMs: undefined,
  lifetimeMs: 4_000,
};

function decide(change: Partial<CopyQuestion>) {
  return CopyPlacement.decideCopyAction({ ...QUESTION, ...change });
}

describe('the place of a copy', () => {
  it('comes back to the zone of the router when run and copy are beyond one link', () => {
    // Zone c crashed: the run went on in a, its next copy in b. Zone c is up again, and is cut off soon.
    // With both beyond the link, the caller in c waits for the whole prompt once more.
    expect(decide({ holderZone: 'b', isLocalZoneAvailable: false })).toEqual('keep');
    expect(decide({ holderZone: 'b' })).toEqual('move');
    expect(decide({ runZone: 'c', holderZone: 'b' })).toEqual('keep');
  });

  it('moves when its keeper is lost, and is renewed before its keeper drops it', () => {
    expect(decide({ isHolderAvailable: false })).toEqual('move');
    expect(decide({ ageMs: 1_999 })).toEqual('keep');
    expect(decide({ ageMs: 2_000 })).toEqual('renew');
  });
});
