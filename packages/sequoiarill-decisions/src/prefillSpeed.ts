/** How fast the engines of a service read prompts, from first events that waited for no other prompt. */

export interface PrefillSpeed {
  readonly recordPrompt: (tokens: number, ms: number) => void;
  /** Milliseconds for one token. */
  readonly getMsPerToken: () => number;
}

/** Until some were measured: engines of the sizes served read 6 to 10 tokens in a millisecond. */
const INITIAL_MS_PER_TOKEN = 0.125;
/** The last twenty prompts count. */
const GAIN = 0.05;
/** Short prompts tell more of the way there than of reading. */
const MIN_TOKENS = 500;
/** One prompt counts as at most so many times the known time: it met others that no report told of. */
const MAX_FACTOR = 2;

export function createPrefillSpeed(): PrefillSpeed {
  let msPerToken = INITIAL_MS_PER_TOKEN;
  return {
    recordPrompt(tokens, ms) {
      if (tokens < MIN_TOKENS) return;
      const measured = Math.min(ms / tokens, msPerToken * MAX_FACTOR);
      msPerToken += (measured - msPerToken) * GAIN;
    },
    getMsPerToken: () => msPerToken,
  };
}
