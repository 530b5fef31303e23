import { describe, it } from 'node:test';

import type { Clock, OrderOutcome } from '@sequoiarill/types';
import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import type { RunAttempts } from '../attempts';
import * as FakeRouters from './fakeRouter';
import * as FakeStores from './fakeStore';
import type { Fault, FakeStore } from './fakeStore';

const SEEDS = [20_261_202, 7, 4_711] as const;
const RUNS_PER_SEED = 500;
/** Longer than the lease of an open marker and shorter than that of a claim. */
const ONE_HOUR_SECONDS = 3_600;

type TargetBehaviour = 'answers' | 'answerLost' | 'refuses';

/** The faults of one router, of its target and of its calls to the platform. */
interface RouterScenario {
  readonly faults: readonly Fault[];
  readonly targetBehaviours: readonly TargetBehaviour[];
  /** Number of waits after which the router has crashed and takes no further step. */
  readonly crashAfterWaits: number;
  /** How often the caller sends the same order to this router. */
  readonly submissions: number;
}

interface CallerOutcome {
  readonly requestId: string;
  readonly outcome: OrderOutcome;
}

interface Simulation {
  readonly store: FakeStore;
  /** Request ids of the orders that targets ran, in the order of execution. */
  readonly executedRequestIds: string[];
  readonly callerOutcomes: CallerOutcome[];
}

const routerScenario: FastCheck.Arbitrary<RouterScenario> = FastCheck.record({
  faults: FastCheck.array(
    FastCheck.constantFrom<Fault>('none', 'none', 'none', 'away', 'lostBefore', 'lostAfter'),
    { maxLength: 12 },
  ),
  targetBehaviours: FastCheck.array(
    FastCheck.constantFrom<TargetBehaviour>('answers', 'answerLost', 'refuses'),
    { minLength: 3, maxLength: 3 },
  ),
  crashAfterWaits: FastCheck.oneof(
    FastCheck.constant(1_000),
    FastCheck.integer({ min: 1, max: 30 }),
  ),
  submissions: FastCheck.integer({ min: 1, max: 3 }),
});

/** Simulates one router; the scheduler chooses the order in which waits end. */
async function simulateRouter(
  simulation: Simulation,
  name: string,
  scenario: RouterScenario,
  scheduler: FastCheck.Scheduler,
): Promise<void> {
  const faults = [...scenario.faults];
  const behaviours = [...scenario.targetBehaviours];
  let waits = 0;
  async function delayStep(): Promise<void> {
    waits += 1;
    await scheduler.schedule(Promise.resolve(), name);
    if (waits > scenario.crashAfterWaits) await FakeStores.waitForever();
  }
  const clock: Clock = {
    getNowMs: () => waits,
    getRunningMs: () => waits,
    getLastDelay: () => undefined,
    getReadDelayMs: () => 0,
    getWallTime: () => '',
    waitMs: delayStep,
  };
  const runAttempts: RunAttempts = async (order) => {
    await delayStep();
    const behaviour = behaviours.shift() ?? 'answers';
    if (behaviour === 'refuses') {
      return { kind: 'notRun', reason: 'noTarget', message: 'refused', retryAfterSeconds: 1 };
    }
    simulation.executedRequestIds.push(order.requestId);
    await delayStep();
    return behaviour === 'answers'
      ? FakeRouters.createDone(order.requestId)
      : { kind: 'unknown', message: 'reset' };
  };
  const store = simulation.store.createClient(delayStep, () => faults.shift() ?? 'none');
  const router = FakeRouters.createFakeRouter({ name, store, clock, runAttempts });
  for (let submission = 1; submission <= scenario.submissions; submission += 1) {
    const requestId = `${name}-${submission}`;
    const outcome = await router.runOrder(FakeRouters.createOrder({ requestId }));
    simulation.callerOutcomes.push({ requestId, outcome });
  }
}

function checkSimulation({ executedRequestIds, callerOutcomes }: Simulation): void {
  expect(executedRequestIds.length <= 1).toEqual(true);
  for (const { requestId, outcome } of callerOutcomes) {
    if (outcome.kind === 'notRun') expect(executedRequestIds.includes(requestId)).toEqual(false);
    // Every caller that receives an answer receives the answer of the only execution.
    if (outcome.kind === 'done') {
      expect(Buffer.from(outcome.body).toString()).toEqual(executedRequestIds[0] ?? '');
    }
  }
}

describe('claims under every interleaving', () => {
  for (const seed of SEEDS) {
    it(`run an order at most once (seed ${seed})`, async () => {
      // A caller sends one order several times to two or three routers. Routers crash, calls to the
      // platform fail or lose their responses, targets refuse the order or lose the answer, and
      // open markers expire at any moment. Guards against running the order twice, and against
      // reporting "not run" for an order that ran, which the caller would then send again.
      const property = FastCheck.asyncProperty(
        FastCheck.scheduler(),
        FastCheck.array(routerScenario, { minLength: 2, maxLength: 3 }),
        FastCheck.boolean(),
        async (scheduler, scenarios, shouldExpireMarkers) => {
          const simulation: Simulation = {
            store: FakeStores.createFakeStore(),
            executedRequestIds: [],
            callerOutcomes: [],
          };
          scenarios.forEach((scenario, index) => {
            simulateRouter(simulation, `r${index}`, scenario, scheduler).catch(() => undefined);
          });
          if (shouldExpireMarkers) {
            scheduler
              .schedule(Promise.resolve(), 'open marks end')
              .then(() => simulation.store.expireLeases(ONE_HOUR_SECONDS))
              .catch(() => undefined);
          }
          await scheduler.waitIdle();
          checkSimulation(simulation);
        },
      );
      await FastCheck.assert(property, { seed, numRuns: RUNS_PER_SEED });
    });
  }
});
