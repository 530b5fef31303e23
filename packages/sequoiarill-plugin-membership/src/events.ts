/** Log events 1500 to 1599 of the plug-in `membership`. */
import * as Kernel from '@sequoiarill/kernel';

export const LISTENING = Kernel.defineEvent(
  1500,
  'info',
  'membership.listening',
  'The listener for other routers is open.',
);
export const PEER_JOINED = Kernel.defineEvent(
  1501,
  'info',
  'membership.peerJoined',
  'Another router was discovered, became reachable again, or restarted.',
);
export const PEER_LEAVING = Kernel.defineEvent(
  1502,
  'info',
  'membership.peerLeaving',
  'Another router drains and will stop.',
);
export const PEER_DEAD = Kernel.defineEvent(
  1503,
  'warn',
  'membership.peerDead',
  'Another router sends no heartbeats and does not respond to probes; check its VM unless it was removed on purpose.',
);
export const DEATH_REFUTED = Kernel.defineEvent(
  1504,
  'warn',
  'membership.deathRefuted',
  'Other routers considered this router dead; it has rejoined. It was paused, overloaded or partitioned.',
);
export const NAME_CONFLICT = Kernel.defineEvent(
  1505,
  'error',
  'membership.nameConflict',
  'Another process runs under this name; set a unique key name in section [process] of each.',
);
export const PAUSED = Kernel.defineEvent(
  1506,
  'warn',
  'membership.paused',
  'This process was paused; it discards the silence of other routers measured before.',
);
export const CALL_REFUSED = Kernel.defineEvent(
  1507,
  'warn',
  'membership.callRefused',
  'The listener for other routers refused a call; compare sharedKey, seeds and advertise.',
);
export const ZONE_AWAY = Kernel.defineEvent(
  1508,
  'warn',
  'membership.zoneAway',
  'No router of another zone responds; see docs/operators/ZONE-PARTITIONS.md.',
);
export const ZONE_BACK = Kernel.defineEvent(
  1509,
  'info',
  'membership.zoneBack',
  'Routers of another zone respond again.',
);
export const NO_SHARED_KEY = Kernel.defineEvent(
  1510,
  'info',
  'membership.noSharedKey',
  'No sharedKey is set, so any process on this machine can sign calls.',
);

export const EVENTS = [
  LISTENING,
  PEER_JOINED,
  PEER_LEAVING,
  PEER_DEAD,
  DEATH_REFUTED,
  NAME_CONFLICT,
  PAUSED,
  CALL_REFUSED,
  ZONE_AWAY,
  ZONE_BACK,
  NO_SHARED_KEY,
] as const;
