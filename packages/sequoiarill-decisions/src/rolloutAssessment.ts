/**
 * Whether a new version answers worse than the one it replaces, by what all routers saw together.
 *
 * Load pattern: a few answers a second of the new version, beside many of the old one, on days when targets
 * crash, fail or are slow for other reasons. A fixed limit on failures is too late where answers are few and
 * too early where many fail anyway. So each route is a sequential test against the old version's own
 * rate of bad answers at the same time, and no single target can decide it.
 */
import type { VersionCounts } from '@sequoiarill/types';

export interface RolloutAssessment {
  readonly result: 'bad' | 'doubtful' | 'sound' | 'unseen';
  /** The route that decided. */
  readonly route?: string;
  /** Answers of the new version. */
  readonly answers: number;
  /** Those that failed or were much slower than the old version's. */
  readonly badAnswers: number;
  /** Targets of the new version that are bad by themselves. */
  readonly avoided: readonly string[];
}

/** Two classes for each doubling. */
const CLASSES_PER_DOUBLING = 2;
export const LATENCY_CLASS_COUNT = 16;
/** The first class ends at this share of the objective. */
const FIRST_CLASS_SHARE = 1 / 64;

/** Evidence, in natural logarithms of likelihood ratios, at which a version is bad: 1 in 200 by chance. */
const BAD_EVIDENCE = 5.3;
/** Evidence above which a version is not called sound. */
const DOUBT_EVIDENCE = 1.5;
const MIN_BAD_ANSWERS = 4;
/** A bad version has at least this share of bad answers beyond the old one's. */
const BAD_EXCESS = 0.25;
/** Bad answers and answers that are assumed of the old version before it has shown any. */
const PRIOR_BAD = 1;
const PRIOR_ANSWERS = 20;
const MIN_RATE = 0.02;
const MAX_RATE = 0.6;
/** Share of the old version's answers above which one counts as slow. */
const SLOW_SHARE = 0.1;
/** Answers of the old version without which none is called slow. */
const MIN_COMPARED = 10;

export function computeLatencyClass(latencyMs: number, objectiveMs: number): number {
  const ratio = Math.max(latencyMs / objectiveMs / FIRST_CLASS_SHARE, 1);
  return Math.min(LATENCY_CLASS_COUNT - 1, Math.floor(Math.log2(ratio) * CLASSES_PER_DOUBLING));
}

function countGood(tallies: readonly VersionCounts[]): number {
  return tallies.reduce((sum, { byLatency }) => sum + countAll(byLatency), 0);
}

function countAll(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

function countFailures(tallies: readonly VersionCounts[]): number {
  return tallies.reduce((sum, { failures }) => sum + failures, 0);
}

/** Answers in this class and above count as slow: only a few of the old version are. */
function findSlowClass(old: readonly VersionCounts[]): number {
  const total = countGood(old);
  if (total < MIN_COMPARED) return LATENCY_CLASS_COUNT;
  let above = total;
  for (let index = 0; index < LATENCY_CLASS_COUNT; index += 1) {
    above -= old.reduce((sum, { byLatency }) => sum + (byLatency[index] ?? 0), 0);
    if (above <= total * SLOW_SHARE) return index + 1;
  }
  return LATENCY_CLASS_COUNT;
}

interface Count {
  readonly answers: number;
  readonly bad: number;
}

function countBad(tallies: readonly VersionCounts[], slowClass: number): Count {
  const failures = countFailures(tallies);
  const slow = tallies.reduce(
    (sum, { byLatency }) => sum + countAll(byLatency.slice(slowClass)),
    0,
  );
  // Slow answers come late: those that are overdue count before they are there.
  const due = tallies.reduce((sum, { waiting }) => sum + countAll(waiting.slice(slowClass)), 0);
  return { answers: failures + countGood(tallies) + due, bad: failures + slow + due };
}

function mergeCounts(counts: readonly Count[]): Count {
  return counts.reduce(
    (sum, { answers, bad }) => ({ answers: sum.answers + answers, bad: sum.bad + bad }),
    { answers: 0, bad: 0 },
  );
}

/** Logarithm of how much likelier the answers are from a bad version than from one like the old. */
function computeEvidence({ answers, bad }: Count, old: Count): number {
  const rate = (old.bad + PRIOR_BAD) / (old.answers + PRIOR_ANSWERS);
  const usual = Math.min(MAX_RATE, Math.max(MIN_RATE, rate));
  const raised = usual + BAD_EXCESS * (1 - usual);
  return bad * Math.log(raised / usual) + (answers - bad) * Math.log((1 - raised) / (1 - usual));
}

function isProof(evidence: number, { bad }: Count): boolean {
  return bad >= MIN_BAD_ANSWERS && evidence >= BAD_EVIDENCE;
}

interface RouteCounts {
  readonly route: string;
  readonly old: Count;
  readonly byTarget: ReadonlyMap<string, Count>;
}

interface RouteEvidence {
  readonly route: string;
  readonly count: Count;
  readonly evidence: number;
}

function countRoute(route: string, all: readonly VersionCounts[]): RouteCounts {
  const tallies = all.filter((tally) => tally.route === route);
  const oldTallies = tallies.filter(({ target }) => target === undefined);
  const slowClass = findSlowClass(oldTallies);
  const byTarget = new Map<string, Count>();
  for (const tally of tallies) {
    const { target } = tally;
    if (target !== undefined) {
      const known = byTarget.get(target) ?? { answers: 0, bad: 0 };
      byTarget.set(target, mergeCounts([known, countBad([tally], slowClass)]));
    }
  }
  return { route, old: countBad(oldTallies, slowClass), byTarget };
}

function listBadTargets(routes: readonly RouteCounts[]): readonly string[] {
  const bad = routes.flatMap(({ old, byTarget }) =>
    [...byTarget].filter(([, count]) => isProof(computeEvidence(count, old), count)),
  );
  return [...new Set(bad.map(([target]) => target))];
}

function findWorstTarget(routes: readonly RouteCounts[]): string | undefined {
  const totals = new Map<string, number>();
  for (const { byTarget } of routes) {
    byTarget.forEach(({ bad }, target) => totals.set(target, (totals.get(target) ?? 0) + bad));
  }
  return [...totals].sort(([, left], [, right]) => right - left)[0]?.[0];
}

function computeRouteEvidence(
  { route, old, byTarget }: RouteCounts,
  excluded: string | undefined,
): RouteEvidence {
  const counted = [...byTarget].filter(([target]) => target !== excluded);
  const count = mergeCounts(counted.map(([, one]) => one));
  return { route, count, evidence: computeEvidence(count, old) };
}

/** One route alone, or all together. */
function isAnyProof(judged: readonly RouteEvidence[]): boolean {
  const evidence = judged.reduce((sum, one) => sum + one.evidence, 0);
  const all = mergeCounts(judged.map(({ count }) => count));
  return isProof(evidence, all) || judged.some((one) => isProof(one.evidence, one.count));
}

/** `targetCount`: targets that the new version has. */
export function computeRolloutAssessment(
  tallies: readonly VersionCounts[],
  targetCount: number,
): RolloutAssessment {
  const names = [...new Set(tallies.map(({ route }) => route))];
  const routes = names.map((route) => countRoute(route, tallies));
  const fresh = mergeCounts(routes.flatMap(({ byTarget }) => [...byTarget.values()]));
  const avoided = listBadTargets(routes);
  const counts = { answers: fresh.answers, badAnswers: fresh.bad, avoided };
  if (fresh.answers === 0) return { result: 'unseen', ...counts };
  // Failure: one new target crashes or fails by itself, and a sound version is rolled back for it.
  const excluded = targetCount > 1 ? findWorstTarget(routes) : undefined;
  const judged = routes.map((one) => computeRouteEvidence(one, excluded));
  const [worst] = [...judged].sort((left, right) => right.evidence - left.evidence);
  const route = worst?.route ?? '';
  const evidence = judged.reduce((sum, one) => sum + one.evidence, 0);
  const areTargetsBad = avoided.length >= Math.min(2, targetCount);
  if (areTargetsBad || isAnyProof(judged)) return { result: 'bad', route, ...counts };
  // After one target was bad the others have to show that it was the target alone.
  const isAlone = avoided.length === 0 || evidence < -DOUBT_EVIDENCE;
  const isSound = isAlone && (worst?.evidence ?? 0) <= DOUBT_EVIDENCE;
  return { result: isSound ? 'sound' : 'doubtful', route, ...counts };
}
