/** Events 1904 to 1909: requests that a planned stop ends. */
import * as Kernel from '@sequoiarill/kernel';

export const ENDED_BY_STOP = Kernel.defineEvent(
  1904,
  'warn',
  'request.endedByStop',
  'A planned stop ended a request: `status` is what its caller was told, absent where an answer that had begun was closed. `stage` is where it was (reading, waiting, target, router, answering), `target` the last target or router that it was sent to; `mayHaveRun` is false only where it has not run.',
);
export const STOP_EVENTS = [ENDED_BY_STOP];
