import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Simulation from './simulateStream';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';

const A1 = Fakes.createTarget('a1');
const B1 = Fakes.createTarget('b1', { zone: 'b' });
const C1 = Fakes.createTarget('c1', { zone: 'c' });
const ENGINES = [A1, B1, C1];
const EVENTS = 20;
const SILENCE_MS = 1_300;
/** Events of a run that go on after each silence where they stopped; a silence begins 30 ms after a fifth event. */
const FIRST_SILENCE_MS = 60 + 4 * 30 + 30;
const PERIOD_MS = 150 + SILENCE_MS;
const SILENCES = 3;

/** A run whose engine pauses after each fifth event. */
function createPausedRun(): Script {
  const parts = Array.from({ length: SILENCES + 1 }, (_one, index) =>
    Fakes.createEvents(index * 5 + 1, index * 5 + 5, 30, 60 + index * PERIOD_MS),
  );
  const endMs = 60 + SILENCES * PERIOD_MS + 150;
  return [[50, Fakes.createHead(200)], ...parts.flat(), [endMs, Simulation.END]];
}

function setSilent(fake: FakeDependencies, ids: readonly string[]): void {
  ids.forEach((id) => {
    fake.reports.delete(id);
    fake.contacts.set(id, 'accepts');
  });
}

function setAnswering(fake: FakeDependencies, ids: readonly string[]): void {
  ids.forEach((id, index) => {
    const run = { running: 1 + index, runIds: ['r1'] };
    fake.reports.set(id, { ...Fakes.IDLE_REPORT, ...run });
    fake.contacts.set(id, 'answers');
  });
}

/** Runs a stream on a1 while all engines of `silent` pause as often as it does. */
async function simulatePauses(
  script: (target: string, headers: Readonly<Record<string, string>>) => Script,
  silent: readonly string[],
  prepare: (fake: FakeDependencies) => void = () => undefined,
) {
  const fake = Fakes.createFakeDependencies(script);
  fake.setTargets(ENGINES);
  setAnswering(fake, ['a1', 'b1', 'c1']);
  prepare(fake);
  const pausing = (async () => {
    await fake.clock.waitMs(FIRST_SILENCE_MS);
    for (let index = 0; index < SILENCES; index += 1) {
      setSilent(fake, silent);
      await fake.clock.waitMs(SILENCE_MS);
      setAnswering(fake, silent);
      await fake.clock.waitMs(PERIOD_MS - SILENCE_MS);
    }
  })();
  const [result] = await Promise.all([Simulation.simulateStream(fake), pausing]);
  return { result, targets: fake.sentCalls.map(({ target }) => target), fake };
}

describe('a stream whose engine is silent', () => {
  it('stays with it while all engines are silent together', async () => {
    // Guards against a stream that goes from one silent engine to the next until its attempts are used up.
    const { result, targets } = await simulatePauses(createPausedRun, ['a1', 'b1', 'c1']);
    expect(result.text).toEqual(Simulation.formatAll(EVENTS));
    expect(targets).toEqual(['a1']);
  });

  it('stays with it where no repeat is left', async () => {
    // Guards against a stream that ends for want of a repeat although its engine goes on.
    const { result, targets } = await simulatePauses(createPausedRun, ['a1'], (fake) => {
      fake.dependencies.getBudget('engines').grantQuota(0, Number.POSITIVE_INFINITY);
    });
    expect(result.text).toEqual(Simulation.formatAll(EVENTS));
    expect(targets).toEqual(['a1']);
  });

  it('stays with its last one where no attempt is left', async () => {
    // Guards against a stream that ends for want of an attempt although its engine goes on.
    const fake = Fakes.createFakeDependencies((target, headers) => {
      if (target === 'a1') return createPausedRun();
      const from = Simulation.createFromHeader(headers);
      return [
        [50, Fakes.createHead(200)],
        ...Fakes.createEvents(from, from + 4, 30, 60),
        ...Fakes.createEvents(from + 5, EVENTS, 30, 3_000),
        [5_000, Simulation.END],
      ];
    });
    fake.setTargets(ENGINES);
    setAnswering(fake, ['a1', 'b1', 'c1']);
    const result = await Simulation.simulateStream(fake, 30_000, { maxTargets: 2 });
    expect(result.text).toEqual(Simulation.formatAll(EVENTS));
    expect(fake.sentCalls.length).toEqual(2);
  });

  it('stays with it while engines answer but streams at all of them stand still', async () => {
    // Guards against engines that answer probes and produce nothing, as the one that is silent does.
    const { result, targets } = await simulatePauses(
      createPausedRun,
      [],
      ({ dependencies, clock }) => {
        const others = [B1, C1].map((target) => dependencies.activity.startRun(target));
        others.forEach((run) => run.recordEvents(clock.getRunningMs()));
      },
    );
    expect(result.text).toEqual(Simulation.formatAll(EVENTS));
    expect(targets).toEqual(['a1']);
  });

  it('goes on elsewhere at once when its host is gone and others answer again', async () => {
    // Guards against a dead engine that is waited for because the others were silent for a while.
    const script = (target: string, headers: Readonly<Record<string, string>>): Script => {
      if (target === 'a1') return createPausedRun().slice(0, 6);
      return Simulation.createRun(Simulation.createFromHeader(headers), EVENTS);
    };
    const { result, targets, fake } = await simulatePauses(script, ['b1', 'c1'], (one) => {
      one.clock
        .waitMs(FIRST_SILENCE_MS)
        .then(() => {
          one.reports.delete('a1');
          one.contacts.set('a1', 'unreachable');
        })
        .catch(() => undefined);
    });
    expect(result.text).toEqual(Simulation.formatAll(EVENTS));
    expect(targets.length).toEqual(2);
    const wokenAtMs = FIRST_SILENCE_MS + SILENCE_MS;
    expect((fake.sentCalls[1]?.atMs ?? 0) - wokenAtMs).toBeLessThan(500);
  });

  it('goes on elsewhere at once when connections to it are refused', async () => {
    // Guards against a wait for an engine that has terminated without closing its connections.
    const script = (target: string, headers: Readonly<Record<string, string>>): Script =>
      target === 'a1'
        ? createPausedRun().slice(0, 6)
        : Simulation.createRun(Simulation.createFromHeader(headers), EVENTS);
    const { result, fake } = await simulatePauses(script, [], (one) => {
      one.clock
        .waitMs(FIRST_SILENCE_MS)
        .then(() => {
          one.reports.delete('a1');
          one.contacts.set('a1', 'refuses');
        })
        .catch(() => undefined);
    });
    expect(result.text).toEqual(Simulation.formatAll(EVENTS));
    expect(fake.sentCalls[1]?.atMs ?? 0).toBeLessThan(FIRST_SILENCE_MS + 600);
  });

  it('is not said to be unrun when its time is up', async () => {
    // Guards against a caller that repeats what its engine has run.
    const fake = Fakes.createFakeDependencies(() => []);
    fake.setTargets([A1]);
    setSilent(fake, ['a1']);
    const { outcome } = await Simulation.simulateStream(fake);
    expect(outcome?.kind).toEqual('failed');
  });
});
