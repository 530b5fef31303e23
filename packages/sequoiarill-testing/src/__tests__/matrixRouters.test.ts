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

async function waitForPause(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, PAUSE_MS);
  });
}

describe('fault matrix: the router is paused or killed', { concurrency: CONCURRENCY }, () => {
  const steps = [
    ['G5', GenerationSteps.EARLY_TOKENS],
    ['G6', GenerationSteps.LATE_TOKENS],
  ] as const;
  for (const [code, count] of steps) {
    it(Cells.formatTestName(`${code}-R2`), async () => {
      // A router's machine freezes for seconds and wakes. Its engine has gone on meanwhile; the
      // bytes are in the router's sockets. The caller gets the whole answer, and no engine is
      // blamed for the router's own silence. Cause: timers that fire at once on waking.
      const calm = await GenerationCells.readCalmAnswer();
      await RouterCells.runWithRouter({}, async (run) => {
        const { daemon } = run.router;
        const answer = await RouterCells.readStruckAnswer(run, count, async () => {
          daemon.send('SIGSTOP');
          waitForPause().then(
            () => daemon.send('SIGCONT'),
            () => undefined,
          );
        });
        expect(answer.text).toEqual(calm.text);
        expect(answer.completionTokens).toEqual(calm.completionTokens);
        expect(run.world.engines.map((engine) => engine.getCounters().requests)).toEqual([1, 0, 0]);
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
