/** Metrics of the event loop and of the heap of this process. */

export const LOOP_IDLE_SHARE = 'process.loopIdleShare';
export const LONGEST_TURN = 'process.longestTurn';
export const LONGEST_TURN_PROCESSOR = 'process.longestTurnProcessor';
export const COLLECTIONS = 'process.collections';
export const COLLECTION_TIME = 'process.collectionTime';
export const HEAP_SHARE = 'process.heapShare';

export const METRICS = [
  {
    name: LOOP_IDLE_SHARE,
    unit: 'ratio',
    meaning: 'Share of the last five seconds in which the event loop waited for events.',
  },
  {
    name: LONGEST_TURN,
    unit: 'ms',
    meaning:
      'Longest turn of the event loop in the last five seconds, beyond 50 ms; a paused process has long turns as well.',
  },
  {
    name: LONGEST_TURN_PROCESSOR,
    unit: 'ms',
    meaning: 'Processor time in the longest turn, at most; small where the process was paused.',
  },
  { name: COLLECTIONS, unit: 'count', meaning: 'Garbage collections, by kind.' },
  {
    name: COLLECTION_TIME,
    unit: 'ms',
    meaning: 'Time that garbage collections have taken, summed up.',
  },
  {
    name: HEAP_SHARE,
    unit: 'ratio',
    meaning: 'Used part of the heap beside its limit.',
  },
] as const;
