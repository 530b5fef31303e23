/** Stand-ins for the users' platform: its store and its targets, with injectable faults. */
export { createLargeBody } from './largeAnswers';
export type { Silence } from '../shared/silence';
export * from './documents';
export * from './endlessAnswers';
export { formatLargeEvent, PAUSE_PHASES } from './pausedAnswers';
export type { PausePhase } from './pausedAnswers';
export * from './storeStandin';
export * from './targetStandin';
export * from './targetTypes';
export * from './queueingEngine';
export * from './streamEvents';
