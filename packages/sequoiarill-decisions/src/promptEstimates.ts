/**
 * How long the prompts of a service are, and how fast its engines read them.
 *
 * Reports of engines count prompts, not tokens. Taken for 8,000 tokens each where they have some tens,
 * two prompts seem to need two seconds: every stream that was not alone was refused for as long as the
 * service had callers.
 */

export interface PromptEstimates {
  /** A request came with a prompt of so many tokens. */
  readonly recordRequest: (tokens: number) => void;
  /** A prompt that waited for no other was read in this time. */
  readonly recordPrefill: (tokens: number, ms: number) => void;
  /** Tokens of a prompt of which nothing else is known. */
  readonly getMeanTokens: () => number;
  readonly getMsPerToken: () => number;
}

/** Until some were measured: eight tokens in a millisecond, as large engines read. */
const INITIAL_MS_PER_TOKEN = 0.125;
/** Until a request came: long rather than short, so that the first prompts are spread. */
const INITIAL_TOKENS = 8_000;
/** The last twenty prompts count. */
const GAIN = 0.05;
/** Short prompts tell more of the way there than of reading. */
const MIN_TOKENS = 500;
/** One prompt counts as at most so many times the known time: it met others that no report told of. */
const MAX_FACTOR = 2;

export function createPromptEstimates(): PromptEstimates {
  let msPerToken = INITIAL_MS_PER_TOKEN;
  let usualTokens: number | undefined;
  return {
    recordRequest(tokens) {
      if (tokens <= 0) return;
      usualTokens =
        usualTokens === undefined ? tokens : usualTokens + (tokens - usualTokens) * GAIN;
    },
    recordPrefill(tokens, ms) {
      if (tokens < MIN_TOKENS) return;
      const measured = Math.min(ms / tokens, msPerToken * MAX_FACTOR);
      msPerToken += (measured - msPerToken) * GAIN;
    },
    getMeanTokens: () => usualTokens ?? INITIAL_TOKENS,
    getMsPerToken: () => msPerToken,
  };
}
