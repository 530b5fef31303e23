/**
 * Assesses from the answers counted by all routers whether a new version is worse than the one it replaces.
 *
 * Load pattern: the new version gives a few answers a second and the old one many, while targets also
 * crash, fail or slow down for unrelated reasons. A fixed limit on failures reacts too late with few
 * answers and too early where many fail anyway. So each route is a sequential probability ratio test
 * against the old version's rate of bad answers in the same period, and no single target can decide it.
 */
import type { VersionCounts } from '@sequoiarill/types';

export interface RolloutAssessment {
  readonly result: 'bad' | 'doubtful' | 'sound' | 'unseen';
  /** The route with the strongest evidence against the version. */
  readonly route?: string;
  /** Answers of the new version. */
  readonly answers: number;
  /** Those that failed or were much slower than the old version's. */
  readonly badAnswers: number;
  /** Targets of the new version whose own answers are conclusively bad. */
  readonly avoided: readonly string[];
}

/** Latency classes for each doubling of the latency. */
const CLASSES_PER_DOUBLING = 2;
export const LATENCY_CLASS_COUNT = 16;
/** Lower end of the latency scale, as a share of the objective. */
const FIRST_CLASS_SHARE = 1 / 64;

/** Evidence (natural logarithm of the likelihood ratio) from which a version is bad: 1 in 200 by chance. */
const MIN_BAD_EVIDENCE = 5.3;
/** Evidence above which a version is not sound. */
const MAX_SOUND_EVIDENCE = 1.5;
const MIN_BAD_ANSWERS = 4;
/** Hypothesis of a bad version: at least this share of the otherwise good answers turn bad. */
const BAD_EXCESS = 0.25;
/**
 * Prior counts that are added to those of the old version, so that its rate of bad answers is defined
 * before it has given any answers.
 */
const PRIOR_BAD_ANSWERS = 1;
const PRIOR_ANSWERS = 20;
const MIN_BASELINE_RATE = 0.02;
const MAX_BASELINE_RATE = 0.6;
/** At most this share of the old version's answers counts as slow. */
const MAX_SLOW_SHARE = 0.1;
/** Minimum answers of the old version for any answer to count as slow. */
const MIN_COMPARED_ANSWERS = 10;

export function computeLatencyClass(latencyMs: number, objectiveMs: number): number {
  const ratio = Math.max(latencyMs / objectiveMs / FIRST_CLASS_SHARE, 1);
  return Math.min(LATENCY_CLASS_COUNT - 1, Math.floor(Math.log2(ratio) * CLASSES_PER_DOUBLING));
}

function countGood(tallies: readonly VersionCounts[]): number {
  return tallies.reduce((sum, { byLatency }) => sum + computeSum(byLatency), 0);
}

function computeSum(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

function countFailures(tallies: readonly VersionCounts[]): number {
  return tallies.reduce((sum, { failures }) => sum + failures, 0);
}

/** Returns the lowest class that counts as slow, chosen so that few answers of the old version do. */
function findSlowClass(old: readonly VersionCounts[]): number {
  const total = countGood(old);
  if (total < MIN_COMPARED_ANSWERS) return LATENCY_CLASS_COUNT;
  let above = total;
  for (let index = 0; index < LATENCY_CLASS_COUNT; index += 1) {
    above -= old.reduce((sum, { byLatency }) => sum + (byLatency[index] ?? 0), 0);
    if (above <= total * MAX_SLOW_SHARE) return index + 1;
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
    (sum, { byLatency }) => sum + computeSum(byLatency.slice(slowClass)),
    0,
  );
  // Requests that have waited for a slow class count as bad before their answer arrives.
  const overdue = tallies.reduce(
    (sum, { waiting }) => sum + computeSum(waiting.slice(slowClass)),
    0,
  );
  return { answers: failures + countGood(tallies) + overdue, bad: failures + slow + overdue };
}

function mergeCounts(counts: readonly Count[]): Count {
  return counts.reduce(
    (sum, { answers, bad }) => ({ answers: sum.answers + answers, bad: sum.bad + bad }),
    { answers: 0, bad: 0 },
  );
}

/** Log-likelihood ratio of the answers coming from a bad version rather than one like the old version. */
function computeEvidence({ answers, bad }: Count, old: Count): number {
  const rate = (old.bad + PRIOR_BAD_ANSWERS) / (old.answers + PRIOR_ANSWERS);
  const baselineRate = Math.min(MAX_BASELINE_RATE, Math.max(MIN_BASELINE_RATE, rate));
  const badRate = baselineRate + BAD_EXCESS * (1 - baselineRate);
  return (
    bad * Math.log(badRate / baselineRate) +
    (answers - bad) * Math.log((1 - badRate) / (1 - baselineRate))
  );
}

function isConclusive(evidence: number, { bad }: Count): boolean {
  return bad >= MIN_BAD_ANSWERS && evidence >= MIN_BAD_EVIDENCE;
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
      const existing = byTarget.get(target) ?? { answers: 0, bad: 0 };
      byTarget.set(target, mergeCounts([existing, countBad([tally], slowClass)]));
    }
  }
  return { route, old: countBad(oldTallies, slowClass), byTarget };
}

function listBadTargets(routes: readonly RouteCounts[]): readonly string[] {
  const bad = routes.flatMap(({ old, byTarget }) =>
    [...byTarget].filter(([, count]) => isConclusive(computeEvidence(count, old), count)),
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

/** Whether the evidence of one route alone, or of all routes together, is conclusive. */
function isAnyConclusive(routeEvidence: readonly RouteEvidence[]): boolean {
  const evidence = routeEvidence.reduce((sum, one) => sum + one.evidence, 0);
  const all = mergeCounts(routeEvidence.map(({ count }) => count));
  return (
    isConclusive(evidence, all) ||
    routeEvidence.some((one) => isConclusive(one.evidence, one.count))
  );
}

/** `targetCount`: number of targets of the new version. */
export function computeRolloutAssessment(
  tallies: readonly VersionCounts[],
  targetCount: number,
): RolloutAssessment {
  const names = [...new Set(tallies.map(({ route }) => route))];
  const routes = names.map((route) => countRoute(route, tallies));
  const newCounts = mergeCounts(routes.flatMap(({ byTarget }) => [...byTarget.values()]));
  const avoided = listBadTargets(routes);
  const counts = { answers: newCounts.answers, badAnswers: newCounts.bad, avoided };
  if (newCounts.answers === 0) return { result: 'unseen', ...counts };
  // Without the exclusion, one new target that fails for its own reasons would roll back a sound version.
  const excluded = targetCount > 1 ? findWorstTarget(routes) : undefined;
  const routeEvidence = routes.map((one) => computeRouteEvidence(one, excluded));
  const [worst] = [...routeEvidence].sort((left, right) => right.evidence - left.evidence);
  const route = worst?.route ?? '';
  const evidence = routeEvidence.reduce((sum, one) => sum + one.evidence, 0);
  const areTargetsBad = avoided.length >= Math.min(2, targetCount);
  if (areTargetsBad || isAnyConclusive(routeEvidence)) return { result: 'bad', route, ...counts };
  // When one target was bad, the others have to show that only this target is at fault.
  const isTargetOnly = avoided.length === 0 || evidence < -MAX_SOUND_EVIDENCE;
  const isSound = isTargetOnly && (worst?.evidence ?? 0) <= MAX_SOUND_EVIDENCE;
  return { result: isSound ? 'sound' : 'doubtful', route, ...counts };
}
