/** The faults that an order's step is struck by, over the stand-ins of one world. */
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { FaultCode } from './steps';
import * as Waiting from './waiting';
import type { World } from './world';

export interface OrderFault {
  readonly code: FaultCode;
  readonly strike: (world: World, leave: () => Promise<void>) => Promise<void>;
  /** What comes later, such as waking; `isDone` once the caller has its answer. */
  readonly follow?: (world: World, isDone: () => boolean) => Promise<void>;
  /** Whether the service, held at the step, goes on after the strike. */
  readonly releasesService: boolean;
  readonly releasesPlatform: boolean;
}

const SERVICE_SLOW_MS = 200;
const PLATFORM_SLOW_MS = 200;
/** Shorter than the time for an order. */
const SHORT_PAUSE_MS = 100;

async function waitForEnd(isDone: () => boolean): Promise<void> {
  await Waiting.waitUntil('the caller has its answer', isDone);
}

const RELEASES_ALL = { releasesService: true, releasesPlatform: true };
const KEEPS_SERVICE = { releasesService: false, releasesPlatform: true };
const KEEPS_PLATFORM = { releasesService: true, releasesPlatform: false };

export const ORDER_FAULTS: readonly OrderFault[] = [
  {
    code: 'E1',
    strike: async (world) => world.services[0]!.setFault({ kind: 'die' }),
    ...KEEPS_SERVICE,
  },
  {
    code: 'E2',
    strike: async (world) => world.services[0]!.setFault({ kind: 'pause' }),
    async follow(world) {
      await startTimeout(SHORT_PAUSE_MS);
      await world.services[0]!.setFault({ kind: 'unpause' });
    },
    ...KEEPS_SERVICE,
  },
  {
    code: 'E3',
    strike: async (world) => world.services[0]!.setFault({ kind: 'slow', ms: SERVICE_SLOW_MS }),
    ...RELEASES_ALL,
  },
  {
    code: 'E4',
    async strike(world) {
      await world.services[0]!.setFault({ kind: 'die' });
      await world.services[0]!.setFault({ kind: 'revive' });
    },
    ...KEEPS_SERVICE,
  },
  {
    code: 'E5',
    strike: async (world) => world.services[0]!.setFault({ kind: 'pause' }),
    async follow(world, isDone) {
      await waitForEnd(isDone);
      await world.services[0]!.setFault({ kind: 'unpause' });
    },
    ...KEEPS_SERVICE,
  },
  {
    code: 'R3',
    async strike(world) {
      world.routers[0]!.router.stop().catch(() => undefined);
    },
    ...RELEASES_ALL,
  },
  { code: 'L1', strike: async (world) => world.serviceLink.cutToTarget(), ...RELEASES_ALL },
  { code: 'L2', strike: async (world) => world.serviceLink.cutToCaller(), ...RELEASES_ALL },
  { code: 'L3', strike: async (world) => world.serviceLink.cutBoth(), ...RELEASES_ALL },
  {
    code: 'L4',
    strike: async (world) => world.serviceLink.stall(),
    async follow(world, isDone) {
      await waitForEnd(isDone);
      world.serviceLink.heal();
    },
    ...RELEASES_ALL,
  },
  {
    code: 'P1',
    strike: async (world) => world.platform.setFault({ kind: 'refuse' }),
    ...KEEPS_PLATFORM,
  },
  {
    code: 'P2',
    async strike(world) {
      await world.platform.setFault({ kind: 'up' });
      await world.platform.setFault({ kind: 'slow', ms: PLATFORM_SLOW_MS });
    },
    ...KEEPS_PLATFORM,
  },
  {
    code: 'P3',
    async strike(world) {
      await world.platform.setFault({ kind: 'up' });
      await world.platform.setFault({ kind: 'loseAnswers', count: 2 });
    },
    ...KEEPS_PLATFORM,
  },
  { code: 'C1', strike: async (_world, leave) => leave(), ...RELEASES_ALL },
  {
    code: 'T1',
    async strike(world) {
      await world.services[0]!.setFault({ kind: 'die' });
      await world.services[0]!.setFault({ kind: 'revive' });
      await world.services[0]!.setFault({ kind: 'die' });
    },
    ...KEEPS_SERVICE,
  },
  {
    code: 'X1',
    async strike(world) {
      await world.services[0]!.setFault({ kind: 'pause' });
      await world.platform.setFault({ kind: 'refuse' });
    },
    async follow(world, isDone) {
      await waitForEnd(isDone);
      await world.services[0]!.setFault({ kind: 'unpause' });
    },
    releasesService: false,
    releasesPlatform: false,
  },
];
