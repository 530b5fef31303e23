import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as CopyPlacement from '../copyPlacement';
import type { CopyActionQuery } from '../copyPlacement';

const DEFAULT_QUERY: CopyActionQuery = {
  runZone: 'a',
  routerZone: 'c',
  holderZone: 'c',
  isHolderAvailable: true,
  isLocalZoneAvailable: true,
  ageMs: undefined,
  lifetimeMs: 4_000,
};

function decide(change: Partial<CopyActionQuery>) {
  return CopyPlacement.decideCopyAction({ ...DEFAULT_QUERY, ...change });
}

describe('copy placement', () => {
  it('moves the copy to the zone of the router when run and copy are behind one link', () => {
    // Zone c crashed, so the run continued in a and its next copy was made in b. Zone c is up again
    // and will be partitioned. With run and copy both outside, the caller in c would wait for a
    // full prefill.
    expect(decide({ holderZone: 'b', isLocalZoneAvailable: false })).toEqual('keep');
    expect(decide({ holderZone: 'b' })).toEqual('move');
    expect(decide({ runZone: 'c', holderZone: 'b' })).toEqual('keep');
  });

  it('moves the copy when its holder is lost, and renews it before its holder drops it', () => {
    expect(decide({ isHolderAvailable: false })).toEqual('move');
    expect(decide({ ageMs: 1_999 })).toEqual('keep');
    expect(decide({ ageMs: 2_000 })).toEqual('renew');
  });
});
