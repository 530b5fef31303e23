/** Events 1500 to 1599: routers that know each other. */
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
  'A router became known, came back, or restarted.',
);
export const PEER_LEAVING = Kernel.defineEvent(
  1502,
  'info',
  'membership.peerLeaving',
  'A router drains and will stop.',
);
export const PEER_DEAD = Kernel.defineEvent(
  1503,
  'warn',
  'membership.peerDead',
  'A router is silent and nobody reaches it; check its VM unless it was taken away on purpose.',
);
export const DEATH_REFUTED = Kernel.defineEvent(
  1504,
  'warn',
  'membership.deathRefuted',
  'Others held this router for dead; it takes part again. It was paused, overloaded or cut off.',
);
export const NAME_CONFLICT = Kernel.defineEvent(
  1505,
  'error',
  'membership.nameConflict',
  'Another process runs under this name; give each its own in section [process], key name.',
);
export const PAUSED = Kernel.defineEvent(
  1506,
  'warn',
  'membership.paused',
  'This process did nothing for a while; what it knew from before counts for nothing.',
);
export const CALL_REFUSED = Kernel.defineEvent(
  1507,
  'warn',
  'membership.callRefused',
  'A call to the listener for routers was not from this fleet; compare sharedKey, seeds, advertise.',
);
export const ZONE_AWAY = Kernel.defineEvent(
  1508,
  'warn',
  'membership.zoneAway',
  'Nobody answers from another zone; see docs/operators/ZONE-PARTITIONS.md.',
);
export const ZONE_BACK = Kernel.defineEvent(
  1509,
  'info',
  'membership.zoneBack',
  'Another zone answers again.',
);
export const NO_SHARED_KEY = Kernel.defineEvent(
  1510,
  'info',
  'membership.noSharedKey',
  'No sharedKey is set, so calls carry a signature that anybody on this machine can make.',
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
