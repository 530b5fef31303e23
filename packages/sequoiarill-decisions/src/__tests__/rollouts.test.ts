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

const OLD_TARGETS = ['a', 'b', 'c', 'd'].map((id) => createTarget(id, 'v1'));
const NEW_TARGETS = ['e', 'f', 'g', 'h'].map((id) => createTarget(id, 'v2', 2));
const ALL_TARGETS = [...NEW_TARGETS, ...OLD_TARGETS];

const CANARY: RolloutSplit = {
  phase: 'canary',
  fromVersion: 'v1',
  toVersion: 'v2',
  share: 0.1,
  avoided: new Set(),
};

function listVersions(split: RolloutSplit | undefined, draw: number): readonly string[] {
  const versions = Splits.selectVersion(ALL_TARGETS, split, draw).map(({ version }) => version);
  return [...new Set(versions)];
}

describe('rolloutSplit', () => {
  it('sends nothing to a version whose targets appear before its roll-out order is known', () => {
    expect(listVersions(undefined, 0)).toEqual(['v1']);
  });

  it('sends the share to so few targets that their load equals that of the old ones', () => {
    expect(Splits.selectVersion(ALL_TARGETS, CANARY, 0.05).length).toEqual(1);
    expect(listVersions(CANARY, 0.05)).toEqual(['v2']);
    expect(listVersions(CANARY, 0.1)).toEqual(['v1']);
  });

  it('excludes a new target that is bad on its own', () => {
    const [first] = Splits.selectVersion(ALL_TARGETS, CANARY, 0);
    const avoided = new Set([first?.id ?? '']);
    expect(Splits.selectVersion(ALL_TARGETS, { ...CANARY, avoided }, 0)).not.toEqual([]);
    expect(Splits.selectVersion(ALL_TARGETS, { ...CANARY, avoided }, 0)[0]?.id).not.toEqual(
      first?.id,
    );
  });

  it('never selects the old version after completion, nor a bad one after the rollback', () => {
    expect(listVersions({ ...CANARY, phase: 'completed' }, 0.9)).toEqual(['v2']);
    expect(listVersions({ ...CANARY, phase: 'rolledBack' }, 0)).toEqual(['v1']);
    const remaining = Splits.selectVersion(NEW_TARGETS, { ...CANARY, phase: 'rolledBack' }, 0);
    expect(remaining).toEqual([]);
  });

  it('reports which version work in progress has to leave', () => {
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

function computeResult(...newCounts: readonly VersionCounts[]) {
  return RolloutAssessments.computeRolloutAssessment(
    [OLD_WRITES, OLD_READS, ...newCounts],
    NEW_TARGETS.length,
  ).result;
}

describe('rolloutAssessment', () => {
  it('is bad when two targets fail on one route only', () => {
    const sound = createTally('writes', 'e', { good: 60 });
    const bad = ['e', 'f'].map((id) => createTally('reads', id, { good: 6, failures: 6 }));
    expect(computeResult(sound, ...bad)).toEqual('bad');
  });

  it('is bad for slow answers, including overdue ones that have not arrived', () => {
    const slow = ['e', 'f'].map((id) => createTally('reads', id, { good: 6, slow: 6 }));
    expect(computeResult(...slow)).toEqual('bad');
    const overdue = ['e', 'f'].map((id) => createTally('reads', id, { good: 6, waiting: 6 }));
    expect(computeResult(...overdue)).toEqual('bad');
  });

  it('does not attribute one bad target to the version once others are sound', () => {
    const failing = createTally('reads', 'e', { good: 5, failures: 15 });
    expect(computeResult(failing)).toEqual('doubtful');
    const others = ['f', 'g'].map((id) => createTally('reads', id, { good: 10 }));
    const assessment = RolloutAssessments.computeRolloutAssessment(
      [OLD_READS, failing, ...others],
      NEW_TARGETS.length,
    );
    expect([assessment.result, assessment.avoided]).toEqual(['sound', ['e']]);
  });

  it('does not attribute failures to the version that the old one has too', () => {
    const oldCounts = createTally('reads', undefined, { good: 600, failures: 400 });
    const newCounts = ['e', 'f', 'g'].map((id) =>
      createTally('reads', id, { good: 12, failures: 8 }),
    );
    expect(
      RolloutAssessments.computeRolloutAssessment([oldCounts, ...newCounts], NEW_TARGETS.length)
        .result,
    ).toEqual('sound');
  });

  it('is unseen while there are no answers of the version', () => {
    expect(computeResult()).toEqual('unseen');
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
  hasStreams: false,
  hasQuorum: true,
  intervalMs: 400,
};

function decidePhase(change: Partial<RolloutSituation>) {
  return Plans.decideRolloutStep({ ...SITUATION, ...change }, LIMITS)?.phase;
}

describe('rolloutPlan', () => {
  it('keeps the share of a version small until late, and within the limits', () => {
    expect(decidePhase({})).toEqual(undefined);
    expect(decidePhase({ elapsedMs: 8_000 })).toEqual('trial');
    const few = Plans.decideRolloutStep({ ...SITUATION, requests: 60 }, LIMITS);
    expect(few?.phase).toEqual('canary');
    const expected = (60 / SITUATION.elapsedMs) * SITUATION.durationMs;
    const allowed = LIMITS.canaryShare * expected + LIMITS.canarySlack;
    expect((few?.share ?? 1) * expected < allowed).toEqual(true);
  });

  it('advances only with reports from a majority of routers, but rolls back without', () => {
    expect(decidePhase({ elapsedMs: 8_000, hasQuorum: false })).toEqual(undefined);
    const bad = { ...SOUND, result: 'bad', route: 'reads' } as const;
    expect(decidePhase({ assessment: bad, hasQuorum: false })).toEqual('rolledBack');
  });

  it('does not complete while a request is in progress at a target that would stop at once', () => {
    const moving = { phase: 'moving', phaseMs: 3_000, elapsedMs: 11_500 } as const;
    expect(decidePhase({ ...moving, leaving: 1 })).toEqual(undefined);
    expect(decidePhase(moving)).toEqual('completed');
    expect(decidePhase({ ...moving, leaving: 1, hasStreams: true })).toEqual(undefined);
    expect(decidePhase({ ...moving, elapsedMs: 30_000, leaving: 1 })).toEqual(undefined);
  });

  it('rolls back a doubtful or unseen version at the deadline, and continues a sound one', () => {
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
