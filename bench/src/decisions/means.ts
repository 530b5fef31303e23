/** One pattern with several seeds: a single run differs by about a hundredth of capacity. */
import * as Play from '@sequoiarill/decisions/lib/simulation';

const SEEDS = 3;
const SEED_STEP = 1_000;

/** Means of shares and times; counts are of all runs, the longest pause is the longest of any. */
export function playMean(
  pattern: Play.Workload,
  policy: Play.PolicyDefinition,
): Play.SimulationSummary {
  const runs = Array.from({ length: SEEDS }, (_value, index) =>
    Play.simulateWorkload({ ...pattern, seed: pattern.seed + index * SEED_STEP }, policy),
  );
  const computeSum = (key: keyof Play.SimulationSummary) =>
    runs.reduce((sum, run) => sum + Number(run[key]), 0);
  const computeMean = (key: keyof Play.SimulationSummary) => computeSum(key) / SEEDS;
  return {
    policy: policy.name,
    pattern: pattern.name,
    goodputShare: computeMean('goodputShare'),
    goodputOfAsked: computeMean('goodputOfAsked'),
    p95FirstTokenMs: Math.round(computeMean('p95FirstTokenMs')),
    p50FirstTokenMs: Math.round(computeMean('p50FirstTokenMs')),
    worstShare: computeMean('worstShare'),
    wastedShare: computeMean('wastedShare'),
    longestPauseMs: Math.max(...runs.map((run) => run.longestPauseMs)),
    asked: computeSum('asked'),
    finished: computeSum('finished'),
    refused: computeSum('refused'),
    refusedWrongly: computeSum('refusedWrongly'),
    refusedLate: computeSum('refusedLate'),
    abandoned: computeSum('abandoned'),
    failed: computeSum('failed'),
  };
}
