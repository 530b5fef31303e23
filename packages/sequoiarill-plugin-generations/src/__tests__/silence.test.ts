import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { EngineTarget } from '@sequoiarill/types';
import { expect } from 'earl';

import type { GenerationDependencies, TargetQuery } from '../generation';
import * as Silences from '../silence';
import * as FakeEngines from './fakeEngines';
import type { Fault } from './fakeEngines';

const SEARCH_INTERVAL_MS = 100;
const RESPONSE_WAIT_MS = 100;

/** Fallen silent at 0; `resumesMs` tells when each other engine responds again. */
interface Simulation {
  readonly resumesMs: readonly number[];
  readonly isAccepting?: boolean;
}

/** Returns when another engine may go on, if that is within the given time, and which one. */
async function simulateSilence(
  { resumesMs, isAccepting = true }: Simulation,
  durationMs: number,
): Promise<{ readonly ms: number; readonly name: string } | undefined> {
  const clock = Kernel.createFakeClock();
  const others = resumesMs.map((_unused, index) => FakeEngines.createTarget(index + 1));
  const silence = Silences.createSilence({
    target: FakeEngines.createTarget(0),
    chooseSuccessor: (unresponsive) => others.find(({ name }) => !unresponsive.has(name)),
    async checkResponding(target) {
      const resumesAtMs = resumesMs[others.indexOf(target)]!;
      if (clock.getNowMs() >= resumesAtMs) return true;
      await clock.waitMs(Math.min(RESPONSE_WAIT_MS, resumesAtMs - clock.getNowMs()));
      return clock.getNowMs() >= resumesAtMs;
    },
    checkAccepting: async () => isAccepting,
    getRunningMs: clock.getRunningMs,
  });
  let found: { readonly ms: number; readonly name: string } | undefined;
  async function runSearches(): Promise<void> {
    for (;;) {
      const successor = await silence.findSuccessor();
      if (successor !== undefined) {
        found = { ms: clock.getNowMs(), name: successor.name };
        return;
      }
      await clock.waitMs(SEARCH_INTERVAL_MS);
    }
  }
  const search = runSearches();
  await clock.runFor(durationMs);
  if (found !== undefined) await search;
  return found;
}

describe('silence of an engine', () => {
  it('is ended at once by another engine that responds', async () => {
    // Guards against a stream that waits although another engine is known to be sound.
    const found = await simulateSilence({ resumesMs: [0] }, 1_000);
    expect(found).toEqual({ ms: 0, name: 'engine-1' });
  });

  it('skips an engine that is silent too', async () => {
    const found = await simulateSilence(
      { resumesMs: [60_000, 0], isAccepting: false },
      2 * RESPONSE_WAIT_MS,
    );
    expect(found).toEqual({ ms: RESPONSE_WAIT_MS, name: 'engine-2' });
  });

  for (const ms of [1_300, 3_000, 20_000]) {
    it(`keeps the engine while all are silent, for ${ms} ms, and a moment longer`, async () => {
      // Guards against giving up an engine that resumes together with the one that would go on: its
      // next token is due, while another engine has to read the prompt first.
      const found = await simulateSilence({ resumesMs: [ms, ms, ms] }, ms + 150);
      expect(found).toEqual(undefined);
    });
  }

  it('ends at most half a second after the others resume if the engine stays silent', async () => {
    // Guards against a stream that waits for the only engine that did not resume.
    const found = await simulateSilence({ resumesMs: [1_300, 1_300] }, 1_800);
    expect(found === undefined).toEqual(false);
  });

  it('is not waited out if the host accepts no connection', async () => {
    // A host that lost power is as silent as a paused process, and never resumes.
    const found = await simulateSilence({ resumesMs: [1_300], isAccepting: false }, 1_500);
    expect(found).toEqual({ ms: 1_300, name: 'engine-1' });
  });
});

interface GenerationRun extends FakeEngines.Run {
  readonly queries: readonly TargetQuery[];
  readonly retries: number;
  /** Silences reported whose engine was kept. */
  readonly kept: number;
}

async function runGeneration(
  faults: readonly Fault[],
  { successor, retriesLeft }: { successor?: EngineTarget; retriesLeft: number },
): Promise<GenerationRun> {
  const queries: TargetQuery[] = [];
  let retries = 0;
  let kept = 0;
  const overrides: Partial<GenerationDependencies> = {
    openSilence: () => ({ findSuccessor: async () => successor }),
    onKept() {
      kept += 1;
    },
    takeRetry() {
      retries += 1;
      return retries <= retriesLeft;
    },
    chooseTarget(query) {
      queries.push(query);
      const target = FakeEngines.createTarget(queries.length - 1);
      return { kind: 'target', target, reason: 'test' };
    },
  };
  const request = FakeEngines.createRequest();
  const run = await FakeEngines.runRequest(request, faults, faults.length + 1, overrides);
  return { ...run, queries, retries, kept };
}

// A silent engine of these runs goes on where it was unless it is given up. Guards against an answer
// that ends because its engine was given up before it was known that another one can go on.
describe('a generation whose engine is silent', () => {
  const silentFault: Fault = { kind: 'silent', afterEvents: 5 };
  const successor = FakeEngines.createTarget(1);

  it('keeps the engine if no other responds', async () => {
    const run = await runGeneration([silentFault], { retriesLeft: 9 });
    expect(run.outcome.kind).toEqual('completed');
    expect(run.attempts.length).toEqual(1);
    expect(run.retries).toEqual(0);
    expect(run.kept).toEqual(1);
  });

  it('keeps the engine if no retry is left', async () => {
    const run = await runGeneration([silentFault], { successor, retriesLeft: 0 });
    expect(run.outcome.kind).toEqual('completed');
    expect(run.attempts.length).toEqual(1);
    expect(run.kept).toEqual(1);
  });

  it('keeps the engine if no attempt is left', async () => {
    const losses = Array.from({ length: 8 }, (): Fault => ({ kind: 'lost', afterEvents: 2 }));
    const run = await runGeneration([...losses, silentFault], { successor, retriesLeft: 9 });
    expect(run.outcome.kind).toEqual('completed');
    expect(run.attempts.length).toEqual(9);
  });

  it('uses the last attempt but one for an engine that responds', async () => {
    const losses = Array.from({ length: 7 }, (): Fault => ({ kind: 'lost', afterEvents: 2 }));
    const run = await runGeneration([...losses, silentFault], { successor, retriesLeft: 9 });
    expect(run.outcome.kind).toEqual('completed');
    expect(run.attempts.length).toEqual(9);
  });

  it('continues at the engine that responded, for one retry', async () => {
    const run = await runGeneration([silentFault], { successor, retriesLeft: 1 });
    expect(run.outcome.kind).toEqual('completed');
    expect(run.queries.map(({ only }) => only)).toEqual([undefined, successor.name]);
    expect(run.retries).toEqual(1);
    expect(run.kept).toEqual(0);
  });
});
