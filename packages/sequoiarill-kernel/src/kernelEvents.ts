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
export const SETTINGS_READ = Events.defineEvent(
  1003,
  'info',
  'process.settingsRead',
  'The settings file was read again on a signal; what differs takes effect at the next start.',
);
export const SETTINGS_FAULTY = Events.defineEvent(
  1004,
  'error',
  'process.settingsFaulty',
  'The settings file was read again on a signal and has faults; the settings in use stay.',
);
