import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Runs from '../run';

const SEED = 20_261_203;

describe('a short soak', () => {
  it('violates no guarantee during a few seconds of faults', async () => {
    // Routers are paused, stopped and killed, targets crash and leave, links are cut, the store refuses
    // calls, and configurations change. The records of callers and targets are compared at the end.
    const size = { seconds: 6, routers: 2, callers: 4 };
    const result = await Runs.runSoak({ seed: SEED, ...size, hasCrashingPart: false });
    expect(result.violations).toEqual([]);
    expect(result.answered).toBeGreaterThan(0);
    expect(result.probes).toBeGreaterThan(0);
  });
});
