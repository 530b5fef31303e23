/** Metrics of the plug-in `membership`. */

export const EXCHANGES = 'membership.exchanges';
export const EXCHANGES_FAILED = 'membership.exchangesFailed';
export const CALLS_REFUSED = 'membership.callsRefused';
export const PEERS_ALIVE = 'membership.peersAlive';
export const PAUSE = 'membership.pause';

export const METRICS = [
  { name: EXCHANGES, unit: 'exchanges', meaning: 'Completed exchanges with other routers.' },
  { name: EXCHANGES_FAILED, unit: 'exchanges', meaning: 'Exchanges that failed.' },
  {
    name: CALLS_REFUSED,
    unit: 'calls',
    meaning: 'Calls that the listener for other routers refused.',
  },
  { name: PEERS_ALIVE, unit: 'routers', meaning: 'Routers known to be alive, this one included.' },
  { name: PAUSE, unit: 'ms', meaning: 'Duration of pauses of this process.' },
] as const;
