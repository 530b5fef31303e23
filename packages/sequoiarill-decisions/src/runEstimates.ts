/** Estimates how long the runs of a service are, in tokens of output and in time. */

export interface RunSample {
  readonly outputTokens: number;
  /** From the first event to the last one. */
  readonly ms: number;
}

export interface RunEstimates {
  /** Records a run that was complete and did not begin elsewhere. */
  readonly recordRun: (sample: RunSample) => void;
  readonly getMeanOutputTokens: () => number;
  readonly getMeanRunMs: () => number;
}

/** Assumed until a run has ended. */
const INITIAL_OUTPUT_TOKENS = 500;
const INITIAL_RUN_MS = 4_000;
/** About the last twenty runs count. */
const SAMPLE_WEIGHT = 0.05;

export function createRunEstimates(): RunEstimates {
  let outputTokens: number | undefined;
  let runMs: number | undefined;

  function computeMean(mean: number | undefined, sample: number): number | undefined {
    if (!Number.isFinite(sample) || sample < 0) return mean;
    return mean === undefined ? sample : mean + (sample - mean) * SAMPLE_WEIGHT;
  }

  return {
    recordRun(sample) {
      outputTokens = computeMean(outputTokens, sample.outputTokens);
      runMs = computeMean(runMs, sample.ms);
    },
    getMeanOutputTokens: () => outputTokens ?? INITIAL_OUTPUT_TOKENS,
    getMeanRunMs: () => runMs ?? INITIAL_RUN_MS,
  };
}
