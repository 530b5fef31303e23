/** Roll-outs of sound and bad versions over many routers, by our plan and by two usual ones. */
import * as Play from '@sequoiarill/plugin-rollouts/lib/simulation';
import type { RolloutCase, RolloutResult } from '@sequoiarill/plugin-rollouts/lib/simulation';

import * as Output from './output';

const SEEDS = [2, 3, 4, 5, 6, 7, 8, 9];
/** What a bad version may get: of the requests, and besides. */
const SHARE = 0.1;
const SLACK = 50;
const ROLLBACK_MS = 5_000;

type Strategy = (typeof Play.STRATEGIES)[number];

function isWithinBounds({
  bad,
  state,
  requests,
  exposed,
  afterRollbackMs,
}: RolloutResult): boolean {
  if (!bad) return true;
  const isExposed = exposed > requests * SHARE + SLACK || afterRollbackMs > ROLLBACK_MS;
  return state === 'rolledBack' && !isExposed;
}

async function playSeeds(played: RolloutCase, { decide }: Strategy) {
  const results: RolloutResult[] = [];
  for (const seed of SEEDS) results.push(await Play.simulateRollout({ ...played, seed }, decide));
  return results;
}

async function measureStrategy(strategy: Strategy) {
  const results: RolloutResult[] = [];
  for (const played of Play.CASES) results.push(...(await playSeeds(played, strategy)));
  const bad = results.filter((result) => result.bad);
  const sound = results.filter((result) => !result.bad);
  return {
    strategy: strategy.name,
    badPlays: bad.length,
    badOutOfBounds: bad.filter((result) => !isWithinBounds(result)).length,
    soundPlays: sound.length,
    falseAlarms: sound.filter(({ falseAlarms }) => falseAlarms > 0).length,
    late: sound.filter(({ withinDuration }) => !withinDuration).length,
    cut: results.reduce((sum, { cut }) => sum + cut, 0),
  };
}

async function measureRollouts(): Promise<Output.Result> {
  const cases: RolloutResult[] = [];
  for (const played of Play.CASES) cases.push(await Play.simulateRollout(played));
  const strategies = [];
  for (const strategy of Play.STRATEGIES) strategies.push(await measureStrategy(strategy));
  return { cases, strategies };
}

Output.runBench(measureRollouts);
