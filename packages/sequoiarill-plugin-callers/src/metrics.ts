/** Metrics of the callers' API. */

export const REQUESTS = 'callers.requests';
export const REFUSED = 'callers.refused';
export const WASTED_TOKENS = 'callers.wastedTokens';
export const RESUMED = 'callers.resumed';

export const METRICS = [
  { name: REQUESTS, unit: 'requests', meaning: 'Requests accepted, by `route`.' },
  { name: REFUSED, unit: 'requests', meaning: 'Requests answered with an error, by `code`.' },
  {
    name: WASTED_TOKENS,
    unit: 'tokens',
    meaning: 'Output tokens of answers that were cancelled or whose caller disconnected.',
  },
  {
    name: RESUMED,
    unit: 'requests',
    meaning: 'Response streams that a caller resumed.',
  },
] as const;
