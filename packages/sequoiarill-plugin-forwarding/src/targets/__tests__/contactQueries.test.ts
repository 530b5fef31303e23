import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ContactQueries from '../contactQueries';
import * as Fakes from '../../__tests__/fakeDependencies';

const TARGET = Fakes.createTarget('s1');
const QUERY = { service: TARGET.service };
const CHECK_MS = 10;
/** Longest wait for a check. */
const LIMIT_MS = 100;

/** `checkMs`: time after which a check ends with an answer; undefined if the target does not answer. */
function createHandler(checkMs: number | undefined) {
  const { dependencies, clock, setTargets } = Fakes.createFakeDependencies(() => []);
  const { paths, directory, registry } = dependencies;
  setTargets([TARGET]);
  const checked: number[] = [];
  const handleQuery = ContactQueries.createContactQueryHandler({
    clock,
    nextRandom: () => 0.5,
    directory,
    paths,
    contacts: {
      async checkContact(target) {
        checked.push(clock.getNowMs());
        await clock.waitMs(checkMs ?? 250);
        if (checkMs === undefined) return 'accepts';
        registry.recordAlive(target);
        return 'answers';
      },
    },
  });
  const recordHeard = () => registry.recordAlive(TARGET);
  return { clock, checked, setTargets, recordHeard, handleQuery };
}

describe('answers to other routers about contact with targets', () => {
  it('have the time since a target was heard here, without a check if it was lately', async () => {
    // Guards against a probe for each question while targets speak anyway.
    const { clock, checked, recordHeard, handleQuery } = createHandler(CHECK_MS);
    recordHeard();
    await clock.runFor(70);
    expect(await handleQuery(QUERY)).toEqual({ heardAgeMs: 70 });
    expect(checked).toEqual([]);
  });

  it('come after a check of a target where none was heard lately', async () => {
    // Guards against a lost path that no router without requests of its own can tell from a pause of all targets.
    const { clock, checked, recordHeard, handleQuery } = createHandler(CHECK_MS);
    const first = handleQuery(QUERY);
    await clock.runFor(CHECK_MS);
    expect(await first).toEqual({ heardAgeMs: 0 });
    await clock.runFor(1_000);
    recordHeard();
    await clock.runFor(LIMIT_MS + 1);
    const second = handleQuery(QUERY);
    await clock.runFor(CHECK_MS);
    expect(await second).toEqual({ heardAgeMs: 0 });
    expect(checked.length).toEqual(2);
  });

  it('have the old word in time where targets accept connections and do not answer', async () => {
    // Guards against a pause of all targets that one router vouches for, and against an answer after the time-out of
    // the other router.
    const { clock, recordHeard, handleQuery } = createHandler(undefined);
    const never = handleQuery(QUERY);
    await clock.runFor(LIMIT_MS);
    expect(await never).toEqual({});
    recordHeard();
    await clock.runFor(400);
    const old = handleQuery(QUERY);
    await clock.runFor(LIMIT_MS);
    expect(await old).toEqual({ heardAgeMs: 400 + LIMIT_MS });
  });

  it('come after at most one check in 300 ms', async () => {
    // Guards against connections that fill the accept queue of paused targets while all routers ask each other.
    const { clock, checked, handleQuery } = createHandler(undefined);
    for (let question = 0; question < 60; question += 1) {
      const answers = [handleQuery(QUERY), handleQuery(QUERY)];
      await clock.runFor(LIMIT_MS);
      expect(await Promise.all(answers)).toEqual([{}, {}]);
    }
    expect(checked.length).toEqual(20);
  });

  it('are no older than 100 ms where targets answer', async () => {
    // Guards against an old word that looks like a pause to a router that fell silent just now.
    const { clock, handleQuery } = createHandler(0);
    for (let question = 0; question < 20; question += 1) {
      const answer = handleQuery(QUERY);
      await clock.runFor(0);
      expect((await answer).heardAgeMs ?? LIMIT_MS + 1).toBeLessThanOrEqual(LIMIT_MS);
      await clock.runFor(70);
    }
  });

  it('say that nothing was heard of a service without targets', async () => {
    const { checked, setTargets, handleQuery } = createHandler(CHECK_MS);
    setTargets([]);
    expect(await handleQuery(QUERY)).toEqual({});
    expect(checked).toEqual([]);
  });
});
