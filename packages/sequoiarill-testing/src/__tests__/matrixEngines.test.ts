import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cells from '../matrix/cells';
import * as Faults from '../matrix/generationFaults';
import * as GenerationCells from '../matrix/generationCells';
import type { CellRun } from '../matrix/generationCells';
import * as GenerationSteps from '../matrix/generationSteps';

const CELL_IDS = new Set(Cells.CELLS.map(({ id }) => id));
/** Each concurrent test has its own deployment, with its own stand-ins and ports. */
const CONCURRENCY = 6;
/**
 * Steps at which the number of dispatches depends on the fault alone: the engine has the request and
 * has not finished it.
 */
const MIDDLE_STEPS: ReadonlySet<string> = new Set(['G4', 'G5', 'G6']);

function checkComplete({ answers, baseline }: CellRun): void {
  for (const answer of answers) {
    expect(answer.error).toEqual(undefined);
    expect(answer.text).toEqual(baseline.text);
    expect(answer.completionTokens).toEqual(baseline.completionTokens);
    expect(answer.finishReason).toEqual(baseline.finishReason);
  }
}

// For each step and fault: the fault is injected at the engine that runs the request, at its link or at
// the platform. The caller must get the text, token count and finish reason of an undisturbed answer, and
// no error. Guards against a continuation from the wrong token, and against output of an attempt that the
// router has given up.
describe('fault matrix of generations', { concurrency: CONCURRENCY }, () => {
  const faults = [
    ...Faults.TARGET_FAULTS,
    ...Faults.LINK_FAULTS,
    ...Faults.PLATFORM_FAULTS,
    ...Faults.FAULT_PAIRS,
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
              checkComplete(run);
              const isMiddle = MIDDLE_STEPS.has(step.code) && fault.dispatches !== undefined;
              if (!isMiddle) return;
              const { requestId } = run.answers[0]!;
              const dispatches = await GenerationCells.countDispatches(run.deployment, requestId!);
              expect(dispatches).toEqual(fault.dispatches);
            },
            isLate ? { checksFencing: false } : {},
          );
        });
      }
    }
  }
});

describe('false suspicion of an engine', { concurrency: CONCURRENCY }, () => {
  for (const checksFencing of [true, false]) {
    it(`costs one prefill and repeats no token, fencing checked: ${checksFencing}`, async () => {
      // A stall limit that is too short: an engine is silent for just longer than the limit and then goes
      // on sending. Another engine must generate the missing tokens only, and no late output of the first
      // one may reach the answer.
      const step = GenerationSteps.STEP_RUNNERS.find(({ code }) => code === 'G5')!;
      const fault = Faults.TARGET_FAULTS.find(({ code }) => code === 'E5')!;
      await GenerationCells.runCell(
        step,
        fault,
        (run) => {
          checkComplete(run);
          const [first, ...others] = run.deployment.engines.map((engine) => engine.getCounters());
          const requests = others.reduce((sum, counters) => sum + counters.requests, 0);
          const tokens = others.reduce((sum, counters) => sum + counters.tokensGenerated, 0);
          expect(first!.requests).toEqual(1);
          expect(requests).toEqual(1);
          expect(tokens).toEqual(run.baseline.completionTokens! - GenerationSteps.EARLY_TOKENS);
        },
        { checksFencing },
      );
    });
  }
});
