/** Events 1300 to 1399: generations and the engines that run them. */
import * as Kernel from '@sequoiarill/kernel';

export const GENERATION_LOST = Kernel.defineEvent(
  1300,
  'warn',
  'generation.lost',
  'An engine was lost in the middle of a generation; another one goes on with it.',
);
export const GENERATION_GIVEN_UP = Kernel.defineEvent(
  1301,
  'error',
  'generation.givenUp',
  'No engine could go on with a generation; its caller was told at once.',
);
export const ENGINE_BUSY = Kernel.defineEvent(
  1302,
  'info',
  'engine.busy',
  'An engine refused a generation because it is full; another one was asked.',
);
