/** Events 1990 to 1994: internal errors of the router at a caller's request. */
import * as Kernel from '@sequoiarill/kernel';

export const HANDLER_FAILED = Kernel.defineEvent(
  1990,
  'error',
  'request.handlerFailed',
  'A request failed with an internal error of the router; report it with its stack. The caller was answered with 502, or its answer was broken off.',
);

export const FAILURE_EVENTS = [HANDLER_FAILED];
