/**
 * Expected output of an organisation's requests to a model, learned from what they gave.
 *
 * Load pattern: callers that always ask for the largest output and use a tenth of it. Charged by what
 * they ask for, they are refused far below their limit; charged nothing, they overrun it.
 */

/** Weight of the newest output: some thirty requests to follow a change of habit. */
const WEIGHT = 0.05;
/** First guess where nothing is known, in tokens: the mean at the size to design for. */
const INITIAL_TOKENS = 500;
/** 6,500 organisations with three models each; the least recently used are forgotten first. */
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
    meanByKey.set(key, mean === undefined ? outputTokens : mean + (outputTokens - mean) * WEIGHT);
    if (meanByKey.size <= MAX_ESTIMATES) return;
    const oldest = meanByKey.keys().next();
    if (!oldest.done) meanByKey.delete(oldest.value);
  }

  return { getExpectedOutput, recordOutput };
}
