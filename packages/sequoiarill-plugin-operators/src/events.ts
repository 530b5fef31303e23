/** Events 1600 to 1699: the operators' listener. */
import * as Kernel from '@sequoiarill/kernel';

export const LISTENING = Kernel.defineEvent(
  1600,
  'info',
  'operators.listening',
  'The listener for operators is open; it serves state, explanations and readiness.',
);
export const DRAIN_REQUESTED = Kernel.defineEvent(
  1601,
  'info',
  'operators.drainRequested',
  'An operator requested this process to drain and stop.',
);
export const CALL_REFUSED = Kernel.defineEvent(
  1602,
  'warn',
  'operators.callRefused',
  'A call to the listener for operators had no valid token; check the caller and its token.',
);

export const EVENTS = [LISTENING, DRAIN_REQUESTED, CALL_REFUSED] as const;
