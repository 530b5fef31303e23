import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as HeldBytes from '../heldBytes';

/** Kept for files. */
const FILE_DESCRIPTORS = 200;

describe('the connections of callers', () => {
  it('leave descriptors to other routers, targets and files', () => {
    // Guards against clients whose connections leave none to targets.
    for (const maxDescriptors of [1_000, 2_212, 4_100, 10_250]) {
      const callers = HeldBytes.computeMaxConnections(undefined, maxDescriptors);
      const routers = Math.ceil(callers / 2);
      const left = maxDescriptors - FILE_DESCRIPTORS - callers - routers;
      expect(left).toBeGreaterThanOrEqual(maxDescriptors / 5);
    }
  });

  it('follow the setting where there is one', () => {
    expect(HeldBytes.computeMaxConnections(50, 4_100)).toEqual(50);
    expect(HeldBytes.computeMaxConnections(undefined, undefined)).toEqual(2_048);
  });
});
