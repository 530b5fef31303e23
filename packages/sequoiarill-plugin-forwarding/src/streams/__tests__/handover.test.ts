import { describe, it } from 'node:test';

import type { ForwardingTarget } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Simulation from './simulateStream';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies } from '../../__tests__/fakeDependencies';

const EVENTS = 60;
/** Time at which the service has moved to the other version. */
const MOVED_MS = 500;

/** Creates engines of two versions; those of the new one have loaded `models`. */
function createFleet(models: string): FakeDependencies {
  const fake = Fakes.createFakeDependencies((_target, headers) =>
    Simulation.createRun(Simulation.createFromHeader(headers), EVENTS),
  );
  const previous = ['a1', 'a2'].map((id) => Fakes.createTarget(id));
  const updated = ['b1', 'b2'].map((id) => Fakes.createTarget(id, { version: 'v2', models }));
  fake.setTargets([...previous, ...updated]);
  [...previous, ...updated].forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
  const hasMoved = (): boolean => fake.clock.getNowMs() >= MOVED_MS;
  const rollouts = {
    ...fake.dependencies.rollouts,
    selectTargets: (all: readonly ForwardingTarget[]) =>
      all.filter(({ version }) => (version === 'v1') === !hasMoved()),
    isLeaving: ({ version }: ForwardingTarget) => hasMoved() && version === 'v1',
  };
  return { ...fake, dependencies: { ...fake.dependencies, rollouts } };
}

describe('a stream whose version is about to stop', () => {
  // Failure: targets of the previous version stop at once, and their streams are interrupted.
  it('continues from a copy on the new version before its own target stops', async () => {
    const fake = createFleet('m 1');
    const { text, outcome } = await Simulation.simulateStream(fake);
    expect(outcome?.kind).toEqual('complete');
    expect(text).toEqual(Simulation.formatAll(EVENTS));
    const last = fake.sentCalls.at(-1);
    expect(last?.target.startsWith('b')).toEqual(true);
    expect(last?.headers.from).not.toEqual(undefined);
  });

  // Failure: one answer mixes the tokens of two models.
  it('never continues on a target with other models', async () => {
    const fake = createFleet('m 2');
    const { text, outcome } = await Simulation.simulateStream(fake);
    expect(outcome?.kind).toEqual('complete');
    expect(text).toEqual(Simulation.formatAll(EVENTS));
    expect(fake.sentCalls.every(({ target }) => target.startsWith('a'))).toEqual(true);
  });
});
