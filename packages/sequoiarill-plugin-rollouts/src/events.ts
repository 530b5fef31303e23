/** Events 2000 to 2099: roll-outs of versions. */
import * as Kernel from '@sequoiarill/kernel';

export const ORDER_REFUSED = Kernel.defineEvent(
  2000,
  'error',
  'rollout.orderRefused',
  'A roll-out order cannot be read and is ignored. Correct it and write it again.',
);
export const STEP_WRITTEN = Kernel.defineEvent(
  2001,
  'info',
  'rollout.stepWritten',
  'This router wrote the next step of a roll-out. The fields sum up the reports of all routers.',
);
export const STEP_FAILED = Kernel.defineEvent(
  2002,
  'warn',
  'rollout.stepFailed',
  'A step of a roll-out was not written: the store did not answer, or another router wrote a step first.',
);
export const PHASE_SEEN = Kernel.defineEvent(
  2003,
  'info',
  'rollout.phaseSeen',
  'This process applies a new order, phase or share of a roll-out to the requests of the service.',
);
export const HALTED = Kernel.defineEvent(
  2004,
  'warn',
  'rollout.halted',
  'A version is bad and gets no more requests from this router, even before the store records it.',
);
export const REPORT_FAILED = Kernel.defineEvent(
  2005,
  'info',
  'rollout.reportFailed',
  'The router that evaluates a roll-out did not accept a report. The next router in rank order is used.',
);

export const EVENTS = [ORDER_REFUSED, STEP_WRITTEN, STEP_FAILED, PHASE_SEEN, HALTED, REPORT_FAILED];
