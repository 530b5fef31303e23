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

/** Least number of faults that all runs of the property below must inject in total. */
const MIN_INJECTED_FAULTS = 10_000;

describe('generation', () => {
  it('yields the same complete answer whichever engines are lost', async () => {
    // While a caller reads a long answer, one engine after another is lost, refuses the connection or
    // is busy. The text, token count, usage and finish reason must equal those of a run without
    // faults. They differ if a continuation starts at the wrong token or inside a character.
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

  it('increases the fencing number with each engine and tries no engine twice', async () => {
    const faults: readonly Fault[] = [{ kind: 'lost', afterEvents: 3 }, { kind: 'busy' }];
    const { attempts: orders } = await FakeEngines.runRequest(FakeEngines.createRequest(), faults);
    expect(orders.map((attempt) => attempt.generation)).toEqual([1, 2, 3]);
    expect(new Set(orders.map((attempt) => attempt.target.name)).size).toEqual(3);
  });

  it('reports "not run" only if no engine can have run the request', async () => {
    // A caller that is told "not run" sends the request again, and pays twice if an engine ran it. The
    // outcome is `notRun` if every engine refused the connection, and `lost` once one may have started.
    const request = FakeEngines.createRequest();
    const refused = await FakeEngines.runRequest(request, [{ kind: 'refused' }], 1);
    const lost = await FakeEngines.runRequest(request, [{ kind: 'lost', afterEvents: 0 }], 1);
    expect(refused.outcome.kind).toEqual('notRun');
    expect(lost.outcome.kind).toEqual('lost');
  });

  it('returns the retry delay when every engine tried is at capacity', async () => {
    const faults: readonly Fault[] = Array.from({ length: 6 }, () => ({ kind: 'busy' }) as const);
    const { outcome, attempts: orders } = await FakeEngines.runRequest(
      FakeEngines.createRequest(),
      faults,
    );
    expect(orders.length).toEqual(4);
    expect(outcome).toEqual({
      kind: 'notRun',
      reason: 'overloaded',
      message: 'every engine asked is full',
      retryAfterSeconds: 3,
    });
  });

  it('completes an answer whose engine is lost after the last token', async () => {
    // The engine sends the last token within the output limit and is lost before the finish reason.
    // Another engine would refuse a request for zero tokens, and the answer is already complete.
    const request = FakeEngines.createRequest({ maxOutputTokens: 7, stop: ['never'] });
    const undisturbed = await FakeEngines.runRequest(request, []);
    const run = await FakeEngines.runRequest(request, [{ kind: 'lost', afterEvents: 7 }]);
    expect(run.text).toEqual(undisturbed.text);
    expect(run.outcome).toEqual(undisturbed.outcome);
  });
});
