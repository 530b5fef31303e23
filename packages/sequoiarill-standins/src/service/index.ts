/** Stand-in for a plain service. */
export * from './service';
export type { ServiceFault } from './faults';
export type { ServiceAnswer, ServiceCounters } from './runs';
export * from './settings';
