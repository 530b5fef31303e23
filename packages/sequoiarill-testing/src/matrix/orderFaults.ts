/** The faults injected at the steps of an order, through the stand-ins of one deployment. */
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { FaultCode } from './steps';
import * as Waiting from './waiting';
import type { Deployment } from './deployment';

export interface OrderFault {
  readonly code: FaultCode;
  readonly inject: (deployment: Deployment, leave: () => Promise<void>) => Promise<void>;
  /** Later changes, such as resuming a process; `isDone` is true once the caller has its answer. */
  readonly followUp?: (deployment: Deployment, isDone: () => boolean) => Promise<void>;
  /** Whether the service, which is held at the step, continues after the injection. */
  readonly releasesService: boolean;
  readonly releasesPlatform: boolean;
}

const SERVICE_SLOW_MS = 200;
const PLATFORM_SLOW_MS = 200;
/** Shorter than the timeout of an order. */
const SHORT_PAUSE_MS = 100;

async function waitForEnd(isDone: () => boolean): Promise<void> {
  await Waiting.waitUntil('the caller has its answer', isDone);
}

const RELEASES_ALL = { releasesService: true, releasesPlatform: true };
const HOLDS_SERVICE = { releasesService: false, releasesPlatform: true };
const HOLDS_PLATFORM = { releasesService: true, releasesPlatform: false };

export const ORDER_FAULTS: readonly OrderFault[] = [
  {
    code: 'E1',
    inject: async (deployment) => deployment.services[0]!.setFault({ kind: 'die' }),
    ...HOLDS_SERVICE,
  },
  {
    code: 'E2',
    inject: async (deployment) => deployment.services[0]!.setFault({ kind: 'pause' }),
    async followUp(deployment) {
      await startTimeout(SHORT_PAUSE_MS);
      await deployment.services[0]!.setFault({ kind: 'unpause' });
    },
    ...HOLDS_SERVICE,
  },
  {
    code: 'E3',
    inject: async (deployment) =>
      deployment.services[0]!.setFault({ kind: 'slow', ms: SERVICE_SLOW_MS }),
    ...RELEASES_ALL,
  },
  {
    code: 'E4',
    async inject(deployment) {
      await deployment.services[0]!.setFault({ kind: 'die' });
      await deployment.services[0]!.setFault({ kind: 'revive' });
    },
    ...HOLDS_SERVICE,
  },
  {
    code: 'E5',
    inject: async (deployment) => deployment.services[0]!.setFault({ kind: 'pause' }),
    async followUp(deployment, isDone) {
      await waitForEnd(isDone);
      await deployment.services[0]!.setFault({ kind: 'unpause' });
    },
    ...HOLDS_SERVICE,
  },
  {
    code: 'R3',
    async inject(deployment) {
      deployment.routers[0]!.router.stop().catch(() => undefined);
    },
    ...RELEASES_ALL,
  },
  {
    code: 'L1',
    inject: async (deployment) => deployment.serviceLink.cutToTarget(),
    ...RELEASES_ALL,
  },
  {
    code: 'L2',
    inject: async (deployment) => deployment.serviceLink.cutToCaller(),
    ...RELEASES_ALL,
  },
  { code: 'L3', inject: async (deployment) => deployment.serviceLink.cutBoth(), ...RELEASES_ALL },
  {
    code: 'L4',
    inject: async (deployment) => deployment.serviceLink.stall(),
    async followUp(deployment, isDone) {
      await waitForEnd(isDone);
      deployment.serviceLink.heal();
    },
    ...RELEASES_ALL,
  },
  {
    code: 'P1',
    inject: async (deployment) => deployment.platform.setFault({ kind: 'refuse' }),
    ...HOLDS_PLATFORM,
  },
  {
    code: 'P2',
    async inject(deployment) {
      await deployment.platform.setFault({ kind: 'up' });
      await deployment.platform.setFault({ kind: 'slow', ms: PLATFORM_SLOW_MS });
    },
    ...HOLDS_PLATFORM,
  },
  {
    code: 'P3',
    async inject(deployment) {
      await deployment.platform.setFault({ kind: 'up' });
      await deployment.platform.setFault({ kind: 'loseAnswers', count: 2 });
    },
    ...HOLDS_PLATFORM,
  },
  { code: 'C1', inject: async (_world, leave) => leave(), ...RELEASES_ALL },
  {
    code: 'T1',
    async inject(deployment) {
      await deployment.services[0]!.setFault({ kind: 'die' });
      await deployment.services[0]!.setFault({ kind: 'revive' });
      await deployment.services[0]!.setFault({ kind: 'die' });
    },
    ...HOLDS_SERVICE,
  },
  {
    code: 'X1',
    async inject(deployment) {
      await deployment.services[0]!.setFault({ kind: 'pause' });
      await deployment.platform.setFault({ kind: 'refuse' });
    },
    async followUp(deployment, isDone) {
      await waitForEnd(isDone);
      await deployment.services[0]!.setFault({ kind: 'unpause' });
    },
    releasesService: false,
    releasesPlatform: false,
  },
];
