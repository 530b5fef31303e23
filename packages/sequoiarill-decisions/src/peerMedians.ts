/** What is usual among the targets of a model: medians, so that one outlier does not move them. */
import type { TargetRecord } from './targetRecord';

/** Samples before a target counts, and targets before there is a median to be judged by. */
export const MIN_FIRST_TOKENS = 5;
export const MIN_GAPS = 20;
const MIN_PEERS = 3;
/** Computed again after this time, so that a sample costs no sorting. Milliseconds. */
const MEDIAN_AGE_MS = 250;

export interface Medians {
  readonly computedAtMs: number;
  readonly firstTokenMs: number | undefined;
  readonly gapMs: number | undefined;
}

/** Answers the medians, at most `MEDIAN_AGE_MS` old. */
export function createPeerMedians(
  records: ReadonlyMap<string, TargetRecord>,
): (nowMs: number) => Medians {
  let medians: Medians | undefined;

  return function getMedians(nowMs: number): Medians {
    if (medians !== undefined && nowMs - medians.computedAtMs <= MEDIAN_AGE_MS) return medians;
    const all = [...records.values()];
    const firstTokens = all.filter((record) => record.firstTokenSamples >= MIN_FIRST_TOKENS);
    const gaps = all.filter((record) => record.gapSamples >= MIN_GAPS);
    medians = {
      computedAtMs: nowMs,
      firstTokenMs: computeMedian(firstTokens.map((record) => record.firstTokenMs)),
      gapMs: computeMedian(gaps.map((record) => record.gapMs)),
    };
    return medians;
  };
}

function computeMedian(values: readonly number[]): number | undefined {
  if (values.length < MIN_PEERS) return undefined;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}
