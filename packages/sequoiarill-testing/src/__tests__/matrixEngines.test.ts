import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cells from '../matrix/cells';
import * as Faults from '../matrix/generationFaults';
import * as GenerationCells from '../matrix/generationCells';
import type { CellRun } from '../matrix/generationCells';
import * as GenerationSteps from '../matrix/generationSteps';

const CELL_IDS = new Set(Cells.CELLS.map(({ id }) => id));
/** Worlds at once; each has its own stand-ins and ports. */
const CONCURRENCY = 6;
/** Steps at which the engine has sent part of the answer, and all of it depends on the fault. */
const MIDDLE_STEPS: ReadonlySet<string> = new Set(['G4', 'G5', 'G6']);

function checkWhole({ answers, calm }: CellRun): void {
  for (const answer of answers) {
    expect(answer.error).toEqual(undefined);
    expect(answer.text).toEqual(calm.text);
    expect(answer.completionTokens).toEqual(calm.completionTokens);
    expect(answer.finishReason).toEqual(calm.finishReason);
  }
}

// A shopper reads one answer. At the step that a test names, the fault that it names strikes the
// engine that has the work, the way to it, or the platform. The shopper sees the text, the count of
// tokens and the finish reason of an undisturbed answer, and no error. Cause: a continuation that
// starts at the wrong token, or bytes of a generation that was given up.
describe('fault matrix of generations', { concurrency: CONCURRENCY }, () => {
  const faults = [
    ...Faults.TARGET_FAULTS,
    ...Faults.LINK_FAULTS,
    ...Faults.PLATFORM_FAULTS,
    ...Faults.PAIRS,
  ];
  for (const step of GenerationSteps.STEP_RUNNERS) {
    for (const fault of faults) {
      const id = `${step.code}-${fault.code}`;
      if (CELL_IDS.has(id)) {
        it(Cells.formatTestName(id), async () => {
          const isLate = fault.code === 'E5';
          await GenerationCells.runCell(
            step,
            fault,
            async (run) => {
              checkWhole(run);
              const isMiddle = MIDDLE_STEPS.has(step.code) && fault.dispatches !== undefined;
              if (!isMiddle) return;
              const { requestId } = run.answers[0]!;
              const dispatches = await GenerationCells.countDispatches(run.world, requestId!);
              expect(dispatches).toEqual(fault.dispatches);
            },
            isLate ? { checksFencing: false } : {},
          );
        });
      }
    }
  }
});

describe('wrong suspicion of an engine', { concurrency: CONCURRENCY }, () => {
  for (const checksFencing of [true, false]) {
    it(`costs one prefill and no token twice, fencing checked: ${checksFencing}`, async () => {
      // An engine is silent for just longer than it may be, and then goes on sending. The reader
      // has gone on with another engine, which makes the missing tokens only, and nothing of what
      // the first one still sends gets into the answer. Cause: a stall limit that is too short.
      const step = GenerationSteps.STEP_RUNNERS.find(({ code }) => code === 'G5')!;
      const fault = Faults.TARGET_FAULTS.find(({ code }) => code === 'E5')!;
      await GenerationCells.runCell(
        step,
        fault,
        (run) => {
          checkWhole(run);
          const [first, ...others] = run.world.engines.map((engine) => engine.getCounters());
          const requests = others.reduce((sum, counters) => sum + counters.requests, 0);
          const tokens = others.reduce((sum, counters) => sum + counters.tokensGenerated, 0);
          expect(first!.requests).toEqual(1);
          expect(requests).toEqual(1);
          expect(tokens).toEqual(run.calm.completionTokens! - GenerationSteps.EARLY_TOKENS);
        },
        { checksFencing },
      );
    });
  }
});
