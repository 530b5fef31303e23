import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as CallerCells from '../matrix/callerCells';
import * as Callers from '../matrix/callers';
import * as Cells from '../matrix/cells';
import * as GenerationCells from '../matrix/generationCells';
import * as Faults from '../matrix/generationFaults';
import type { GenerationFault } from '../matrix/generationFaults';
import * as GenerationSteps from '../matrix/generationSteps';
import * as Waiting from '../matrix/waiting';
import * as Worlds from '../matrix/world';

const CONCURRENCY = 6;
/** The engine had the request when its caller left. */
const AT_WORK: ReadonlySet<string> = new Set(['G4', 'G5', 'G6', 'G10']);

// A shopper closes the page in the middle of an answer. The engine's work ends soon, whatever it is
// at, and the next shopper's answer is whole. Cause: a generation that nobody reads any more, or
// whose cancel got lost, and that goes on for minutes.
describe('fault matrix: the caller is gone', { concurrency: CONCURRENCY }, () => {
  for (const step of GenerationSteps.STEP_RUNNERS) {
    it(Cells.formatTestName(`${step.code}-C1`), async () => {
      const calm = await GenerationCells.readCalmAnswer();
      await CallerCells.runLeaving(step, ({ world, next }) => {
        const { cancelled, abandoned } = world.engines[0]!.getCounters();
        if (AT_WORK.has(step.code)) expect(cancelled).toEqual(1);
        expect(abandoned).toEqual(0);
        expect(next.text).toEqual(calm.text);
      });
    });
  }

  const faults = [...Faults.TARGET_FAULTS, ...Faults.LINK_FAULTS, ...Faults.PLATFORM_FAULTS];
  for (const fault of faults) {
    it(Cells.formatTestName(`G9-${fault.code}`), async () => {
      const calm = await GenerationCells.readCalmAnswer();
      await CallerCells.runCancelled(fault, ({ next }) => {
        expect(next.error).toEqual(undefined);
        expect(next.text).toEqual(calm.text);
      });
    });
  }
});

// An operator replaces a router's VM while answers stream through it. Each answer ends whole, new
// requests are told to come back elsewhere, and the router ends only then. Cause: a stop that cuts
// what is in progress, or that takes new work.
describe('fault matrix: planned stop of the router', { concurrency: CONCURRENCY }, () => {
  for (const step of GenerationSteps.STEP_RUNNERS) {
    it(Cells.formatTestName(`${step.code}-R3`), async () => {
      let stopped: Promise<void> | undefined;
      let refusal: CallerCells.DrainingRefusal | undefined;
      const fault: GenerationFault = {
        code: 'R3',
        async strike(world) {
          stopped = world.routers[0]!.router.stop();
          refusal = await CallerCells.sendWhileDraining(world);
          world.engineLink.heal();
        },
        releasesEngine: true,
      };
      await GenerationCells.runCell(step, fault, async ({ answers, calm }) => {
        for (const answer of answers) {
          expect(answer.error).toEqual(undefined);
          expect(answer.text).toEqual(calm.text);
          expect(answer.finishReason).toEqual(calm.finishReason);
        }
        await Waiting.waitFor('the router stops', stopped!);
      });
      // With its last token out, a router may have drained before the new request comes.
      if (refusal === undefined) expect(['G7', 'G8'].includes(step.code)).toEqual(true);
      else {
        expect(refusal.status).toEqual(503);
        expect(Number(refusal.retryAfter) > 0).toEqual(true);
      }
    });
  }
});

describe('fault matrix: the caller reads slowly', { concurrency: CONCURRENCY }, () => {
  /** More events than the sockets on the way hold, which is some 4 MB here. */
  const LONG_TOKENS = 14_000;
  const MAX_RESPONSE_BYTES = 524_288;
  /** With the backlog of a reader, and the event that went over. */
  const MAX_KEPT_BYTES = MAX_RESPONSE_BYTES + 262_144 + 4_096;
  /** Longer than any silence of an engine may last. */
  const PAUSE_MS = 1_500;

  async function waitForPause(): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_MS);
    });
  }

  for (const id of ['G5-C2', 'G8-C2']) {
    it(Cells.formatTestName(id), async () => {
      // A reader's phone sleeps in the middle of an answer for longer than an engine may be silent.
      // The engine is not blamed for it: nothing is lost, and the rest comes when the phone wakes.
      const calm = await GenerationCells.readCalmAnswer();
      const world = await Worlds.startWorld();
      try {
        const pauseAfter = id === 'G5-C2' ? GenerationSteps.EARLY_TOKENS : 1;
        const part = await Callers.readResponse(world, { pauseAfter, resumed: waitForPause() });
        expect(part.text).toEqual(calm.text);
        expect(part.completionTokens).toEqual(calm.completionTokens);
        expect(await GenerationCells.countDispatches(world, part.responseId)).toEqual(1);
      } finally {
        await world.stop();
      }
    });
  }

  it(Cells.formatTestName('G6-C2'), async () => {
    // A reader stops reading a long answer for so long that every buffer on the way is full. The
    // router keeps a bounded part of it, the engine waits and is not blamed, other callers get
    // their answers meanwhile, and the reader gets the whole answer afterwards.
    const calm = await GenerationCells.readCalmAnswer();
    const world = await Worlds.startWorld({
      maxOutputTokens: LONG_TOKENS,
      engines: 1,
      engineSettings: { stepMs: 1 },
      routerSettings: { callers: { maxResponseBytes: MAX_RESPONSE_BYTES } },
    });
    let wake: () => void = () => undefined;
    try {
      const reading = Callers.readResponse(world, {
        maxTokens: LONG_TOKENS,
        pauseAfter: 1,
        resumed: new Promise((resolve) => {
          wake = resolve;
        }),
      });
      let known = 0;
      let largest = 0;
      await Waiting.waitUntil('the router waits for the reader', async () => {
        const { responses } = await world.routers[0]!.dumpPlugin('callers');
        const { bytes } = responses as { readonly bytes: number };
        largest = Math.max(largest, bytes);
        const hasStopped = bytes === known && bytes > 0;
        known = bytes;
        if (!hasStopped) await waitForPause();
        return hasStopped;
      });
      expect(largest < MAX_KEPT_BYTES).toEqual(true);
      const other = await Callers.readAnswer(world);
      expect(other.text).toEqual(calm.text);
      wake();
      const part = await reading;
      expect(part.completionTokens).toEqual(LONG_TOKENS);
      expect(part.status).toEqual('incomplete');
      expect(await GenerationCells.countDispatches(world, part.responseId)).toEqual(1);
    } finally {
      wake();
      await world.stop();
    }
  });
});
