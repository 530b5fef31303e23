/** Events 1922 and 1947: the retry budgets of services. */
import * as Kernel from '@sequoiarill/kernel';

export const REPEATS_BORROWED = Kernel.defineEvent(
  1922,
  'info',
  'repeats.borrowed',
  "This router's share of the retry quota was used up; it requested unused quota from other routers.",
);
export const REPEATS_COUNTED = Kernel.defineEvent(
  1947,
  'info',
  'repeats.counted',
  'Retries of a service that this router has counted in its window; logged about ten times a window while some are taken. Compare the sum over all routers with the arrivals at targets beyond the first of each request.',
);

export const REPEAT_EVENTS = [REPEATS_BORROWED, REPEATS_COUNTED];
