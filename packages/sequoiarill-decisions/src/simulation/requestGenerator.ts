/** The requests of a pattern: when they come, from whom, how long they are. */
import type { Workload } from './workloads';
import { ROUTERS } from './workloads';
import * as Random from './random';

export interface PlayRequest {
  readonly organisation: string;
  readonly weight: number;
  readonly router: number;
  readonly arrivedMs: number;
  readonly promptTokens: number;
  readonly sharedTokens: number;
  readonly prefixKey: string;
  readonly outputTokens: number;
}

/** Tokens: 500 a request at 7% long ones, as at the size to design for. */
const SHORT_OUTPUT = 350;
const LONG_OUTPUT = 2_500;
const MIN_OUTPUT = 16;
const SHARED_TOKENS = 600;
const OWN_TOKENS = 300;

export function computeMeanOutput(longShare: number): number {
  return longShare * LONG_OUTPUT + (1 - longShare) * SHORT_OUTPUT;
}

function pickOutput(nextRandom: Random.NextRandom, longShare: number): number {
  if (nextRandom() < longShare) return LONG_OUTPUT * (0.5 + nextRandom());
  return Math.max(MIN_OUTPUT, SHORT_OUTPUT * 2 * nextRandom());
}

/** Prefix n is used 1/n as often as the first: the usual skew of prompts. */
function listPrefixWeights(count: number): readonly number[] {
  return Array.from({ length: count }, (_value, index) => 1 / (index + 1));
}

/** `requestsPerSecond` at a load of 1. Generated as asked for, in order of arrival. */
export function* createRequests(
  pattern: Workload,
  requestsPerSecond: number,
): Generator<PlayRequest, void, void> {
  const nextRandom = Random.createRandom(pattern.seed);
  const demands = pattern.organisations.map((organisation) => organisation.demand);
  const prefixWeights = listPrefixWeights(pattern.prefixes);
  let nowMs = 0;
  while (nowMs < pattern.endMs) {
    const perMs = (requestsPerSecond * pattern.getLoad(nowMs)) / 1000;
    nowMs += Random.sampleExponential(nextRandom, 1 / perMs);
    const organisation = pattern.organisations[Random.sampleWeightedIndex(nextRandom, demands)];
    if (organisation !== undefined) {
      yield {
        organisation: organisation.name,
        weight: organisation.weight,
        router: Math.floor(nextRandom() * ROUTERS),
        arrivedMs: nowMs,
        promptTokens: SHARED_TOKENS + Math.ceil(OWN_TOKENS * 2 * nextRandom()),
        sharedTokens: SHARED_TOKENS,
        prefixKey: `prefix-${Random.sampleWeightedIndex(nextRandom, prefixWeights)}`,
        outputTokens: Math.ceil(pickOutput(nextRandom, pattern.longShare)),
      };
    }
  }
}
