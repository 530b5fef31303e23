/** Metrics of the plug-in `room`. */

export const SHARE = 'room.shareFraction';
export const DEMAND = 'room.demand';
export const SERVED = 'room.served';
export const ROUTERS = 'room.routers';
export const DIGEST_AGE = 'room.digestAge';
export const CALLS = 'room.calls';
export const REFUSED = 'room.messagesRefused';
export const OUTDATED = 'room.messagesOutdated';

export const METRICS = [
  {
    name: SHARE,
    unit: 'ratio',
    meaning:
      'Part of the new streams that count as within the share of their organisation, by service, organisation and level.',
  },
  {
    name: DEMAND,
    unit: 'work/s',
    meaning: 'Work that new streams of the fleet ask for, by service and level.',
  },
  {
    name: SERVED,
    unit: 'work/s',
    meaning: 'Work that engines took from all routers of the fleet, by service and level.',
  },
  {
    name: ROUTERS,
    unit: 'count',
    meaning: 'Routers whose figures are known, including this one, by service.',
  },
  {
    name: DIGEST_AGE,
    unit: 'ms',
    meaning: 'Age of the sums of the other routers, by service; not set while none are known.',
  },
  {
    name: CALLS,
    unit: 'count',
    meaning: 'Messages about room to other routers, by scope and outcome.',
  },
  {
    name: REFUSED,
    unit: 'count',
    meaning: 'Messages about room that were malformed or came from an unknown sender.',
  },
  {
    name: OUTDATED,
    unit: 'count',
    meaning:
      'Facts about a service that were dropped because newer ones of the same router had arrived.',
  },
] as const;
