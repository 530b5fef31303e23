import { describe, it } from 'node:test';

import type { ForwardingRoute } from '@sequoiarill/types';
import { expect } from 'earl';

import type { ForwardOutcome, ForwardRequest } from '../../forwardRequest';
import type { CallEvent } from '../../targets/targetCall';
import * as FullAnswers from '../fullAnswer';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';

const TARGETS = ['o1', 'o2', 'o3'];
/** Time that a target works on a request. */
const WORK_MS = 50;
const CHUNK: CallEvent = { kind: 'data', chunk: Buffer.alloc(65_536, 'x') };
const LONG_CHUNKS = 8;

function createRoute(change: Partial<ForwardingRoute>): ForwardingRoute {
  return Fakes.createRoute({
    isStream: false,
    hasPrompt: false,
    retryPolicy: 'idempotent',
    timeoutMs: 6_000,
    objectiveMs: 400,
    maxTargets: 3,
    shares: [{ service: 'orders', weight: 1 }],
    ...change,
  });
}

/** A head, and chunks every 100 ms after it. */
function createAnswer(chunks: number): Script {
  const data = Array.from(
    { length: chunks },
    (_item, index) => [150 + index * 100, CHUNK] as const,
  );
  const endMs = WORK_MS + chunks * 100;
  return [[WORK_MS, Fakes.createHead(200)], ...data, [endMs, { kind: 'end' }]];
}

/** Targets that are paused at the start, each for its time, and then go on where they were. */
function createPaused(pauses: Readonly<Record<string, number>>, chunks = 0): FakeDependencies {
  const fake: FakeDependencies = Fakes.createFakeDependencies((target) => {
    const delayMs = Math.max(0, (pauses[target] ?? 0) - fake.clock.getNowMs());
    return createAnswer(chunks).map(([afterMs, event]) => [afterMs + delayMs, event] as const);
  });
  fake.setTargets(TARGETS.map((id) => Fakes.createTarget(id, { service: 'orders' })));
  Object.entries(pauses).forEach(([id, endMs]) => fake.pausedUntilMs.set(id, endMs));
  return fake;
}

interface Run {
  readonly outcome: ForwardOutcome | undefined;
  readonly tookMs: number;
}

async function runRequest(
  fake: FakeDependencies,
  change: Partial<ForwardingRoute> = {},
  extra: Partial<ForwardRequest> = {},
): Promise<Run> {
  let run: Run = { outcome: undefined, tookMs: Number.POSITIVE_INFINITY };
  const request = { ...Fakes.createRequest(createRoute(change)), ...extra };
  FullAnswers.runFullAnswer(fake.dependencies, request).then(
    (outcome) => {
      run = { outcome, tookMs: fake.clock.getNowMs() };
    },
    () => undefined,
  );
  await fake.clock.runFor(10_000);
  return run;
}

/** The choice is the same in each test. */
async function findFirstTarget(): Promise<string> {
  const fake = createPaused({});
  await runRequest(fake);
  return fake.sentCalls[0]?.target ?? '';
}

const ALL_PAUSED = { o1: 1_300, o2: 1_300, o3: 1_300 };

describe('a plain request at targets that are paused together', () => {
  it('is answered by the target that has it, and runs once', async () => {
    // Guards against requests that are given up for a silence in which no other target can take them.
    for (const change of [{}, { maxTargets: 2 }, { maxTargets: 1 }, { objectiveMs: 100 }]) {
      const fake = createPaused(ALL_PAUSED);
      const { outcome, tookMs } = await runRequest(fake, change);
      expect([outcome?.kind, fake.sentCalls.length]).toEqual(['answer', 1]);
      expect(tookMs).toEqual(1_300 + WORK_MS);
    }
  });

  it('is answered, though it must not run twice, after a pause of several seconds', async () => {
    // Guards against a failure of a request that its target still runs.
    const fake = createPaused({ o1: 4_000, o2: 4_000, o3: 4_000 });
    const { outcome, tookMs } = await runRequest(fake, { retryPolicy: 'once' });
    expect([outcome?.kind, fake.sentCalls.length]).toEqual(['answer', 1]);
    expect(tookMs).toEqual(4_000 + WORK_MS);
  });

  it('goes to another one where its own stays silent after the others', async () => {
    const first = await findFirstTarget();
    const fake = createPaused({ ...ALL_PAUSED, [first]: 60_000 });
    const { outcome, tookMs } = await runRequest(fake);
    expect([outcome?.kind, fake.sentCalls.length]).toEqual(['answer', 2]);
    expect(tookMs).toBeLessThanOrEqual(2_000);
  });

  it('ends at its time limit when they stay silent', async () => {
    const endless = { o1: 60_000, o2: 60_000, o3: 60_000 };
    for (const retryPolicy of ['once', 'idempotent'] as const) {
      const fake = createPaused(endless);
      const { outcome, tookMs } = await runRequest(fake, { retryPolicy });
      expect([outcome?.kind, tookMs]).toEqual(['failed', 6_000]);
      expect(fake.sentCalls.length).toEqual(1);
    }
  });
});

describe('a plain request at one target that is paused', () => {
  it('is answered by another target as soon as the first one is late', async () => {
    const fake = createPaused({ [await findFirstTarget()]: 60_000 });
    const { outcome, tookMs } = await runRequest(fake);
    expect([outcome?.kind, fake.sentCalls.length]).toEqual(['answer', 2]);
    expect(tookMs).toBeLessThanOrEqual(1_400);
  });

  it('takes no repeat when its answer comes while another target is probed', async () => {
    // Guards against a budget that is used up by requests which were sent once.
    const first = await findFirstTarget();
    const others = TARGETS.filter((id) => id !== first);
    const fake = createPaused({ [first]: 250 });
    others.forEach((id) => fake.pausedUntilMs.set(id, 340));
    const budget = fake.dependencies.getBudget('orders');
    const { outcome, tookMs } = await runRequest(fake, { objectiveMs: 100 });
    expect([outcome?.kind, tookMs, fake.sentCalls.length]).toEqual(['answer', 300, 1]);
    expect(budget.getTotals(5_000).retries).toEqual(0);
  });

  it('stays there while no repeat is left', async () => {
    // Guards against a refusal of a request that its target still runs.
    const fake = createPaused({ [await findFirstTarget()]: 2_000 });
    fake.dependencies.getBudget('orders').grantQuota(0, Number.POSITIVE_INFINITY);
    const { outcome, tookMs } = await runRequest(fake);
    expect([outcome?.kind, fake.sentCalls.length]).toEqual(['answer', 1]);
    expect(tookMs).toEqual(2_000 + WORK_MS);
  });
});

describe('a long plain answer', () => {
  it('goes on after a pause of all targets in the middle of it', async () => {
    // Guards against the close of an answer whose target is silent for a moment.
    for (const retryPolicy of ['once', 'idempotent'] as const) {
      const fake = createPaused({});
      const script = createAnswer(LONG_CHUNKS).map(
        ([afterMs, event]) => [afterMs > 600 ? afterMs + 1_500 : afterMs, event] as const,
      );
      const paused = Fakes.createFakeDependencies(() => script);
      paused.setTargets(fake.dependencies.directory.listTargets('orders'));
      TARGETS.forEach((id) => paused.pausedUntilMs.set(id, 2_100));
      let isStarted = false;
      let bytes = 0;
      const sink = {
        start: () => {
          isStarted = true;
        },
        isStarted: () => isStarted,
        write: async (chunk: Buffer) => {
          bytes += chunk.length;
        },
        getUnreadMs: () => ({ totalMs: 0, longestMs: 0 }),
      };
      const { outcome } = await runRequest(paused, { retryPolicy }, { sink });
      expect([outcome?.kind, paused.sentCalls.length]).toEqual(['passed', 1]);
      expect(bytes).toEqual(LONG_CHUNKS * 65_536);
    }
  });
});
