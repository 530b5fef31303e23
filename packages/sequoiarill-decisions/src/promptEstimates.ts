/**
 * Estimates the prompt length of a service and the prefill speed of its engines.
 *
 * Engines report the number of queued prompts, not their tokens. If prompts of a few dozen tokens are
 * assumed to have 8,000, two of them appear to need two seconds, and every stream that is not alone is
 * refused as long as the service has callers.
 */

export interface PromptEstimates {
  /** Records the prompt length of a request. */
  readonly recordRequest: (tokens: number) => void;
  /** Records the prefill time of a prompt that waited for no other. */
  readonly recordPrefill: (tokens: number, ms: number) => void;
  /** Records the time to the first event of a prompt that may have waited: its prefill took at most as long. */
  readonly recordUpperBound: (tokens: number, ms: number) => void;
  /** Expected length of a prompt about which nothing else is known. */
  readonly getMeanTokens: () => number;
  readonly getMsPerToken: () => number;
}

/** Assumed until it is measured: eight tokens per millisecond, the prefill speed of large engines. */
const INITIAL_MS_PER_TOKEN = 0.125;
/** Assumed until a request arrives: rather too long, so that the first prompts are spread over engines. */
const INITIAL_MEAN_TOKENS = 8_000;
/** Weight of a new sample: about the last twenty prompts count. */
const SAMPLE_WEIGHT = 0.05;
/**
 * Weight of an upper bound below the estimate. Where callers compete for room, few prompts wait for nothing, and with
 * the initial estimate streams of fast engines count as late before they are sent.
 */
const BOUND_WEIGHT = 0.5;
/** Shorter prompts are not measured: the network latency outweighs their prefill time. */
const MIN_MEASURED_TOKENS = 500;
/** Bound on a sample relative to the estimate: a slower prompt had to wait for others not yet reported. */
const MAX_SAMPLE_FACTOR = 2;

export function createPromptEstimates(): PromptEstimates {
  let msPerToken = INITIAL_MS_PER_TOKEN;
  let meanTokens: number | undefined;
  return {
    recordRequest(tokens) {
      if (tokens <= 0) return;
      meanTokens =
        meanTokens === undefined ? tokens : meanTokens + (tokens - meanTokens) * SAMPLE_WEIGHT;
    },
    recordPrefill(tokens, ms) {
      if (tokens < MIN_MEASURED_TOKENS) return;
      const measured = Math.min(ms / tokens, msPerToken * MAX_SAMPLE_FACTOR);
      msPerToken += (measured - msPerToken) * SAMPLE_WEIGHT;
    },
    recordUpperBound(tokens, ms) {
      if (tokens < MIN_MEASURED_TOKENS || ms / tokens >= msPerToken) return;
      msPerToken += (ms / tokens - msPerToken) * BOUND_WEIGHT;
    },
    getMeanTokens: () => meanTokens ?? INITIAL_MEAN_TOKENS,
    getMsPerToken: () => msPerToken,
  };
}
