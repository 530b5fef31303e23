/** Plug-in `room`: decides who gets room at the engines of a service. */
import type { Plugin, PluginInstance, Room } from '@sequoiarill/types';

import { settingsSchema } from './settings';
import type { RoomSettings } from './settings';

/** Nothing waits and no rank is sent. */
const DISABLED_ROOM: Room = {
  isActive: () => false,
  getLevel: () => undefined,
  markStream: ({ level }) => ({ level, isWithinShare: true }),
  recordDemand: () => undefined,
  recordServed: () => undefined,
  recordGap: () => undefined,
  recordRunEnd: () => undefined,
  recordPrefill: () => undefined,
  getSpeedFactor: () => 1,
  setRepeatSource: () => undefined,
  getFleetRepeats: () => undefined,
  setLineSource: () => undefined,
};

function createInstance(): PluginInstance {
  return { capabilities: { room: DISABLED_ROOM }, dumpState: () => ({}) };
}

export const plugin: Plugin<RoomSettings> = {
  name: 'room',
  settingsSchema,
  provides: ['room'],
  needs: ['wire', 'directory', 'peers'],
  events: [],
  createInstance,
};
