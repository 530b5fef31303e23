/** A configuration with engines and plain targets. */
import type { ForwardingConfiguration } from '@sequoiarill/types';

export const CONFIGURATION: ForwardingConfiguration = {
  version: 1,
  routes: [],
  services: new Map([
    [
      'engines',
      {
        name: 'engines',
        maxConnections: 100,
        healthPath: '/healthz',
        engine: {
          kvCacheTokens: 100_000,
          hasBackups: true,
          tokensPerEvent: 1,
          copyLifetimeMs: 4_000,
        },
      },
    ],
    ['orders', { name: 'orders', maxConnections: 100, healthPath: '/healthz' }],
  ]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};
