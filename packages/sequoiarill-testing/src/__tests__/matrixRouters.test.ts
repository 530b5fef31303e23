import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cells from '../matrix/cells';
import * as GenerationCells from '../matrix/generationCells';
import * as GenerationSteps from '../matrix/generationSteps';
import * as OrderFaults from '../matrix/orderFaults';
import * as RouterCells from '../matrix/routerCells';

/** Low, since each test starts a process. */
const CONCURRENCY = 3;
/** Longer than the stall limit of an engine, and than the leases of a router's leader roles (4 s). */
const PAUSE_MS = 5_500;
const CELL_IDS = new Set(Cells.CELLS.map(({ id }) => id));

describe('fault matrix: the router is paused or killed', { concurrency: CONCURRENCY }, () => {
  for (const step of GenerationSteps.STEP_RUNNERS) {
    it(Cells.formatTestName(`${step.code}-R2`), async () => {
      // Guards against timers that all fire when a paused router process resumes. The engine went on
      // meanwhile and its output waits in the router's sockets, so the caller must get the complete
      // answer, and the engine must not count as stalled because of the router's own pause.
      const baseline = await GenerationCells.readBaselineAnswer();
      await RouterCells.runPausedRouter(step, PAUSE_MS, async (all, view) => {
        // A queued request has exceeded its waiting time after the pause: it is refused, and no engine
        // gets it.
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
          expect(answer.text).toEqual(baseline.text);
          expect(answer.completionTokens).toEqual(baseline.completionTokens);
        }
        const { requestId } = answers[0]!;
        expect(await GenerationCells.countDispatches(view, requestId!)).toEqual(1);
      });
    });
  }

  it('exits with code 0 after SIGTERM once its streams have ended', async () => {
    const baseline = await GenerationCells.readBaselineAnswer();
    await RouterCells.runWithRouter({}, async (run) => {
      const { daemon } = run.router;
      let stopped: Promise<number | null> | undefined;
      const answer = await RouterCells.readAnswerUnderFault(
        run,
        GenerationSteps.EARLY_TOKENS,
        async () => {
          stopped = daemon.stop('SIGTERM');
        },
      );
      expect(answer.text).toEqual(baseline.text);
      expect(await stopped).toEqual(0);
    });
  });

  // Not a cell: the pause ends long before the lease of the order's open mark (half a minute) expires.
  it('sends an order once although its router pauses meanwhile', async () => {
    // The router that sent an order is paused, the caller retries at another router, and the first router
    // resumes. The order must run once, sent by the first router only.
    const { first, retry, runs } = await RouterCells.runRouterLoss('sent', 'SIGSTOP');
    expect(runs).toEqual(1);
    expect(first.outcome).toEqual('done');
    expect(['in_progress', 'outcome_unknown']).toInclude(retry.code!);
  });

  const routerLosses = [
    ['O3-R1', 'sent'],
    ['O4-R1', 'answered'],
  ] as const;
  for (const [id, stage] of routerLosses) {
    it(Cells.formatTestName(id), async () => {
      // The router that sent an order is killed, and the caller retries at another router with the same
      // key. The result must be that the order is in progress or that its outcome is unknown. An order
      // that ran must never be reported as not run, and must not run twice.
      const { first, retry, runs } = await RouterCells.runRouterLoss(stage, 'SIGKILL');
      expect(first.status).toEqual(0);
      expect(runs).toEqual(1);
      expect(['in_progress', 'outcome_unknown']).toInclude(retry.code!);
    });
  }

  for (const [code, stage] of [
    ['O3', 'sent'],
    ['O4', 'answered'],
  ] as const) {
    it(Cells.formatTestName(`${code}-X3`), async () => {
      // The router and the service that have an order are killed together. The order must have run once
      // or not at all, must not be sent again, and must not be reported as not run.
      const { retry, runs } = await RouterCells.runRouterLoss(
        stage,
        'SIGKILL',
        OrderFaults.ORDER_FAULTS.find((fault) => fault.code === 'E1'),
      );
      expect(runs).toEqual(stage === 'sent' ? 0 : 1);
      expect(['in_progress', 'outcome_unknown']).toInclude(retry.code!);
    });
  }

  for (const fault of OrderFaults.ORDER_FAULTS) {
    const id = `O8-${fault.code}`;
    // The loss of the first router is the step; if the second one drains, no router is left for the
    // retry.
    if (CELL_IDS.has(id) && fault.code !== 'R3') {
      it(Cells.formatTestName(id), async () => {
        // As above, with one more fault injected before the caller retries.
        const { retry, runs } = await RouterCells.runRouterLoss('sent', 'SIGKILL', fault);
        expect(runs <= 1).toEqual(true);
        expect(['in_progress', 'outcome_unknown', 'platform_away']).toInclude(retry.code!);
      });
    }
  }
});
