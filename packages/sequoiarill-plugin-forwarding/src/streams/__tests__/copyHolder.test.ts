import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import type { Script } from '../../__tests__/fakeDependencies';
import * as Simulation from './simulateStream';

const BROKEN: Script[number][1] = { kind: 'broken', reason: 'reset' };

/** A run breaks off while the store is unreachable; `hasRestarted`: so has the holder of its copy. */
async function simulateBreak(hasRestarted: boolean) {
  const fake = Fakes.createFakeDependencies((target, headers) => {
    if (target === 'a1') return [...Simulation.createRun(1, 3).slice(0, -1), [200, BROKEN]];
    if (target === 'b1' && hasRestarted) {
      return [
        [2, Fakes.createHead(421)],
        [3, Simulation.END],
      ];
    }
    return Simulation.createRun(Simulation.createFromHeader(headers), 6);
  });
  const zones = { a1: 'a', b1: 'b', a2: 'a' };
  fake.setTargets(Object.entries(zones).map(([id, zone]) => Fakes.createTarget(id, { zone })));
  ['a1', 'b1', 'a2'].forEach((id) => fake.reports.set(id, Fakes.IDLE_REPORT));
  fake.reports.set('a2', { ...Fakes.IDLE_REPORT, running: 4 });
  Object.assign(fake.dependencies.directory, { isUpToDate: () => false });
  fake.clock.waitMs(150).then(
    () => hasRestarted && fake.reports.delete('b1'),
    () => undefined,
  );
  const result = await Simulation.simulateStream(fake);
  return { text: result.text, targets: fake.sentCalls.map(({ target }) => target) };
}

describe('a copy whose holder may have restarted unnoticed', () => {
  it('is not used where the holder no longer answers as itself', async () => {
    // The holder would reject the stream, which costs a retry of a budget that a crash uses up.
    const { text, targets } = await simulateBreak(true);
    expect(text).toEqual(Simulation.formatAll(6));
    expect(targets).toEqual(['a1', 'a2']);
  });

  it('is used where the holder answers as itself', async () => {
    // Without the copy the whole prompt is prefilled again.
    const { text, targets } = await simulateBreak(false);
    expect(text).toEqual(Simulation.formatAll(6));
    expect(targets).toEqual(['a1', 'b1']);
  });
});
