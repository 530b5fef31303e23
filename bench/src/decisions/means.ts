/** Simulates a workload with several seeds, since single runs differ by about 1 % of capacity. */
import * as Simulation from '@sequoiarill/decisions/lib/simulation';

const SEEDS = 3;
const SEED_STEP = 1_000;

/** Returns means of shares and times, sums of counts, and the longest pause of all runs. */
export function simulateMean(
  workload: Simulation.Workload,
  policy: Simulation.PolicyDefinition,
): Simulation.SimulationSummary {
  const runs = Array.from({ length: SEEDS }, (_value, index) =>
    Simulation.simulateWorkload({ ...workload, seed: workload.seed + index * SEED_STEP }, policy),
  );
  const computeSum = (key: keyof Simulation.SimulationSummary) =>
    runs.reduce((sum, run) => sum + Number(run[key]), 0);
  const computeMean = (key: keyof Simulation.SimulationSummary) => computeSum(key) / SEEDS;
  return {
    policy: policy.name,
    pattern: workload.name,
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
