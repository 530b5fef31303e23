/** Log events 1000 to 1099: life cycle of the process. */
import * as Events from './events';

export const PROCESS_READY = Events.defineEvent(
  1000,
  'info',
  'process.ready',
  'All plug-ins have started; the process accepts work.',
);
export const PROCESS_DRAINING = Events.defineEvent(
  1001,
  'info',
  'process.draining',
  'The process accepts no new work and waits for the work in progress.',
);
export const PROCESS_STOPPED = Events.defineEvent(
  1002,
  'info',
  'process.stopped',
  'All plug-ins have stopped; the process exits.',
);
export const SETTINGS_READ = Events.defineEvent(
  1003,
  'info',
  'process.settingsRead',
  'The settings file was re-read on a signal; changes take effect at the next start.',
);
export const SETTINGS_FAULTY = Events.defineEvent(
  1004,
  'error',
  'process.settingsFaulty',
  'The settings file was re-read on a signal and is invalid; the settings in use remain in force.',
);
export const DRAIN_FAILED = Events.defineEvent(
  1005,
  'error',
  'process.drainFailed',
  'A plug-in failed while it drained; the others finish their work.',
);
export const TURN_LONG = Events.defineEvent(
  1006,
  'warn',
  'process.turnLong',
  'One turn of the event loop lasted for more than a second, or the process was paused (then `processorMs` is small); `work` counts what was done since the last such line, by metric.',
);
export const LOOP_BUSY = Events.defineEvent(
  1007,
  'warn',
  'process.loopBusy',
  'The event loop has not waited for anything for some seconds; logged again each time that this has doubled. `work` counts what was done since the last such line, by metric.',
);
export const LOOP_IDLE = Events.defineEvent(
  1008,
  'info',
  'process.loopIdle',
  'The event loop waits for events again.',
);
