/** Events 1100 to 1199: the platform's key-value service and the configuration. */
import * as Kernel from '@sequoiarill/kernel';

export const PLATFORM_AWAY = Kernel.defineEvent(
  1100,
  'warn',
  'platform.away',
  'The platform does not respond; this process continues with its current configuration. See docs/operators/PLATFORM-OUTAGES.md.',
);
export const PLATFORM_BACK = Kernel.defineEvent(
  1101,
  'info',
  'platform.back',
  'The platform responds again; changes made during the outage are being read.',
);
export const CONFIGURATION_APPLIED = Kernel.defineEvent(
  1102,
  'info',
  'configuration.applied',
  'A new snapshot of the configuration was applied.',
);
export const SECTION_REFUSED = Kernel.defineEvent(
  1103,
  'error',
  'configuration.sectionRefused',
  'A stored section is invalid; its last valid text stays in effect. Correct it with "sequoiarill config put".',
);
export const PLATFORM_OLDER = Kernel.defineEvent(
  1104,
  'error',
  'platform.older',
  'The platform returned a lower revision than the one applied here, for example after a backup was restored; older records are ignored. See docs/operators/PLATFORM-OUTAGES.md.',
);
export const WATCH_COMPACTED = Kernel.defineEvent(
  1105,
  'info',
  'configuration.watchCompacted',
  'The platform has compacted the changes since the last one received; the full document is read again.',
);
export const READER_STARTED = Kernel.defineEvent(
  1110,
  'info',
  'reader.started',
  'This process now reads the platform for all routers of its zone.',
);
export const READER_STOPPED = Kernel.defineEvent(
  1111,
  'info',
  'reader.stopped',
  'This process no longer reads the platform for its zone; another router takes over.',
);
export const READER_BYPASSED = Kernel.defineEvent(
  1112,
  'warn',
  'reader.bypassed',
  'Another process reads the platform for this zone, but its updates do not arrive; this process read the platform once itself. Check the links between routers.',
);
