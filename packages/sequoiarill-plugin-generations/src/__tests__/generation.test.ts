import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as FakeEngines from './fakeEngines';
import type { Fault } from './fakeEngines';

const lossArbitrary: FastCheck.Arbitrary<Fault> = FastCheck.record({
  kind: FastCheck.constant('lost' as const),
  afterEvents: FastCheck.integer({ min: 0, max: 12 }),
});
const faultArbitrary: FastCheck.Arbitrary<Fault> = FastCheck.oneof(
  lossArbitrary,
  FastCheck.constant<Fault>({ kind: 'refused' }),
  FastCheck.constant<Fault>({ kind: 'busy' }),
);

/** Faults that the property below must have met in all. */
const MIN_INJECTED_FAULTS = 10_000;

describe('generation', () => {
  it('gives the same whole answer whatever engines are lost on the way', async () => {
    // A caller reads one long answer while engine after engine dies, refuses or is full. The text,
    // the count of tokens, the usage and the finish reason are those of an undisturbed run.
    // Cause: a continuation that starts at the wrong token, or inside a character.
    let injectedFaults = 0;
    await FastCheck.assert(
      FastCheck.asyncProperty(
        FastCheck.array(faultArbitrary, { maxLength: 5 }),
        FastCheck.integer({ min: 1, max: 60 }),
        FastCheck.constantFrom([], ['fits wide'], ['half', '2.'], [' 42']),
        async (faults, maxOutputTokens, stop) => {
          const busy = faults.filter((fault) => fault.kind === 'busy').length;
          FastCheck.pre(busy <= 3);
          const request = FakeEngines.createRequest({ maxOutputTokens, stop });
          const undisturbed = await FakeEngines.runRequest(request, []);
          const run = await FakeEngines.runRequest(request, faults);
          injectedFaults += Math.min(run.attempts.length, faults.length);
          expect(run.text).toEqual(undisturbed.text);
          expect(run.tokenCount).toEqual(undisturbed.tokenCount);
          expect(run.outcome).toEqual(undisturbed.outcome);
        },
      ),
      { seed: 20261202, numRuns: 5000 },
    );
    expect(injectedFaults >= MIN_INJECTED_FAULTS).toEqual(true);
  });

  it('raises the fencing number with each engine and never asks one twice', async () => {
    const faults: readonly Fault[] = [{ kind: 'lost', afterEvents: 3 }, { kind: 'busy' }];
    const { attempts: orders } = await FakeEngines.runRequest(FakeEngines.createRequest(), faults);
    expect(orders.map((attempt) => attempt.generation)).toEqual([1, 2, 3]);
    expect(new Set(orders.map((attempt) => attempt.target.name)).size).toEqual(3);
  });

  it('says "not run" only while no engine may have run it', async () => {
    // A caller is told that a request was not run, sends it again and pays twice. It must hear
    // "not run" when every engine refused the connection, and "lost" once one may have begun.
    const request = FakeEngines.createRequest();
    const refused = await FakeEngines.runRequest(request, [{ kind: 'refused' }], 1);
    const lost = await FakeEngines.runRequest(request, [{ kind: 'lost', afterEvents: 0 }], 1);
    expect(refused.outcome.kind).toEqual('notRun');
    expect(lost.outcome.kind).toEqual('lost');
  });

  it('tells when to come back after every engine asked is full', async () => {
    const faults: readonly Fault[] = Array.from({ length: 6 }, () => ({ kind: 'busy' }) as const);
    const { outcome, attempts: orders } = await FakeEngines.runRequest(
      FakeEngines.createRequest(),
      faults,
    );
    expect(orders.length).toEqual(4);
    expect(outcome).toEqual({
      kind: 'notRun',
      reason: 'overloaded',
      message: 'every engine tried is at capacity',
      retryAfterSeconds: 3,
    });
  });

  it('ends an answer whose engine died after the last token', async () => {
    // The engine gives the last token that the output limit allows and dies before it says so.
    // Asking another engine for zero tokens would be refused; the answer is whole as it is.
    const request = FakeEngines.createRequest({ maxOutputTokens: 7, stop: ['never'] });
    const undisturbed = await FakeEngines.runRequest(request, []);
    const run = await FakeEngines.runRequest(request, [{ kind: 'lost', afterEvents: 7 }]);
    expect(run.text).toEqual(undisturbed.text);
    expect(run.outcome).toEqual(undisturbed.outcome);
  });
});
