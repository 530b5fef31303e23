import { describe, it } from 'node:test';

import type { ForwardingTarget } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Simulation from './simulateStream';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies } from '../../__tests__/fakeDependencies';

const EVENTS = 60;
/** Time at which the service has moved to the other version. */
const MOVED_MS = 500;

/**
 * Engines of two versions with the same models; the service moves from the first to the second. The first
 * ones break off after so many events; `change` applies to the engine a2.
 */
function createFleet(
  failsAfter: Readonly<Record<string, number>> = {},
  change: Partial<ForwardingTarget> = {},
): FakeDependencies {
  const fake = Fakes.createFakeDependencies((target, headers) => {
    const run = Simulation.createRun(Simulation.createFromHeader(headers), EVENTS);
    const last = failsAfter[target];
    return last === undefined
      ? run
      : [...run.slice(0, 1 + last), [60 + last * 30, { kind: 'broken', reason: 'ECONNRESET' }]];
  });
  const previous = [Fakes.createTarget('a1'), Fakes.createTarget('a2', change)];
  const updated = ['b1', 'b2'].map((id) => Fakes.createTarget(id, { version: 'v2' }));
  fake.setTargets([...previous, ...updated]);
  [...previous, ...updated].forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
  fake.reports.set('a2', { ...Fakes.IDLE_REPORT, running: 2 });
  const hasMoved = (): boolean => fake.clock.getNowMs() >= MOVED_MS;
  const rollouts = {
    ...fake.dependencies.rollouts,
    selectTargets: (all: readonly ForwardingTarget[]) =>
      all.filter(({ version }) => (version === 'v1') === !hasMoved()),
  };
  return { ...fake, dependencies: { ...fake.dependencies, rollouts } };
}

function listUsed(fake: FakeDependencies): readonly string[] {
  return fake.sentCalls.map(({ target }) => target);
}

describe('a stream whose service has moved to another software version', () => {
  it('ends at its own version', async () => {
    // Guards against a handover to a version whose tokens do not fit the ones before.
    const fake = createFleet();
    const { text, outcome } = await Simulation.simulateStream(fake);
    expect(outcome?.kind).toEqual('complete');
    expect(text).toEqual(Simulation.formatAll(EVENTS));
    expect(listUsed(fake).length).toEqual(1);
    expect(listUsed(fake)[0]?.startsWith('a')).toEqual(true);
  });

  it('goes on from its copy at another target of its version when its own one ends', async () => {
    // Guards against streams that break off although targets of their version still serve.
    const fake = createFleet({ a1: 30 });
    const { text, outcome } = await Simulation.simulateStream(fake);
    expect(outcome?.kind).toEqual('complete');
    expect(text).toEqual(Simulation.formatAll(EVENTS));
    expect(listUsed(fake)).toEqual(['a1', 'a2']);
    expect(fake.sentCalls[1]?.headers.from).not.toEqual(undefined);
  });

  it('does not go on at a target whose version nobody knows', async () => {
    // Guards against a target found at a known address that runs another software version.
    const fake = createFleet({ a1: 5 }, { isVersionPresumed: true });
    const { text, outcome } = await Simulation.simulateStream(fake);
    expect(outcome?.kind).toEqual('broken');
    expect(Simulation.formatAll(EVENTS).startsWith(text)).toEqual(true);
    expect([...new Set(listUsed(fake))]).toEqual(['a1']);
  });

  it('breaks off when no target of its version can go on', async () => {
    // Guards against events of two software versions in one answer.
    const fake = createFleet({ a1: 5, a2: 5 });
    const { text, outcome } = await Simulation.simulateStream(fake);
    expect(outcome?.kind).toEqual('broken');
    expect(Simulation.formatAll(EVENTS).startsWith(text)).toEqual(true);
    expect(listUsed(fake).filter((target) => target.startsWith('b'))).toEqual([]);
  });
});
