/** Events 1200 to 1299: the API towards callers. */
import * as Kernel from '@sequoiarill/kernel';

export const LISTENING = Kernel.defineEvent(
  1200,
  'info',
  'callers.listening',
  'The API accepts connections of callers.',
);
export const DRAINED = Kernel.defineEvent(
  1201,
  'info',
  'callers.drained',
  'No request of a caller is in progress any more.',
);
export const STREAM_LOST = Kernel.defineEvent(
  1202,
  'warn',
  'callers.streamLost',
  'An answer ended early and its caller was told so; `explain` the request for the cause.',
);
export const ANSWER_ABANDONED = Kernel.defineEvent(
  1203,
  'info',
  'callers.answerAbandoned',
  'The caller left and did not come back; the generation was cancelled.',
);
export const HANDLER_FAILED = Kernel.defineEvent(
  1204,
  'error',
  'callers.handlerFailed',
  'A request met a fault of the program and was answered 500; report it with its stack.',
);
export const EVENTS = [LISTENING, DRAINED, STREAM_LOST, ANSWER_ABANDONED, HANDLER_FAILED] as const;
