/** Events 2100 to 2199: who gets room at engines. */
import * as Kernel from '@sequoiarill/kernel';

export const SERVICES_CHANGED = Kernel.defineEvent(
  2100,
  'info',
  'room.servicesChanged',
  'Streams of these services now wait for room in the order of their urgency; those of others are served as they come.',
);
export const DIGEST_LOST = Kernel.defineEvent(
  2101,
  'warn',
  'room.digestLost',
  'No collector has answered for some seconds; shares and retries are decided by the figures of this router alone. Check the connections to the routers of this zone.',
);
export const DIGEST_REGAINED = Kernel.defineEvent(
  2102,
  'info',
  'room.digestRegained',
  'A collector answers again; shares and retries are decided by the figures of the fleet.',
);
export const MESSAGE_REFUSED = Kernel.defineEvent(
  2103,
  'warn',
  'room.messageRefused',
  'A message about room was malformed or came from a sender that is not in the list of routers; it was dropped. Logged at most once a minute for each sender.',
);
export const PRIORITY_MALFORMED = Kernel.defineEvent(
  2104,
  'warn',
  'room.priorityMalformed',
  'The priority of a route or an organisation is no number from 0 to 1,000; its streams count as the least urgent. Correct it in the configuration.',
);

export const EVENTS = [
  SERVICES_CHANGED,
  DIGEST_LOST,
  DIGEST_REGAINED,
  MESSAGE_REFUSED,
  PRIORITY_MALFORMED,
];
