/** Names and descriptions of the metrics of orders. */

export const OUTCOMES = 'orders.outcomes';
export const DURATION = 'orders.duration';
export const RETRIES = 'orders.retries';
export const CLAIM_CALLS = 'orders.claimCalls';
export const CLAIMS = 'orders.claims';

export const METRICS = [
  { name: OUTCOMES, unit: 'orders', meaning: 'Completed orders, by `outcome` and `service`.' },
  { name: DURATION, unit: 'ms', meaning: 'Time from receiving an order to its outcome.' },
  { name: RETRIES, unit: 'orders', meaning: 'Second and later attempts of an order.' },
  {
    name: CLAIM_CALLS,
    unit: 'calls',
    meaning: 'Transactions with claims or results sent to the platform.',
  },
  { name: CLAIMS, unit: 'orders', meaning: 'Orders claimed before they were sent, by `result`.' },
] as const;
