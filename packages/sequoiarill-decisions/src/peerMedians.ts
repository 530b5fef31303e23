/** Typical latencies of the targets of a model, as medians so that a single outlier doesn't affect them. */
import type { TargetRecord } from './targetRecord';

/** Minimum samples for a target to count, and minimum targets for a median to be computed. */
export const MIN_FIRST_TOKENS = 5;
export const MIN_GAPS = 20;
const MIN_PEERS = 3;
/** Medians are recomputed only after this time, so that recording a sample needs no sorting. */
const MAX_MEDIAN_AGE_MS = 250;

export interface Medians {
  readonly computedAtMs: number;
  readonly firstTokenMs: number | undefined;
  readonly gapMs: number | undefined;
}

/** Returns a function that gets the medians, at most `MAX_MEDIAN_AGE_MS` old. */
export function createPeerMedians(
  records: ReadonlyMap<string, TargetRecord>,
): (nowMs: number) => Medians {
  let medians: Medians | undefined;

  return function getMedians(nowMs: number): Medians {
    if (medians !== undefined && nowMs - medians.computedAtMs <= MAX_MEDIAN_AGE_MS) return medians;
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
