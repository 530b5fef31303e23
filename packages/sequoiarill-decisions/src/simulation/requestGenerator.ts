/** Generates the requests of a workload: arrival times, organisations and lengths. */
import * as Random from './random';
import type { Workload } from './workloads';
import { ROUTER_COUNT } from './workloads';

export interface SimulatedRequest {
  readonly organisation: string;
  readonly weight: number;
  readonly router: number;
  readonly arrivedMs: number;
  readonly promptTokens: number;
  readonly sharedTokens: number;
  readonly prefixKey: string;
  readonly outputTokens: number;
}

/** Means. With 7% long requests they give 500 tokens a request, as the system is designed for. */
const SHORT_OUTPUT_TOKENS = 350;
const LONG_OUTPUT_TOKENS = 2_500;
const MIN_OUTPUT_TOKENS = 16;
const SHARED_PROMPT_TOKENS = 600;
const UNIQUE_PROMPT_TOKENS = 300;

export function computeMeanOutputTokens(longOutputShare: number): number {
  return longOutputShare * LONG_OUTPUT_TOKENS + (1 - longOutputShare) * SHORT_OUTPUT_TOKENS;
}

function sampleOutputTokens(nextRandom: Random.NextRandom, longOutputShare: number): number {
  if (nextRandom() < longOutputShare) return LONG_OUTPUT_TOKENS * (0.5 + nextRandom());
  return Math.max(MIN_OUTPUT_TOKENS, SHORT_OUTPUT_TOKENS * 2 * nextRandom());
}

/** Zipf distribution, the usual skew of prompts: prefix n is used 1/n as often as the first. */
function listPrefixWeights(count: number): readonly number[] {
  return Array.from({ length: count }, (_value, index) => 1 / (index + 1));
}

/** Yields requests lazily, in order of arrival. `requestsPerSecond` is the rate at a load of 1. */
export function* createRequests(
  workload: Workload,
  requestsPerSecond: number,
): Generator<SimulatedRequest, void, void> {
  const nextRandom = Random.createRandom(workload.seed);
  const demands = workload.organisations.map((organisation) => organisation.demand);
  const prefixWeights = listPrefixWeights(workload.prefixCount);
  let nowMs = 0;
  while (nowMs < workload.endMs) {
    const perMs = (requestsPerSecond * workload.getLoad(nowMs)) / 1000;
    nowMs += Random.sampleExponential(nextRandom, 1 / perMs);
    const organisation = workload.organisations[Random.sampleWeightedIndex(nextRandom, demands)];
    if (organisation !== undefined) {
      yield {
        organisation: organisation.name,
        weight: organisation.weight,
        router: Math.floor(nextRandom() * ROUTER_COUNT),
        arrivedMs: nowMs,
        promptTokens: SHARED_PROMPT_TOKENS + Math.ceil(UNIQUE_PROMPT_TOKENS * 2 * nextRandom()),
        sharedTokens: SHARED_PROMPT_TOKENS,
        prefixKey: `prefix-${Random.sampleWeightedIndex(nextRandom, prefixWeights)}`,
        outputTokens: Math.ceil(sampleOutputTokens(nextRandom, workload.longOutputShare)),
      };
    }
  }
}
