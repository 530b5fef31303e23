/**
 * Estimates the output tokens of an organisation's requests to a model from the output of earlier ones.
 *
 * Load pattern: callers always request the maximum output and use a tenth of it. Charged for the requested
 * output, they are refused far below their limit; not charged for output, they exceed it.
 */

/** Weight of the newest output: the mean follows a change within about thirty requests. */
const OUTPUT_WEIGHT = 0.05;
/** Estimate before any output was recorded: the mean output at the scale of the design. */
const INITIAL_TOKENS = 500;
/** Enough for 6,500 organisations with three models each; the least recently updated are evicted. */
const MAX_ESTIMATES = 20_000;

export interface OutputEstimates {
  readonly getExpectedOutput: (
    organisation: string,
    model: string,
    maxOutputTokens: number,
  ) => number;
  readonly recordOutput: (organisation: string, model: string, outputTokens: number) => void;
}

export function createOutputEstimates(): OutputEstimates {
  const meanByKey = new Map<string, number>();

  function getExpectedOutput(organisation: string, model: string, maxOutputTokens: number): number {
    const mean = meanByKey.get(`${organisation}\n${model}`) ?? INITIAL_TOKENS;
    return Math.max(1, Math.min(mean, maxOutputTokens));
  }

  function recordOutput(organisation: string, model: string, outputTokens: number): void {
    const key = `${organisation}\n${model}`;
    const mean = meanByKey.get(key);
    meanByKey.delete(key);
    meanByKey.set(
      key,
      mean === undefined ? outputTokens : mean + (outputTokens - mean) * OUTPUT_WEIGHT,
    );
    if (meanByKey.size <= MAX_ESTIMATES) return;
    const oldest = meanByKey.keys().next();
    if (!oldest.done) meanByKey.delete(oldest.value);
  }

  return { getExpectedOutput, recordOutput };
}
