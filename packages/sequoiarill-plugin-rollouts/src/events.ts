/** Events 2000 to 2099: roll-outs of versions. */
import * as Kernel from '@sequoiarill/kernel';

export const ORDER_REFUSED = Kernel.defineEvent(
  2000,
  'error',
  'rollout.orderRefused',
  'An order to move a service to another version cannot be read and changes nothing. Correct it and write it again.',
);
export const STEP_WRITTEN = Kernel.defineEvent(
  2001,
  'info',
  'rollout.stepWritten',
  'This router moved a roll-out on; the line names what all routers saw of both versions.',
);
export const STEP_FAILED = Kernel.defineEvent(
  2002,
  'warn',
  'rollout.stepFailed',
  'A step of a roll-out was not written: the store did not answer, or another router was first.',
);
export const PHASE_SEEN = Kernel.defineEvent(
  2003,
  'info',
  'rollout.phaseSeen',
  'Requests of a service go to other versions from now on in this process.',
);
export const HALTED = Kernel.defineEvent(
  2004,
  'warn',
  'rollout.halted',
  'A version is bad and gets no more requests of this router, also before the store says so.',
);
export const REPORT_FAILED = Kernel.defineEvent(
  2005,
  'info',
  'rollout.reportFailed',
  'The router that judges a roll-out did not answer; the next one in rank is asked.',
);

export const EVENTS = [ORDER_REFUSED, STEP_WRITTEN, STEP_FAILED, PHASE_SEEN, HALTED, REPORT_FAILED];
