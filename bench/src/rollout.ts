/**
 * Simulates roll-outs of sound and bad versions over many routers, with our strategy and with two
 * common ones.
 */
import * as Simulation from '@sequoiarill/plugin-rollouts/lib/simulation';
import type { RolloutCase, RolloutResult } from '@sequoiarill/plugin-rollouts/lib/simulation';

import * as Output from './output';

const SEEDS = [2, 3, 4, 5, 6, 7, 8, 9];
/** A bad version may receive this share of the requests, plus the slack. */
const BAD_REQUEST_SHARE = 0.1;
const BAD_REQUEST_SLACK = 50;
const ROLLBACK_LIMIT_MS = 5_000;

type Strategy = (typeof Simulation.STRATEGIES)[number];

function isWithinBounds({
  bad,
  state,
  requests,
  exposed,
  afterRollbackMs,
}: RolloutResult): boolean {
  if (!bad) return true;
  const isOverexposed =
    exposed > requests * BAD_REQUEST_SHARE + BAD_REQUEST_SLACK ||
    afterRollbackMs > ROLLBACK_LIMIT_MS;
  return state === 'rolledBack' && !isOverexposed;
}

async function simulateSeeds(input: RolloutCase, { decide }: Strategy) {
  const runs: RolloutResult[] = [];
  for (const seed of SEEDS) runs.push(await Simulation.simulateRollout({ ...input, seed }, decide));
  return runs;
}

async function measureStrategy(strategy: Strategy) {
  const runs: RolloutResult[] = [];
  for (const input of Simulation.CASES) runs.push(...(await simulateSeeds(input, strategy)));
  const bad = runs.filter((result) => result.bad);
  const sound = runs.filter((result) => !result.bad);
  return {
    strategy: strategy.name,
    badPlays: bad.length,
    badOutOfBounds: bad.filter((result) => !isWithinBounds(result)).length,
    soundPlays: sound.length,
    falseAlarms: sound.filter(({ falseAlarms }) => falseAlarms > 0).length,
    late: sound.filter(({ withinDuration }) => !withinDuration).length,
    cut: runs.reduce((sum, { cut }) => sum + cut, 0),
  };
}

async function measureRollouts(): Promise<Output.Result> {
  const cases: RolloutResult[] = [];
  for (const input of Simulation.CASES) cases.push(await Simulation.simulateRollout(input));
  const strategies = [];
  for (const strategy of Simulation.STRATEGIES) strategies.push(await measureStrategy(strategy));
  return { cases, strategies };
}

Output.runBench(measureRollouts);
