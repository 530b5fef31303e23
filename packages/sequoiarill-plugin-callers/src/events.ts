/** Events 1200 to 1299: the callers' API. */
import * as Kernel from '@sequoiarill/kernel';

export const LISTENING = Kernel.defineEvent(
  1200,
  'info',
  'callers.listening',
  'The API accepts connections from callers.',
);
export const DRAINED = Kernel.defineEvent(
  1201,
  'info',
  'callers.drained',
  'All requests of callers have ended.',
);
export const STREAM_LOST = Kernel.defineEvent(
  1202,
  'warn',
  'callers.streamLost',
  'An answer ended early, and its caller received an error; `explain` the request for the cause.',
);
export const ANSWER_ABANDONED = Kernel.defineEvent(
  1203,
  'info',
  'callers.answerAbandoned',
  'The caller disconnected and did not reconnect; the generation was cancelled.',
);
export const HANDLER_FAILED = Kernel.defineEvent(
  1204,
  'error',
  'callers.handlerFailed',
  'A request failed with an internal error; report it with its stack.',
);
export const ENDED_BY_STOP = Kernel.defineEvent(
  1205,
  'warn',
  'callers.endedByStop',
  'The drain limit passed while a request was open; `status` is what its caller was told, absent where its stream ended with an error event.',
);
export const EVENTS = [
  LISTENING,
  DRAINED,
  STREAM_LOST,
  ANSWER_ABANDONED,
  HANDLER_FAILED,
  ENDED_BY_STOP,
] as const;
