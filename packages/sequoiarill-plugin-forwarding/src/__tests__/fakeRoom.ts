/** A capability `room` that is off until a test switches it on. */
import type { Room } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';

export interface FakeRoom {
  readonly capability: ForwardingDependencies['room'];
  /** While it is off, nothing waits and no rank is sent. */
  isOn: boolean;
  /** Whether answers would be complete before the process exits. */
  hasTime: boolean;
  /** Whether the process is about to end. */
  isStopping: boolean;
  /** Ids of streams' organisations that are beyond their share. */
  readonly beyondShare: Set<string>;
  /** Speed factors by engine. */
  readonly speeds: Map<string, number>;
  /** Names of what was recorded. */
  readonly records: string[];
}

export function createFakeRoom(): FakeRoom {
  const records: string[] = [];
  const record = (name: string) => () => {
    records.push(name);
  };
  const capability: Omit<Room, 'setRepeatSource' | 'getFleetRepeats' | 'setLineSource'> = {
    isActive: () => room.isOn,
    getLevel: ({ route }) => (room.isOn ? route.priority : undefined),
    markStream: ({ level, organisation = '' }) => ({
      level,
      isWithinShare: !room.beyondShare.has(organisation),
    }),
    recordDemand: record('demand'),
    recordServed: record('served'),
    recordGap: record('gap'),
    recordRunEnd: record('runEnd'),
    recordPrefill: record('prefill'),
    getSpeedFactor: ({ id }) => room.speeds.get(id) ?? 1,
  };
  const room: FakeRoom = {
    capability,
    isOn: false,
    hasTime: true,
    isStopping: false,
    beyondShare: new Set(),
    speeds: new Map(),
    records,
  };
  return room;
}
