import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as SharedProbes from '../sharedProbe';
import type { TargetProbeResult } from '../targetProbe';

function createProbe(result: TargetProbeResult) {
  const clock = Kernel.createFakeClock();
  const probed: string[] = [];
  const probe = SharedProbes.createSharedProbe(clock, async ({ id }) => {
    probed.push(id);
    await clock.waitMs(20);
    return result;
  });
  return { clock, probed, probe };
}

describe('a probe of a target', () => {
  it('is shared by requests that are late together, and its answer counts for a moment', async () => {
    // Guards against a connection for each late request to each target that could take it.
    const { clock, probed, probe } = createProbe('answered');
    const targets = ['o1', 'o2'].map((id) => Fakes.createTarget(id));
    const results = Promise.all([...targets, ...targets, ...targets].map(probe));
    await clock.runFor(60);
    expect(new Set(await results)).toEqual(new Set(['answered']));
    await Promise.all(targets.map(probe));
    expect(probed).toEqual(['o1', 'o2']);
    await clock.runFor(100);
    const later = Promise.all(targets.map(probe));
    await clock.runFor(20);
    await later;
    expect(probed.length).toEqual(4);
  });

  it('is repeated where it was not answered', async () => {
    const { clock, probed, probe } = createProbe('silent');
    for (let round = 0; round < 2; round += 1) {
      const result = probe(Fakes.createTarget('o1'));
      await clock.runFor(20);
      expect(await result).toEqual('silent');
    }
    expect(probed.length).toEqual(2);
  });
});
