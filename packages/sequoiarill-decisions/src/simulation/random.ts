/** Seeded random numbers for simulations. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

export type NextRandom = () => number;

/** Uniform in [0, 1). The same seed gives the same numbers on every machine. */
export function createRandom(seed: number): NextRandom {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Samples an exponential distribution: the time between independent events. */
export function sampleExponential(nextRandom: NextRandom, mean: number): number {
  return -Math.log(1 - nextRandom()) * mean;
}

/** Samples an index with a probability proportional to its weight. */
export function sampleWeightedIndex(nextRandom: NextRandom, weights: readonly number[]): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = nextRandom() * total;
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return index;
  }
  return weights.length - 1;
}
