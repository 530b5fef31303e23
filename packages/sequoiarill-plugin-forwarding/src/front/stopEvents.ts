/** Events 1904 to 1909: requests that a planned stop ends. */
import * as Kernel from '@sequoiarill/kernel';

export const ENDED_BY_STOP = Kernel.defineEvent(
  1904,
  'warn',
  'request.endedByStop',
  'A planned stop ended a request: `status` is what its caller was told, absent where an answer that had begun was closed. `stage` is where it was (reading, waiting, target, router, answering), `target` the last target or router that it was sent to; `mayHaveRun` is false only where it has not run. `arrivedMs` is when it came, from the start of the stop (negative: before it), `events` how many events were passed on, `lastEventAgeMs` the age of the last one (an engine at work makes one every few ms), `hasOpenCall` is false where the stream was between two targets, `unsentBytes` is what its caller had not taken.',
);
export const STOP_EVENTS = [ENDED_BY_STOP];
