/** The capability `room`. */
import type { OwnRepeats, Room } from '@sequoiarill/types';

import * as FactSums from './factSums';
import type { RecentStreams } from './recentStreams';
import type { ActiveServices } from './services';

export interface RoomSources {
  readRepeats: (service: string) => OwnRepeats;
  dumpLines: () => Readonly<Record<string, unknown>>;
}

export function createRoomSources(): RoomSources {
  const noRepeats = { ...FactSums.NO_REPEATS, isSettled: false };
  return { readRepeats: () => noRepeats, dumpLines: () => ({}) };
}

export function createRoom(
  services: ActiveServices,
  sources: RoomSources,
  recent: RecentStreams,
): Room {
  const findOwn = (service: string) => services.findState(service)?.own;

  return {
    isActive: (service) => services.findUrgency(service) !== undefined,
    getLevel({ service, route, organisation }) {
      const level = services.findUrgency(service)?.getLevel(route, organisation);
      if (level === undefined) return undefined;
      const name = organisation ?? '';
      recent.recordStream({ service, organisation: name, route: route.name, level });
      return level;
    },
    markStream({ service, organisation, level }) {
      const shares = services.findState(service)?.shares;
      const isWithinShare = shares === undefined || shares.markNext(organisation ?? '', level);
      return { level, isWithinShare };
    },
    recordDemand: (record) => findOwn(record.service)?.recordDemand(record),
    recordServed: (record) => findOwn(record.service)?.recordServed(record),
    recordGap: (target, runId, ms) => findOwn(target.service)?.recordGap(target, runId, ms),
    recordRunEnd: (target, runId) => findOwn(target.service)?.recordRunEnd(target, runId),
    recordPrefill: (target, prefill) => findOwn(target.service)?.recordPrefill(target, prefill),
    getSpeedFactor: (target) => findOwn(target.service)?.getSpeedFactor(target) ?? 1,
    setRepeatSource(read) {
      sources.readRepeats = read;
    },
    getFleetRepeats: (service) => services.findState(service)?.computeRepeats(),
    setLineSource(dump) {
      sources.dumpLines = dump;
    },
  };
}
