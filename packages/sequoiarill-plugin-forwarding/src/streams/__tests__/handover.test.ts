import { describe, it } from 'node:test';

import type { ForwardingTarget } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Played from './playStream';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies } from '../../__tests__/fakeDependencies';

const EVENTS = 60;
/** The service has moved to the other version from then on, milliseconds. */
const MOVED_MS = 500;

/** Engines of two versions; those of the new one have loaded `models`. */
function createFleet(models: string): FakeDependencies {
  const fake = Fakes.createFakeDependencies((_target, headers) =>
    Played.createRun(Played.createFromHeader(headers), EVENTS),
  );
  const old = ['a1', 'a2'].map((id) => Fakes.createTarget(id));
  const fresh = ['b1', 'b2'].map((id) => Fakes.createTarget(id, { version: 'v2', models }));
  fake.setTargets([...old, ...fresh]);
  [...old, ...fresh].forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
  const hasMoved = (): boolean => fake.clock.getNowMs() >= MOVED_MS;
  const rollouts = {
    ...fake.dependencies.rollouts,
    selectTargets: (all: readonly ForwardingTarget[]) =>
      all.filter(({ version }) => (version === 'v1') === !hasMoved()),
    isLeaving: ({ version }: ForwardingTarget) => hasMoved() && version === 'v1',
  };
  return { ...fake, dependencies: { ...fake.dependencies, rollouts } };
}

describe('a stream whose version is to stop', () => {
  // Failure: targets of the version before stop at once, and streams there break off.
  it('goes on from a copy at the version that stays, before its own target stops', async () => {
    const fake = createFleet('m 1');
    const { text, outcome } = await Played.playStream(fake);
    expect(outcome?.kind).toEqual('complete');
    expect(text).toEqual(Played.formatAll(EVENTS));
    const last = fake.sentCalls.at(-1);
    expect(last?.target.startsWith('b')).toEqual(true);
    expect(last?.headers.from).not.toEqual(undefined);
  });

  // Failure: tokens of two models are joined into one answer.
  it('never goes on where other models are loaded', async () => {
    const fake = createFleet('m 2');
    const { text, outcome } = await Played.playStream(fake);
    expect(outcome?.kind).toEqual('complete');
    expect(text).toEqual(Played.formatAll(EVENTS));
    expect(fake.sentCalls.every(({ target }) => target.startsWith('a'))).toEqual(true);
  });
});
