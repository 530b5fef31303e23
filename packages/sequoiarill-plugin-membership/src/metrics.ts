/** Metrics of the plug-in `membership`. */

export const EXCHANGES = 'membership.exchanges';
export const EXCHANGES_FAILED = 'membership.exchangesFailed';
export const CALLS_REFUSED = 'membership.callsRefused';
export const PEERS_ALIVE = 'membership.peersAlive';
export const PAUSE = 'membership.pause';

export const METRICS = [
  { name: EXCHANGES, unit: 'exchanges', meaning: 'Exchanges with other routers that were done.' },
  { name: EXCHANGES_FAILED, unit: 'exchanges', meaning: 'Exchanges that got no answer.' },
  { name: CALLS_REFUSED, unit: 'calls', meaning: 'Calls to the peer listener that were refused.' },
  { name: PEERS_ALIVE, unit: 'routers', meaning: 'Routers known to be alive, this one included.' },
  { name: PAUSE, unit: 'ms', meaning: 'Times in which this process did nothing.' },
] as const;
