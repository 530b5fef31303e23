/**
 * Measures how long a caller's stream pauses after its engine is killed, which tokens are lost or
 * repeated, and how many are recomputed. Uses real processes and SIGKILL.
 */
import * as Testing from '@sequoiarill/testing';
import * as PureRand from 'pure-rand/generator/xoroshiro128plus';
import * as UniformFloat from 'pure-rand/distribution/uniformFloat64';

import * as Outputs from './output';
import * as EngineKills from './resume/engineKills';

const KILLS = 100;
const ENGINES = 4;
const STREAMS = 8;
const MAX_TOKENS = 120;
const STEP_MS = 8;
const KILL_AFTER = [10, 80] as const;
const SEED = 20_261_202;

function computePercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}

async function measureResume(): Promise<Outputs.Result> {
  const generator = PureRand.xoroshiro128plus(SEED);
  const fleet = await Testing.startFleet({
    engines: ENGINES,
    engineSettings: { stepMs: STEP_MS, eosProbability: 0 },
  });
  try {
    const result = await EngineKills.runKills(fleet, {
      kills: KILLS,
      streams: STREAMS,
      maxTokens: MAX_TOKENS,
      killAfter: KILL_AFTER,
      nextRandom: () => UniformFloat.uniformFloat64(generator),
    });
    const { resumesMs, ...counts } = result;
    return {
      ...counts,
      stepMs: STEP_MS,
      resumeMsP50: Outputs.computeRounded(computePercentile(resumesMs, 0.5)),
      resumeMsP99: Outputs.computeRounded(computePercentile(resumesMs, 0.99)),
    };
  } finally {
    await fleet.stop();
  }
}

Outputs.runBench(measureResume);
