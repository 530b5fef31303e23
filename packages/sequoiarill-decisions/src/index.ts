/** Decisions under load: pure, without network or clock. */
export * from './admission';
export type * from './admissionTypes';
export * from './concurrencyLimit';
export * from './continuationPacer';
export * from './enginePlacement';
export * from './cost';
export * from './retryBudget';
export * from './stallPolicy';
export * from './targetChooser';
export type * from './targets';
export * from './fleetRepeats';
export * from './fleetShares';
export * from './lossSuspicion';
export { sortByRank } from './names';
export * from './openTargets';
export * from './outlierDetector';
export type * from './outlierTypes';
export * from './targetSet';
