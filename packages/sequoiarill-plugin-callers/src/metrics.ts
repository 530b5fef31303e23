/** Metrics of the API towards callers. */

export const REQUESTS = 'callers.requests';
export const REFUSED = 'callers.refused';
export const WASTED_TOKENS = 'callers.wastedTokens';
export const RESUMED = 'callers.resumed';

export const METRICS = [
  { name: REQUESTS, unit: 'requests', meaning: 'Requests taken up, by `route`.' },
  { name: REFUSED, unit: 'requests', meaning: 'Requests answered with an error, by `code`.' },
  {
    name: WASTED_TOKENS,
    unit: 'tokens',
    meaning: 'Output tokens of answers that were cancelled or whose caller left.',
  },
  {
    name: RESUMED,
    unit: 'requests',
    meaning: 'Streams of a response that a caller took up again.',
  },
] as const;
