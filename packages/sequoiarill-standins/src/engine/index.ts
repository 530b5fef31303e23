/** Stand-in for a model engine. */
export * from './engine';
export type { EngineCounters } from './counters';
export type { EngineLoad } from './core';
export type { EngineFault } from './faults';
export * from './settings';
export * from './template';
export * from './vocabulary';
