/** Events 1980 to 1989: bytes held for slow callers, and long answers that are passed on as they arrive. */
import * as Kernel from '@sequoiarill/kernel';

export const CALLER_CUT = Kernel.defineEvent(
  1980,
  'warn',
  'caller.cut',
  'Too many bytes are held for slow callers: the connection of the slowest reader was reset, or the slowest sender was refused with 503. `idleMs` is the time for which it took or sent nothing.',
);
export const CALLERS_PAUSED = Kernel.defineEvent(
  1981,
  'info',
  'callers.paused',
  'The bytes held for slow callers rose above 0.8 of their budget, and nothing is read ahead for them, or fell below it again (`isPaused` is false).',
);
export const ANSWER_BROKEN = Kernel.defineEvent(
  1982,
  'error',
  'answer.broken',
  'A target broke off a long answer that was being passed on as it arrived; the connection of its caller was reset.',
);
export const ANSWER_UNREAD = Kernel.defineEvent(
  1983,
  'info',
  'answer.unread',
  'A target broke off a long answer that its caller had left unread for a second or more; the connection of the caller was reset, and nothing is counted against the target.',
);

export const HELD_EVENTS = [CALLER_CUT, CALLERS_PAUSED, ANSWER_BROKEN, ANSWER_UNREAD];
