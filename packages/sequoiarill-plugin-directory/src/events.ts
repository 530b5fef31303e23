/** Events 1800 to 1899: the directory of routes and targets. */
import * as Kernel from '@sequoiarill/kernel';

export const STORE_LOST = Kernel.defineEvent(
  1800,
  'warn',
  'directory.storeLost',
  'The store does not answer; what is known stays in force, and peers are asked for news.',
);
export const STORE_REGAINED = Kernel.defineEvent(
  1801,
  'info',
  'directory.storeRegained',
  'The store answers again.',
);
export const CONFIGURATION_APPLIED = Kernel.defineEvent(
  1802,
  'info',
  'directory.configurationApplied',
  'A configuration is in force in this process.',
);
export const CONFIGURATION_REFUSED = Kernel.defineEvent(
  1803,
  'error',
  'directory.configurationRefused',
  'A configuration cannot be read; the last good one stays in force. Correct it and write it again.',
);
export const TARGET_REFUSED = Kernel.defineEvent(
  1804,
  'warn',
  'directory.targetRefused',
  'An entry of a target cannot be read and names no target; the others hold.',
);
export const TARGETS_CHANGED = Kernel.defineEvent(
  1805,
  'info',
  'directory.targetsChanged',
  'Targets came, left, or began to drain.',
);
export const HISTORY_GONE = Kernel.defineEvent(
  1806,
  'info',
  'directory.historyGone',
  'The store no longer has the changes asked for; everything is read again.',
);

export const LEARNED_FROM_PEER = Kernel.defineEvent(
  1807,
  'info',
  'directory.learnedFromPeer',
  'Another router knew newer records while the store did not answer this one.',
);

export const TARGET_LEARNED = Kernel.defineEvent(
  1808,
  'info',
  'directory.targetLearned',
  'Another life of a target was met at its address while the store did not answer; it is used.',
);

export const READER_LEFT = Kernel.defineEvent(
  1809,
  'info',
  'directory.readerLeft',
  'The router that is asked in place of the store does not answer, or is not up to date itself; the store is asked.',
);

export const EVENTS = [
  STORE_LOST,
  STORE_REGAINED,
  CONFIGURATION_APPLIED,
  CONFIGURATION_REFUSED,
  TARGET_REFUSED,
  TARGETS_CHANGED,
  HISTORY_GONE,
  LEARNED_FROM_PEER,
  TARGET_LEARNED,
  READER_LEFT,
];
