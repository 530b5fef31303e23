import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { PartBlock } from '@sequoiarill/types';
import { expect } from 'earl';

import * as PartTrials from '../partTrials';

const BLOCK: PartBlock = {
  part: 'p',
  others: [],
  targets: [],
  firstAgeMs: 130_000,
  lastAgeMs: 120_000,
  failedTrials: 0,
};

describe('trials of a blocked part', () => {
  it('let one request through, for one attempt', () => {
    // Guards against a trial whose repeats crash further targets.
    const trials = PartTrials.createPartTrials(Kernel.createFakeClock());
    expect([trials.admit(BLOCK, 'r1'), trials.admit(BLOCK, 'r1')]).toEqual([true, true]);
    expect(trials.admit(BLOCK, 'r2')).toEqual(false);
    trials.recordSend('r1');
    expect([trials.admit(BLOCK, 'r1'), trials.admit(BLOCK, 'r2')]).toEqual([false, false]);
  });

  it('go to another request where nothing came of one', async () => {
    // Guards against a part that stays blocked because the request of its trial was never sent.
    const clock = Kernel.createFakeClock();
    const trials = PartTrials.createPartTrials(clock);
    trials.admit(BLOCK, 'r1');
    await clock.runFor(30_000);
    expect(trials.admit(BLOCK, 'r2')).toEqual(true);
  });

  it('come later after each that failed, three times', () => {
    // Guards against a part that keeps crashing a target every few minutes.
    const trials = PartTrials.createPartTrials(Kernel.createFakeClock());
    const isDue = (failedTrials: number, lastAgeMs: number) =>
      trials.isDue({ ...BLOCK, failedTrials, lastAgeMs });
    expect([isDue(0, 119_999), isDue(0, 120_000)]).toEqual([false, true]);
    expect([isDue(1, 120_000), isDue(1, 600_000)]).toEqual([false, true]);
    expect([isDue(2, 600_000), isDue(2, 3_000_000)]).toEqual([false, true]);
    expect(isDue(3, 80_000_000)).toEqual(false);
  });
});
