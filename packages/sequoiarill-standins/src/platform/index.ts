/** Stand-in for the platform's key-value service. */
export * from './platform';
export type { PlatformCounters } from './counters';
export type { PlatformFault } from './faults';
export * from './settings';
