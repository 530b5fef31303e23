/** Log events of orders, with the numbers 1400 to 1499. */
import * as Kernel from '@sequoiarill/kernel';

export const TARGET_PASSED_OVER = Kernel.defineEvent(
  1400,
  'warn',
  'orders.targetPassedOver',
  'A connection to a service target failed, so the target is skipped for a while; check its process.',
);
export const OUTCOME_UNKNOWN = Kernel.defineEvent(
  1401,
  'warn',
  'orders.outcomeUnknown',
  'An order may have reached its target, but no complete answer arrived; the caller received the outcome "unknown".',
);
export const CLAIMS_AWAY = Kernel.defineEvent(
  1402,
  'warn',
  'orders.claimsAway',
  'A claim could not be written to the key-value service, so the order was not sent; check the platform.',
);
export const RESULT_DROPPED = Kernel.defineEvent(
  1403,
  'warn',
  'orders.resultDropped',
  'The result of a claimed order could not be stored; a repeated order gets the outcome "unknown".',
);
export const EVENTS = [TARGET_PASSED_OVER, OUTCOME_UNKNOWN, CLAIMS_AWAY, RESULT_DROPPED] as const;
