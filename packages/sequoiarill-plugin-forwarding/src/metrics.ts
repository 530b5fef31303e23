/** Metrics of the plug-in `forwarding`. */

export const REQUESTS = 'forwarding.requests';
export const ANSWER = 'forwarding.answer';
export const FIRST_EVENT = 'forwarding.firstEvent';
export const PAUSE = 'forwarding.longestPause';
export const CONTINUED = 'forwarding.continued';
export const COPIES = 'forwarding.copies';
export const REPEATED = 'forwarding.repeated';

export const METRICS = [
  { name: REQUESTS, unit: 'count', meaning: 'Requests ended, by route and outcome.' },
  { name: ANSWER, unit: 'ms', meaning: 'Arrival of a request until its whole answer, by route.' },
  {
    name: FIRST_EVENT,
    unit: 'ms',
    meaning: 'Arrival until the first event of a stream, by route.',
  },
  {
    name: PAUSE,
    unit: 'ms',
    meaning: 'Longest pause between two events of a stream, by route.',
  },
  { name: CONTINUED, unit: 'count', meaning: 'Streams that went to another target, by cause.' },
  {
    name: COPIES,
    unit: 'count',
    meaning: "Copies of a run's memory that were ordered after their keeper was lost, by outcome.",
  },
  { name: REPEATED, unit: 'count', meaning: 'Requests sent to a further target.' },
] as const;
