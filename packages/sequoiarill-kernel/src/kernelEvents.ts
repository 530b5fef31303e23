/** Events 1000 to 1099: life cycle of a process. */
import * as Events from './events';

export const PROCESS_READY = Events.defineEvent(
  1000,
  'info',
  'process.ready',
  'Every plug-in has started; the process takes work.',
);
export const PROCESS_DRAINING = Events.defineEvent(
  1001,
  'info',
  'process.draining',
  'The process takes no new work and waits for the work in progress.',
);
export const PROCESS_STOPPED = Events.defineEvent(
  1002,
  'info',
  'process.stopped',
  'Every plug-in has stopped; the process ends.',
);
