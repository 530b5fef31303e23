/** Events 1300 to 1399: generations and the engines that run them. */
import * as Kernel from '@sequoiarill/kernel';

export const GENERATION_LOST = Kernel.defineEvent(
  1300,
  'warn',
  'generation.lost',
  'An engine was lost during a generation; the generation continues on another engine.',
);
export const GENERATION_GIVEN_UP = Kernel.defineEvent(
  1301,
  'error',
  'generation.givenUp',
  'No engine could continue a generation; its caller received the final error immediately.',
);
export const ENGINE_BUSY = Kernel.defineEvent(
  1302,
  'info',
  'engine.busy',
  'An engine refused a generation for lack of capacity; the request goes to another engine.',
);
export const ENGINE_SILENT = Kernel.defineEvent(
  1303,
  'info',
  'engine.silent',
  'An engine is silent during a generation and no other engine can go on now; the engine is kept.',
);
