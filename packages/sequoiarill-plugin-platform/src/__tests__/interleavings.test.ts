/**
 * Property-based tests of leases and edits under many interleavings. Seeds are fixed. A seed that
 * finds a fault is added to the list permanently.
 */
import { describe, it } from 'node:test';

import type { KeyValueStore } from '@sequoiarill/types';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as DocumentEditors from '../documentEditor';
import type { EditOutcome } from '../documentEditor';
import type { PlatformStore } from '../keyValueStore';
import * as LeaderElections from '../leaderElection';
import type { LeaderElection } from '../leaderElection';
import * as Platforms from './fakePlatform';
import type { FakePlatform } from './fakePlatform';
import * as Fixtures from './fixtures';

const SEEDS = [11, 42, 20_261_203];
const RUNS = 50;
const KEY = 'duties/z1/reader';
const CANDIDATES = 3;
/** The clock advances in steps of this length, and the invariants are checked after each. */
const STEP_MS = 100;

type LeaseStep =
  | { readonly kind: 'pass'; readonly ms: number }
  | { readonly kind: 'pause' | 'resume' | 'release'; readonly candidate: number }
  | { readonly kind: 'away' | 'back' | 'lose' }
  | { readonly kind: 'slow'; readonly ms: number };

const candidateIndex = FastCheck.integer({ min: 0, max: CANDIDATES - 1 });
const leaseStep: FastCheck.Arbitrary<LeaseStep> = FastCheck.oneof(
  {
    weight: 5,
    arbitrary: FastCheck.record({
      kind: FastCheck.constant('pass' as const),
      ms: FastCheck.integer({ min: 1, max: 50 }),
    }),
  },
  {
    weight: 4,
    arbitrary: FastCheck.record({
      kind: FastCheck.constantFrom('pause' as const, 'resume' as const, 'release' as const),
      candidate: candidateIndex,
    }),
  },
  {
    weight: 2,
    arbitrary: FastCheck.record({
      kind: FastCheck.constantFrom('away' as const, 'back' as const, 'lose' as const),
    }),
  },
  {
    weight: 2,
    arbitrary: FastCheck.record({
      kind: FastCheck.constant('slow' as const),
      ms: FastCheck.constantFrom(0, 200, 900, 2_500),
    }),
  },
);

interface Candidate {
  readonly election: LeaderElection;
  readonly pause: () => void;
  readonly resume: () => void;
  readonly stop: () => void;
}

/** Starts a process that always competes for the role, and that can be paused during any call. */
function startCandidate(platform: FakePlatform, clock: Kernel.FakeClock, index: number): Candidate {
  const store = platform.createStore();
  const stopping = new AbortController();
  let gate = Promise.resolve();
  let openGate = () => undefined as void;

  /** Delays a response to a paused process until it resumes. */
  async function delayWhilePaused<Result>(call: Promise<Result>): Promise<Result> {
    const result = await call;
    await gate;
    return result;
  }

  const slowedStore: KeyValueStore = {
    ...store,
    readKey: (key) => delayWhilePaused(store.readKey(key)),
    writeTransaction: (transaction) => delayWhilePaused(store.writeTransaction(transaction)),
    grantLease: (ttl) => delayWhilePaused(store.grantLease(ttl)),
    refreshLease: (leaseId) => delayWhilePaused(store.refreshLease(leaseId)),
  };
  const ownClock = {
    ...clock,
    waitMs: (ms: number, signal?: AbortSignal) => delayWhilePaused(clock.waitMs(ms, signal)),
  };
  const election = LeaderElections.createLeaderElection({
    store: slowedStore,
    clock: ownClock,
    nextRandom: Fixtures.createRandom(index + 1),
    key: KEY,
    holder: `router-${index}`,
    ttlSeconds: 4,
  });

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      const outcome = await election.acquireLeadership();
      if (outcome.kind === 'held') await election.runRenewals(stopping.signal);
      await ownClock.waitMs(500 + index * 10, stopping.signal);
    }
  }

  run();
  return {
    election,
    pause() {
      openGate();
      gate = new Promise((resolve) => {
        openGate = resolve;
      });
    },
    resume: () => openGate(),
    stop() {
      openGate();
      stopping.abort();
    },
  };
}

/** Throws if there are two leaders, or a leader whose key is not stored in the platform. */
function checkLeadership(platform: FakePlatform, candidates: readonly Candidate[]): void {
  const fencingNumbers = candidates
    .filter(({ election }) => election.isLeader())
    .map(({ election }) => election.getFencingNumber());
  if (fencingNumbers.length > 1) throw new Error(`two leaders: ${fencingNumbers.join(', ')}`);
  const [fencingNumber] = fencingNumbers;
  const stored = platform.get(KEY)?.createRevision;
  if (fencingNumber !== undefined && fencingNumber !== stored) {
    throw new Error(`the leader has number ${fencingNumber}, but ${stored} is stored`);
  }
}

function applyFault(platform: FakePlatform, step: LeaseStep): void {
  if (step.kind === 'away' || step.kind === 'back') platform.faults.isDown = step.kind === 'away';
  if (step.kind === 'lose') platform.faults.lostResponses = 1;
  if (step.kind === 'slow') platform.faults.latencyMs = step.ms;
}

async function applyStep(
  step: LeaseStep,
  platform: FakePlatform,
  clock: Kernel.FakeClock,
  candidates: readonly Candidate[],
): Promise<void> {
  if (step.kind === 'pass') {
    for (let count = 0; count < step.ms; count += 1) {
      await clock.runFor(STEP_MS);
      checkLeadership(platform, candidates);
    }
  } else if (step.kind === 'release') candidates[step.candidate]?.election.releaseLeadership();
  else if (step.kind === 'pause') candidates[step.candidate]?.pause();
  else if (step.kind === 'resume') candidates[step.candidate]?.resume();
  else applyFault(platform, step);
}

async function checkLeases(steps: readonly LeaseStep[]): Promise<void> {
  const clock = Kernel.createFakeClock();
  const platform = Platforms.createFakePlatform(clock);
  const candidates = Array.from({ length: CANDIDATES }, (unused, index) =>
    startCandidate(platform, clock, index),
  );
  for (const step of steps) {
    await applyStep(step, platform, clock, candidates);
    checkLeadership(platform, candidates);
  }
  // Once all faults are cleared, a candidate must become the leader soon.
  candidates.forEach((candidate) => candidate.resume());
  applyFault(platform, { kind: 'back' });
  applyFault(platform, { kind: 'slow', ms: 0 });
  platform.faults.lostResponses = 0;
  await clock.runFor(12_000);
  checkLeadership(platform, candidates);
  expect(candidates.some(({ election }) => election.isLeader())).toEqual(true);
  candidates.forEach((candidate) => candidate.stop());
  await clock.runFor(5_000);
}

type StoreResult<Name extends keyof PlatformStore> = ReturnType<PlatformStore[Name]>;

/** Lets the scheduler decide when each call runs and when its response arrives. */
function createScheduledStore(
  platform: FakePlatform,
  scheduler: FastCheck.Scheduler,
): PlatformStore {
  const store = platform.createStore();
  async function delayCall<Result>(run: () => Promise<Result>): Promise<Result> {
    await scheduler.schedule(Promise.resolve(), 'sent');
    const result = await run();
    await scheduler.schedule(Promise.resolve(), 'answered');
    return result;
  }
  return {
    ...store,
    readKey: (key): StoreResult<'readKey'> => delayCall(() => store.readKey(key)),
    readPrefix: (prefix): StoreResult<'readPrefix'> => delayCall(() => store.readPrefix(prefix)),
    writeTransaction: (transaction): StoreResult<'writeTransaction'> =>
      delayCall(() => store.writeTransaction(transaction)),
  };
}

interface EditPlan {
  readonly section: 'first' | 'second';
  readonly edits: number;
}

const editPlan: FastCheck.Arbitrary<EditPlan> = FastCheck.record({
  section: FastCheck.constantFrom('first' as const, 'second' as const),
  edits: FastCheck.integer({ min: 1, max: 3 }),
});

async function runEditor(
  plan: EditPlan,
  name: string,
  platform: FakePlatform,
  scheduler: FastCheck.Scheduler,
): Promise<readonly EditOutcome[]> {
  const editor = DocumentEditors.createDocumentEditor({
    store: createScheduledStore(platform, scheduler),
    clock: { ...Kernel.createFakeClock(), waitMs: () => Promise.resolve() },
    nextRandom: () => 0,
    author: name,
  });
  const outcomes: EditOutcome[] = [];
  for (let count = 0; count < plan.edits; count += 1) {
    const text = Fixtures.formatModelSection(`${name}-${count}`, plan.section);
    outcomes.push(await editor.putSection({ section: plan.section, text, file: name }));
  }
  return outcomes;
}

/**
 * Checks that each edit reported as written is stored exactly once, and that no other edit is
 * stored unless its outcome was reported as unknown.
 */
async function checkEdits(
  scheduler: FastCheck.Scheduler,
  plans: readonly EditPlan[],
  lostResponses: number,
): Promise<void> {
  const platform = Platforms.createFakePlatform(Kernel.createFakeClock());
  platform.faults.lostResponses = lostResponses;
  const running = plans.map((plan, index) =>
    runEditor(plan, `editor-${index}`, platform, scheduler),
  );
  await scheduler.waitFor(Promise.all(running));
  const outcomes = (await Promise.all(running)).flat();
  const reader = DocumentEditors.createDocumentEditor({
    store: platform.createStore(),
    clock: Kernel.createFakeClock(),
    nextRandom: () => 0,
    author: 'reader',
  });
  const first = await reader.listHistory('first');
  const second = await reader.listHistory('second');
  const entries = [...(first ?? []), ...(second ?? [])];
  const texts = entries.map(({ text }) => text);
  expect(new Set(texts).size).toEqual(texts.length);
  const written = outcomes.flatMap((outcome) =>
    outcome.kind === 'written' ? [outcome.revision] : [],
  );
  const unknown = outcomes.filter(({ kind }) => kind === 'unknown').length;
  const revisions = new Set(entries.map(({ revision }) => revision));
  expect(written.every((revision) => revisions.has(revision))).toEqual(true);
  expect(new Set(written).size).toEqual(written.length);
  expect(entries.length >= written.length).toEqual(true);
  expect(entries.length <= written.length + unknown).toEqual(true);
}

describe('leases under interleavings', () => {
  for (const seed of SEEDS) {
    it(`have one leader at a time (seed ${seed})`, async () => {
      // Failure: leaders are paused during calls, responses are lost, the platform is unavailable
      // or slow. Two routers that both consider themselves the leader would send contradictory
      // commands.
      const steps = FastCheck.array(leaseStep, { minLength: 5, maxLength: 25 });
      await FastCheck.assert(FastCheck.asyncProperty(steps, checkLeases), { seed, numRuns: RUNS });
    });
  }
});

describe('edits under interleavings', () => {
  for (const seed of SEEDS) {
    it(`are written once or not at all, as reported (seed ${seed})`, async () => {
      // Failure: several operators edit two sections concurrently and responses are lost. An edit
      // that is reported as written but missing, or reported as failed but in effect, causes an
      // outage whose cause has to be found manually.
      const property = FastCheck.asyncProperty(
        FastCheck.scheduler(),
        FastCheck.array(editPlan, { minLength: 2, maxLength: 4 }),
        FastCheck.integer({ min: 0, max: 3 }),
        checkEdits,
      );
      await FastCheck.assert(property, { seed, numRuns: RUNS });
    });
  }
});
