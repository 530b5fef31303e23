/** Metrics of orders. */

export const OUTCOMES = 'orders.outcomes';
export const DURATION = 'orders.duration';
export const RETRIES = 'orders.retries';
export const CLAIM_CALLS = 'orders.claimCalls';
export const CLAIMS = 'orders.claims';

export const METRICS = [
  { name: OUTCOMES, unit: 'orders', meaning: 'Orders ended, by `outcome` and `service`.' },
  { name: DURATION, unit: 'ms', meaning: 'From taking up an order to its outcome.' },
  { name: RETRIES, unit: 'orders', meaning: 'Second and later sendings of an order.' },
  { name: CLAIM_CALLS, unit: 'calls', meaning: 'Transactions of claims sent to the platform.' },
  { name: CLAIMS, unit: 'orders', meaning: 'Orders claimed before sending, by `result`.' },
] as const;
