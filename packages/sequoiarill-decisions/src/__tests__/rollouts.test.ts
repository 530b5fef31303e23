import { describe, it } from 'node:test';

import type { VersionCounts } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Plans from '../rolloutPlan';
import type { RolloutSituation } from '../rolloutPlan';
import * as Splits from '../rolloutSplit';
import type { RolloutSplit } from '../rolloutSplit';
import * as RolloutAssessments from '../rolloutAssessment';

function createTarget(id: string, version: string, startedAtUnixMs = 1) {
  return { id, version, startedAtUnixMs, service: 'orders', warmupLeftMs: 0 };
}

const OLD = ['a', 'b', 'c', 'd'].map((id) => createTarget(id, 'v1'));
const FRESH = ['e', 'f', 'g', 'h'].map((id) => createTarget(id, 'v2', 2));
const ALL = [...FRESH, ...OLD];

const CANARY: RolloutSplit = {
  phase: 'canary',
  fromVersion: 'v1',
  toVersion: 'v2',
  share: 0.1,
  avoided: new Set(),
};

function listVersions(split: RolloutSplit | undefined, draw: number): readonly string[] {
  const versions = Splits.selectVersion(ALL, split, draw).map(({ version }) => version);
  return [...new Set(versions)];
}

describe('the split between versions', () => {
  it('sends nothing to a version that appears before its order is known', () => {
    expect(listVersions(undefined, 0)).toEqual(['v1']);
  });

  it('sends the share to as few targets as it loads like the old ones', () => {
    expect(Splits.selectVersion(ALL, CANARY, 0.05).length).toEqual(1);
    expect(listVersions(CANARY, 0.05)).toEqual(['v2']);
    expect(listVersions(CANARY, 0.1)).toEqual(['v1']);
  });

  it('leaves out a new target that is bad by itself', () => {
    const [first] = Splits.selectVersion(ALL, CANARY, 0);
    const avoided = new Set([first?.id ?? '']);
    expect(Splits.selectVersion(ALL, { ...CANARY, avoided }, 0)).not.toEqual([]);
    expect(Splits.selectVersion(ALL, { ...CANARY, avoided }, 0)[0]?.id).not.toEqual(first?.id);
  });

  it('never goes back to the old version after the end, nor to a bad one', () => {
    expect(listVersions({ ...CANARY, phase: 'completed' }, 0.9)).toEqual(['v2']);
    expect(listVersions({ ...CANARY, phase: 'rolledBack' }, 0)).toEqual(['v1']);
    const gone = Splits.selectVersion(FRESH, { ...CANARY, phase: 'rolledBack' }, 0);
    expect(gone).toEqual([]);
  });

  it('lets work in progress leave the version that is to stop', () => {
    expect(Splits.isVersionLeaving('v1', { ...CANARY, phase: 'moving' })).toEqual(true);
    expect(Splits.isVersionLeaving('v2', { ...CANARY, phase: 'moving' })).toEqual(false);
    expect(Splits.isVersionLeaving('v1', CANARY)).toEqual(false);
    expect(Splits.isVersionLeaving('v2', { ...CANARY, phase: 'rolledBack' })).toEqual(true);
  });
});

const USUAL_CLASS = 6;
const SLOW_CLASS = 11;

function createCounts(latencyClass: number, count: number): readonly number[] {
  return Array.from({ length: RolloutAssessments.LATENCY_CLASS_COUNT }, (_one, index) =>
    index === latencyClass ? count : 0,
  );
}

interface Answers {
  readonly good?: number;
  readonly failures?: number;
  readonly slow?: number;
  readonly waiting?: number;
}

function createTally(route: string, target: string | undefined, answers: Answers): VersionCounts {
  const { good = 0, failures = 0, slow = 0, waiting = 0 } = answers;
  const usual = createCounts(USUAL_CLASS, good);
  const late = createCounts(SLOW_CLASS, slow);
  return {
    route,
    ...(target === undefined ? {} : { target }),
    failures,
    byLatency: usual.map((count, index) => count + (late[index] ?? 0)),
    waiting: createCounts(SLOW_CLASS, waiting),
  };
}

const OLD_WRITES = createTally('writes', undefined, { good: 980, failures: 20 });
const OLD_READS = createTally('reads', undefined, { good: 980, failures: 20 });

function decideVerdict(...fresh: readonly VersionCounts[]) {
  return RolloutAssessments.computeRolloutAssessment(
    [OLD_WRITES, OLD_READS, ...fresh],
    FRESH.length,
  ).result;
}

describe('the verdict on a version', () => {
  it('is bad when two targets fail on one route only', () => {
    const sound = createTally('writes', 'e', { good: 60 });
    const bad = ['e', 'f'].map((id) => createTally('reads', id, { good: 6, failures: 6 }));
    expect(decideVerdict(sound, ...bad)).toEqual('bad');
  });

  it('is bad by slow answers, also before they are there', () => {
    const slow = ['e', 'f'].map((id) => createTally('reads', id, { good: 6, slow: 6 }));
    expect(decideVerdict(...slow)).toEqual('bad');
    const overdue = ['e', 'f'].map((id) => createTally('reads', id, { good: 6, waiting: 6 }));
    expect(decideVerdict(...overdue)).toEqual('bad');
  });

  it('does not blame the version for one target, once others are sound', () => {
    const failing = createTally('reads', 'e', { good: 5, failures: 15 });
    expect(decideVerdict(failing)).toEqual('doubtful');
    const others = ['f', 'g'].map((id) => createTally('reads', id, { good: 10 }));
    const judged = RolloutAssessments.computeRolloutAssessment(
      [OLD_READS, failing, ...others],
      FRESH.length,
    );
    expect([judged.result, judged.avoided]).toEqual(['sound', ['e']]);
  });

  it('does not blame the version for failures that the old one has too', () => {
    const old = createTally('reads', undefined, { good: 600, failures: 400 });
    const fresh = ['e', 'f', 'g'].map((id) => createTally('reads', id, { good: 12, failures: 8 }));
    expect(
      RolloutAssessments.computeRolloutAssessment([old, ...fresh], FRESH.length).result,
    ).toEqual('sound');
  });

  it('says so when nothing of the version was seen', () => {
    expect(decideVerdict()).toEqual('unseen');
  });
});

const LIMITS = { canaryShare: 0.1, canarySlack: 50 };
const SOUND = { result: 'sound', answers: 40, badAnswers: 0, avoided: [] } as const;

const SITUATION: RolloutSituation = {
  phase: 'canary',
  share: 0.07,
  elapsedMs: 3_000,
  phaseMs: 2_000,
  durationMs: 12_000,
  isInService: false,
  assessment: SOUND,
  targetCount: 7,
  requests: 600,
  leaving: 0,
  canHandOver: false,
  hasQuorum: true,
  intervalMs: 400,
};

function decidePhase(change: Partial<RolloutSituation>) {
  return Plans.decideRolloutStep({ ...SITUATION, ...change }, LIMITS)?.phase;
}

describe('the plan of a roll-out', () => {
  it('keeps the share of a version small until late, and within what is allowed', () => {
    expect(decidePhase({})).toEqual(undefined);
    expect(decidePhase({ elapsedMs: 8_000 })).toEqual('trial');
    const few = Plans.decideRolloutStep({ ...SITUATION, requests: 60 }, LIMITS);
    expect(few?.phase).toEqual('canary');
    const expected = (60 / SITUATION.elapsedMs) * SITUATION.durationMs;
    const allowed = LIMITS.canaryShare * expected + LIMITS.canarySlack;
    expect((few?.share ?? 1) * expected < allowed).toEqual(true);
  });

  it('goes forward only with most routers heard, and back with any', () => {
    expect(decidePhase({ elapsedMs: 8_000, hasQuorum: false })).toEqual(undefined);
    const bad = { ...SOUND, result: 'bad', route: 'reads' } as const;
    expect(decidePhase({ assessment: bad, hasQuorum: false })).toEqual('rolledBack');
  });

  it('does not complete while an order is at a target that would stop at once', () => {
    const moving = { phase: 'moving', phaseMs: 3_000, elapsedMs: 11_500 } as const;
    expect(decidePhase({ ...moving, leaving: 1 })).toEqual(undefined);
    expect(decidePhase(moving)).toEqual('completed');
    expect(decidePhase({ ...moving, leaving: 1, canHandOver: true })).toEqual('completed');
  });

  it('rolls back what is doubtful or unseen when time is up, and finishes what is sound', () => {
    const doubtful = { ...SOUND, result: 'doubtful', route: 'reads' } as const;
    expect(decidePhase({ elapsedMs: 11_500, assessment: doubtful })).toEqual('rolledBack');
    expect(decidePhase({ elapsedMs: 11_500 })).toEqual('trial');
  });

  it('changes nothing after the end', () => {
    const bad = { ...SOUND, result: 'bad', route: 'reads' } as const;
    expect(decidePhase({ phase: 'completed', assessment: bad })).toEqual(undefined);
    expect(decidePhase({ phase: 'rolledBack' })).toEqual(undefined);
  });
});
