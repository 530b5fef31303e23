/** Metrics of the plug-in `forwarding`. */

export const REQUESTS = 'forwarding.requests';
export const ENDED_BY_STOP = 'forwarding.endedByStop';
export const ANSWER = 'forwarding.answer';
export const FIRST_EVENT = 'forwarding.firstEvent';
export const PAUSE = 'forwarding.longestPause';
export const SILENCES = 'forwarding.silences';
export const SILENCE = 'forwarding.silence';
export const EXCESS = 'forwarding.targetExcess';
export const CONTINUED = 'forwarding.continued';
export const COPIES = 'forwarding.copies';
export const REPEATED = 'forwarding.repeated';
export const REPEATS = 'forwarding.repeats';
export const LEAVING = 'forwarding.targetsLeaving';
export const RESTS = 'forwarding.rests';
export const RELAYED = 'forwarding.relayed';
export const RELAYED_HERE = 'forwarding.relayedHere';
export const ORIGINS = 'forwarding.origins';
export const RANKS = 'forwarding.ranks';
export const WAITED = 'forwarding.waitedForRoom';
export const ROOM_REFUSED = 'forwarding.roomRefused';
export const PREEMPTING = 'forwarding.preempting';
export const PART_REFUSED = 'forwarding.partRefused';
export const PART_INQUIRY = 'forwarding.partInquiry';
export const PART_BEGUN = 'forwarding.partBegun';
export const RUN_ENDS = 'forwarding.runEnds';

export const HELD_BYTES = 'forwarding.heldBytes';
export const HELD_PAUSED = 'forwarding.heldPaused';
export const HELD_CUT = 'forwarding.heldCut';
export const HELD_REFUSED = 'forwarding.heldRefused';

export const METRICS = [
  { name: REQUESTS, unit: 'count', meaning: 'Requests ended, by route and outcome.' },
  {
    name: ENDED_BY_STOP,
    unit: 'count',
    meaning:
      'Requests ended by a planned stop, by what their callers were told (a status, or closed).',
  },
  {
    name: ANSWER,
    unit: 'ms',
    meaning: 'Time from arrival of a request to its complete answer, by route.',
  },
  {
    name: FIRST_EVENT,
    unit: 'ms',
    meaning: 'Time from arrival of a request to the first event of its stream, by route.',
  },
  {
    name: PAUSE,
    unit: 'ms',
    meaning: 'Longest pause between two consecutive events of a stream, by route.',
  },
  {
    name: SILENCES,
    unit: 'count',
    meaning:
      'Silences of targets that ran a request, by contact (answers, accepts, refuses, unreachable) and end (spoke, continued elsewhere, closed, expired, callerLeft).',
  },
  {
    name: SILENCE,
    unit: 'ms',
    meaning: 'Time for which a target that ran a request was silent, by contact and end.',
  },
  {
    name: EXCESS,
    unit: 'count',
    meaning: 'Calls cut because the target sent more than an answer has, by phase.',
  },
  {
    name: CONTINUED,
    unit: 'count',
    meaning:
      'Streams continued on another target, by service and cause (lost, notRun: rejected, notSent, whole: a server error).',
  },
  {
    name: COPIES,
    unit: 'count',
    meaning:
      'Copies of a KV cache that were commanded to replace an earlier copy during a run, by outcome.',
  },
  {
    name: REPEATED,
    unit: 'count',
    meaning:
      'Retries of plain requests on another target, by service and cause (lost, notRun: rejected, notSent, whole: a server error).',
  },
  {
    name: REPEATS,
    unit: 'count',
    meaning:
      'Retries taken from the retry budget and returned to it, by service and change (taken, returned). Deliveries beyond the first of each request are at most the difference.',
  },
  {
    name: LEAVING,
    unit: 'count',
    meaning:
      'Targets that said in an answer or a load report that they leave, before their entry did.',
  },
  {
    name: RESTS,
    unit: 'count',
    meaning: 'Answers of targets that asked this router for rest.',
  },
  {
    name: RELAYED,
    unit: 'count',
    meaning: 'Requests sent through another router, by what came of it.',
  },
  {
    name: RELAYED_HERE,
    unit: 'count',
    meaning: "Requests of other routers' callers that this router was sent.",
  },
  {
    name: PART_REFUSED,
    unit: 'count',
    meaning: 'Requests refused because of a blocked part of their prompts, by part.',
  },
  {
    name: PART_INQUIRY,
    unit: 'ms',
    meaning:
      'Time from the crash that was enough to suspect a part of prompts to the decision about it, by outcome (blocked, cleared, known).',
  },
  {
    name: PART_BEGUN,
    unit: 'count',
    meaning:
      'Requests that a target has begun to answer although a part of their prompts is blocked.',
  },
  {
    name: RUN_ENDS,
    unit: 'count',
    meaning:
      'Runs without a complete answer, by what was decided about their target (ended, replaced, removed, silent, alive, unreachable, brittle, late), and whether a crash is counted.',
  },
  {
    name: ORIGINS,
    unit: 'count',
    meaning: 'Streams that callers resumed, by who knew which software version began them.',
  },
  {
    name: RANKS,
    unit: 'count',
    meaning: 'Sends of streams to engines, by the rank in their queues.',
  },
  {
    name: WAITED,
    unit: 'ms',
    meaning:
      'Time for which a stream waited in the router for room at an engine, by level and outcome.',
  },
  {
    name: ROOM_REFUSED,
    unit: 'count',
    meaning:
      'Streams refused instead of waiting for room at an engine, or after that, by cause and level.',
  },
  {
    name: PREEMPTING,
    unit: 'count',
    meaning:
      'Streams of the most urgent level sent to an engine whose KV cache has no room for them, so that it may preempt a run.',
  },
  {
    name: HELD_BYTES,
    unit: 'bytes',
    meaning: 'Bytes held for callers and targets that read or send slowly.',
  },
  {
    name: HELD_PAUSED,
    unit: 'count',
    meaning: 'Callers for which nothing is read ahead because too many bytes are held, by kind.',
  },
  {
    name: HELD_CUT,
    unit: 'count',
    meaning: 'Callers cut off because too many bytes were held, by kind.',
  },
  {
    name: HELD_REFUSED,
    unit: 'count',
    meaning: 'Requests with large bodies that were refused because too many bytes were held.',
  },
] as const;
