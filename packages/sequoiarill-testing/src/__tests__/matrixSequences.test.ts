import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as Callers from '../matrix/callers';
import * as GenerationCells from '../matrix/generationCells';
import * as Waiting from '../matrix/waiting';
import * as Worlds from '../matrix/world';
import type { World } from '../matrix/world';

const SEED = 20261203;
const SEQUENCES = 40;
const CONCURRENCY = 8;
/** One more than the longest sequence can take away. */
const ENGINES = 5;

interface SequenceFault {
  readonly kind: 'die' | 'restart' | 'pause' | 'stall' | 'slow' | 'platformDown';
  /** Pieces of text that the caller has before the fault strikes. */
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

async function applyFault(world: World, kind: SequenceFault['kind']): Promise<void> {
  if (kind === 'platformDown') {
    await world.platform.setFault({ kind: 'refuse' });
    return;
  }
  const engine = world.engines.find((candidate) => candidate.getLoad().running > 0);
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

async function waitForPieces(world: World, caller: CallerState, count: number): Promise<void> {
  await Waiting.waitUntil(`the caller has ${count} pieces`, () => {
    const isRunning = world.engines.some((engine) => engine.getLoad().running > 0);
    return caller.isDone || (caller.pieces >= count && isRunning);
  });
}

describe('sequences of faults over sockets', { concurrency: CONCURRENCY }, () => {
  for (const [index, faults] of sequences.entries()) {
    it(`sequence ${index + 1}: ${formatSequence(faults)}`, async () => {
      // A reader reads one answer while faults follow each other at random places in it. The text
      // and its counts are those of an undisturbed run. Cause: a state of the relay that only a
      // certain order of faults leads to.
      const calm = await GenerationCells.readCalmAnswer();
      const world = await Worlds.startWorld({ engines: ENGINES });
      const caller = { pieces: 0, isDone: false };
      try {
        const reading = Callers.readAnswer(world, {
          onText(_text, count) {
            caller.pieces = count;
          },
        }).finally(() => {
          caller.isDone = true;
        });
        for (const { kind, after } of faults) {
          await waitForPieces(world, caller, after);
          await applyFault(world, kind);
        }
        const answer = await reading;
        expect(answer.error).toEqual(undefined);
        expect(answer.text).toEqual(calm.text);
        expect(answer.completionTokens).toEqual(calm.completionTokens);
        expect(answer.finishReason).toEqual(calm.finishReason);
      } finally {
        await world.stop();
      }
    });
  }
});
