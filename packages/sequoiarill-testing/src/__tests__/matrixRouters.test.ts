import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cells from '../matrix/cells';
import * as GenerationCells from '../matrix/generationCells';
import * as GenerationSteps from '../matrix/generationSteps';
import * as OrderFaults from '../matrix/orderFaults';
import * as RouterCells from '../matrix/routerCells';

/** Each test starts a process, so few at once. */
const CONCURRENCY = 3;
/** Longer than an engine may be silent, and than the leases of a router's duties last (4 s). */
const PAUSE_MS = 5_500;
const CELL_IDS = new Set(Cells.CELLS.map(({ id }) => id));

describe('fault matrix: the router is paused or killed', { concurrency: CONCURRENCY }, () => {
  for (const step of GenerationSteps.STEP_RUNNERS) {
    it(Cells.formatTestName(`${step.code}-R2`), async () => {
      // A router's machine freezes for seconds and wakes. Its engine has gone on meanwhile; the
      // bytes are in the router's sockets. The caller gets the whole answer, and no engine is
      // blamed for the router's own silence. Cause: timers that fire at once on waking.
      const calm = await GenerationCells.readCalmAnswer();
      await RouterCells.runPausedRouter(step, PAUSE_MS, async (all, view) => {
        // What was queued has waited too long on waking, and is told so: no engine was asked for it.
        const refused = step.code === 'G2' ? all.slice(0, 1) : [];
        for (const { status, retryAfter, requestId } of refused) {
          expect(status).toEqual(503);
          expect(Number(retryAfter) > 0).toEqual(true);
          expect(requestId).toEqual(undefined);
        }
        const requests = view.engines.map((engine) => engine.getCounters().requests);
        const answers = all.slice(refused.length);
        expect(requests.reduce((sum, count) => sum + count, 0)).toEqual(answers.length);
        for (const answer of answers) {
          expect(answer.error).toEqual(undefined);
          expect(answer.text).toEqual(calm.text);
          expect(answer.completionTokens).toEqual(calm.completionTokens);
        }
        const { requestId } = answers[0]!;
        expect(await GenerationCells.countDispatches(view, requestId!)).toEqual(1);
      });
    });
  }

  it('ends with exit code 0 on SIGTERM once its streams have ended', async () => {
    const calm = await GenerationCells.readCalmAnswer();
    await RouterCells.runWithRouter({}, async (run) => {
      const { daemon } = run.router;
      let stopped: Promise<number | null> | undefined;
      const answer = await RouterCells.readStruckAnswer(
        run,
        GenerationSteps.EARLY_TOKENS,
        async () => {
          stopped = daemon.stop('SIGTERM');
        },
      );
      expect(answer.text).toEqual(calm.text);
      expect(await stopped).toEqual(0);
    });
  });

  // No cell: the pause ends long before the lease of the order's open mark, half a minute.
  it('sends a booking once although its router pauses meanwhile', async () => {
    // The router that sent a booking freezes; the technician books again at another router, and
    // the first one wakes. The booking ran once, and the other router did not send it.
    const { first, repeat, runs } = await RouterCells.runOrderDeath('sent', 'SIGSTOP');
    expect(runs).toEqual(1);
    expect(first.outcome).toEqual('done');
    expect(['in_progress', 'outcome_unknown']).toInclude(repeat.code!);
  });

  const deaths = [
    ['O3-R1', 'sent'],
    ['O4-R1', 'answered'],
  ] as const;
  for (const [id, hold] of deaths) {
    it(Cells.formatTestName(id), async () => {
      // The router that sent a booking dies with it. The technician books again at another router
      // with the same key, and is told that it is in progress or that its outcome is unknown.
      // Nobody is told "not run" of a booking that ran, and it never runs twice.
      const { first, repeat, runs } = await RouterCells.runOrderDeath(hold, 'SIGKILL');
      expect(first.status).toEqual(0);
      expect(runs).toEqual(1);
      expect(['in_progress', 'outcome_unknown']).toInclude(repeat.code!);
    });
  }

  for (const [code, hold] of [
    ['O3', 'sent'],
    ['O4', 'answered'],
  ] as const) {
    it(Cells.formatTestName(`${code}-X3`), async () => {
      // The router and the service that have a booking lose power together. The booking ran once
      // or not at all, it is never sent again, and nobody is told "not run" of it as a whole.
      const { repeat, runs } = await RouterCells.runOrderDeath(
        hold,
        'SIGKILL',
        OrderFaults.ORDER_FAULTS.find((fault) => fault.code === 'E1'),
      );
      expect(runs).toEqual(hold === 'sent' ? 0 : 1);
      expect(['in_progress', 'outcome_unknown']).toInclude(repeat.code!);
    });
  }

  for (const fault of OrderFaults.ORDER_FAULTS) {
    const id = `O8-${fault.code}`;
    // The first router's death is the step; a second router that drains has no one to repeat at.
    if (CELL_IDS.has(id) && fault.code !== 'R3') {
      it(Cells.formatTestName(id), async () => {
        // As above, and one more fault strikes before the technician books again.
        const { repeat, runs } = await RouterCells.runOrderDeath('sent', 'SIGKILL', fault);
        expect(runs <= 1).toEqual(true);
        expect(['in_progress', 'outcome_unknown', 'platform_away']).toInclude(repeat.code!);
      });
    }
  }
});
