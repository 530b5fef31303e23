/** Events 1400 to 1499: orders to plain services. */
import * as Kernel from '@sequoiarill/kernel';

export const TARGET_PASSED_OVER = Kernel.defineEvent(
  1400,
  'warn',
  'orders.targetPassedOver',
  'A service target took no connection and gets no order for a moment; check its process.',
);
export const OUTCOME_UNKNOWN = Kernel.defineEvent(
  1401,
  'warn',
  'orders.outcomeUnknown',
  'An order may have reached its target and no answer came; the caller was told so.',
);
export const CLAIMS_AWAY = Kernel.defineEvent(
  1402,
  'warn',
  'orders.claimsAway',
  'The key-value service took no claim, so an order was not sent; check the platform.',
);
export const RESULT_DROPPED = Kernel.defineEvent(
  1403,
  'warn',
  'orders.resultDropped',
  'The result of a claimed order could not be kept; a repeat of it is answered "unknown".',
);
export const EVENTS = [TARGET_PASSED_OVER, OUTCOME_UNKNOWN, CLAIMS_AWAY, RESULT_DROPPED] as const;
