/** Platform stand-in. */
export * from './platform';
export type { PlatformCounters } from './counters';
export type { PlatformFault } from './faults';
export * from './settings';
