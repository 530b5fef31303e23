import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as Callers from '../matrix/callers';
import * as GenerationCells from '../matrix/generationCells';
import * as Waiting from '../matrix/waiting';
import * as Deployments from '../matrix/deployment';
import type { Deployment } from '../matrix/deployment';

const SEED = 20261203;
const SEQUENCES = 40;
const CONCURRENCY = 8;
/** One more than the number of engines that the longest sequence can fail. */
const ENGINES = 5;

interface SequenceFault {
  readonly kind: 'die' | 'restart' | 'pause' | 'stall' | 'slow' | 'platformDown';
  /** Pieces of text that the caller has received before the fault is injected. */
  readonly after: number;
}

const faultArbitrary: FastCheck.Arbitrary<SequenceFault> = FastCheck.record({
  kind: FastCheck.constantFrom('die', 'restart', 'pause', 'stall', 'slow', 'platformDown'),
  after: FastCheck.integer({ min: 0, max: 30 }),
});
const sequences = FastCheck.sample(
  FastCheck.array(faultArbitrary, { minLength: 1, maxLength: 4 }),
  { seed: SEED, numRuns: SEQUENCES },
);

function formatSequence(faults: readonly SequenceFault[]): string {
  return faults.map(({ kind, after }) => `${kind}@${after}`).join(', ');
}

async function applyFault(deployment: Deployment, kind: SequenceFault['kind']): Promise<void> {
  if (kind === 'platformDown') {
    await deployment.platform.setFault({ kind: 'refuse' });
    return;
  }
  const engine = deployment.engines.find((candidate) => candidate.getLoad().running > 0);
  if (engine === undefined) return;
  if (kind === 'die') await engine.setFault({ kind: 'die' });
  else if (kind === 'pause') await engine.setFault({ kind: 'pause' });
  else if (kind === 'stall') await engine.setFault({ kind: 'stallAfterTokens', count: 0 });
  else if (kind === 'slow') await engine.setFault({ kind: 'slow', factor: 4 });
  else {
    await engine.setFault({ kind: 'die' });
    await engine.setFault({ kind: 'revive' });
  }
}

interface CallerState {
  readonly pieces: number;
  readonly isDone: boolean;
}

async function waitForPieces(
  deployment: Deployment,
  caller: CallerState,
  count: number,
): Promise<void> {
  await Waiting.waitUntil(`the caller has ${count} pieces`, () => {
    const isRunning = deployment.engines.some((engine) => engine.getLoad().running > 0);
    return caller.isDone || (caller.pieces >= count && isRunning);
  });
}

describe('sequences of faults over sockets', { concurrency: CONCURRENCY }, () => {
  for (const [index, faults] of sequences.entries()) {
    it(`sequence ${index + 1}: ${formatSequence(faults)}`, async () => {
      // Several faults are injected at random points of one answer, which must equal that of an
      // undisturbed run. Guards against states of the relay that only a certain order of faults leads to.
      const baseline = await GenerationCells.readBaselineAnswer();
      const deployment = await Deployments.startDeployment({ engines: ENGINES });
      const caller = { pieces: 0, isDone: false };
      try {
        const reading = Callers.readAnswer(deployment, {
          onText(_text, count) {
            caller.pieces = count;
          },
        }).finally(() => {
          caller.isDone = true;
        });
        for (const { kind, after } of faults) {
          await waitForPieces(deployment, caller, after);
          await applyFault(deployment, kind);
        }
        const answer = await reading;
        expect(answer.error).toEqual(undefined);
        expect(answer.text).toEqual(baseline.text);
        expect(answer.completionTokens).toEqual(baseline.completionTokens);
        expect(answer.finishReason).toEqual(baseline.finishReason);
      } finally {
        await deployment.stop();
      }
    });
  }
});
