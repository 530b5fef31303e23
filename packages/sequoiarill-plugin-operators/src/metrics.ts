/** Metrics of the plug-in `operators`. */

export const CALLS = 'operators.calls';
export const CALLS_REFUSED = 'operators.callsRefused';

export const METRICS = [
  { name: CALLS, unit: 'calls', meaning: 'Calls to the listener for operators.' },
  { name: CALLS_REFUSED, unit: 'calls', meaning: 'Calls without a valid token.' },
] as const;
