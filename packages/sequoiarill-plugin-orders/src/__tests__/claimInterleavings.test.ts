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
/** Between the life of an open mark and that of a claim. */
const AN_HOUR = 3_600;

type TargetFate = 'answers' | 'answerLost' | 'refuses';

/** One router's luck. */
interface Fortune {
  readonly faults: readonly Fault[];
  readonly targetFates: readonly TargetFate[];
  /** Waits after which the router is dead; none of its later steps happens. */
  readonly diesAfter: number;
  /** How many tries of the same order the caller makes here. */
  readonly tries: number;
}

interface Told {
  readonly requestId: string;
  readonly outcome: OrderOutcome;
}

interface Play {
  readonly store: FakeStore;
  /** Request ids in the order in which the target ran them. */
  readonly runs: string[];
  readonly told: Told[];
}

const fortune: FastCheck.Arbitrary<Fortune> = FastCheck.record({
  faults: FastCheck.array(
    FastCheck.constantFrom<Fault>('none', 'none', 'none', 'away', 'lostBefore', 'lostAfter'),
    { maxLength: 12 },
  ),
  targetFates: FastCheck.array(
    FastCheck.constantFrom<TargetFate>('answers', 'answerLost', 'refuses'),
    { minLength: 3, maxLength: 3 },
  ),
  diesAfter: FastCheck.oneof(FastCheck.constant(1_000), FastCheck.integer({ min: 1, max: 30 })),
  tries: FastCheck.integer({ min: 1, max: 3 }),
});

/** Plays one router; every wait is ended in the order that the scheduler draws. */
async function playRouter(
  play: Play,
  name: string,
  luck: Fortune,
  scheduler: FastCheck.Scheduler,
): Promise<void> {
  const faults = [...luck.faults];
  const fates = [...luck.targetFates];
  let waits = 0;
  async function delayStep(): Promise<void> {
    waits += 1;
    await scheduler.schedule(Promise.resolve(), name);
    if (waits > luck.diesAfter) await FakeStores.waitForever();
  }
  const clock: Clock = {
    getNowMs: () => waits,
    getRunningMs: () => waits,
    getWallTime: () => '',
    waitMs: delayStep,
  };
  const runAttempts: RunAttempts = async (order) => {
    await delayStep();
    const fate = fates.shift() ?? 'answers';
    if (fate === 'refuses') {
      return { kind: 'notRun', reason: 'noTarget', message: 'refused', retryAfterSeconds: 1 };
    }
    play.runs.push(order.requestId);
    await delayStep();
    return fate === 'answers'
      ? FakeRouters.createDone(order.requestId)
      : { kind: 'unknown', message: 'reset' };
  };
  const store = play.store.openStore(delayStep, () => faults.shift() ?? 'none');
  const router = FakeRouters.createFakeRouter({ name, store, clock, runAttempts });
  for (let attempt = 1; attempt <= luck.tries; attempt += 1) {
    const requestId = `${name}-${attempt}`;
    const outcome = await router.runOrder(FakeRouters.createOrder({ requestId }));
    play.told.push({ requestId, outcome });
  }
}

function checkPlay({ runs, told }: Play): void {
  expect(runs.length <= 1).toEqual(true);
  for (const { requestId, outcome } of told) {
    if (outcome.kind === 'notRun') expect(runs.includes(requestId)).toEqual(false);
    // Whoever gets an answer gets that of the one run.
    if (outcome.kind === 'done') {
      expect(Buffer.from(outcome.body).toString()).toEqual(runs[0] ?? '');
    }
  }
}

describe('claims under every interleaving', () => {
  for (const seed of SEEDS) {
    it(`run an order at most once (seed ${seed})`, async () => {
      // A caller sends one booking several times to three routers, some of which die; calls of the
      // platform fail or lose their answers, targets refuse or go silent, and open marks end at any
      // moment. Two runs would be two crews in the snow; "not run" said of a run one, a third.
      const property = FastCheck.asyncProperty(
        FastCheck.scheduler(),
        FastCheck.array(fortune, { minLength: 2, maxLength: 3 }),
        FastCheck.boolean(),
        async (scheduler, fortunes, expires) => {
          const play: Play = { store: FakeStores.createFakeStore(), runs: [], told: [] };
          fortunes.forEach((luck, index) => {
            playRouter(play, `r${index}`, luck, scheduler).catch(() => undefined);
          });
          if (expires) {
            scheduler
              .schedule(Promise.resolve(), 'open marks end')
              .then(() => play.store.expireLeases(AN_HOUR))
              .catch(() => undefined);
          }
          await scheduler.waitIdle();
          checkPlay(play);
        },
      );
      await FastCheck.assert(property, { seed, numRuns: RUNS_PER_SEED });
    });
  }
});
