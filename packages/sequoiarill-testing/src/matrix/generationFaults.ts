/** The faults injected at the steps of a generation, through the stand-ins of one deployment. */
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { FaultCode } from './steps';
import * as Waiting from './waiting';
import type { Deployment } from './deployment';

export interface GenerationFault {
  readonly code: FaultCode;
  /** Injects the fault, while the engine that runs the request is held at the step. */
  readonly inject: (deployment: Deployment) => Promise<void>;
  /** Whether the engine continues after the injection. */
  readonly releasesEngine: boolean;
  /** Later changes, such as resuming a process; `isDone` is true once the answer has ended. */
  readonly followUp?: (deployment: Deployment, isDone: () => boolean) => Promise<void>;
  /**
   * Number of engines that get the request if the fault is injected in the middle of the answer;
   * undefined where it may vary.
   */
  readonly dispatches?: number;
}

/**
 * Two such delays are far below the shortest stall limit, so that a slow engine does not count as
 * stalled.
 */
const SLOW_FACTOR = 10;
const PLATFORM_SLOW_MS = 300;
/** Longer than every limit of a silent engine: for a gap, and for a first token. */
const COMMON_SILENCE_MS = 3_000;

async function failEngine(deployment: Deployment): Promise<void> {
  await deployment.engines[0]!.setFault({ kind: 'die' });
  // Output that the link still buffers is lost together with the engine.
  deployment.engineLink.reset();
  deployment.engineLink.heal();
}

/** Resumes the engine after another one has taken over, or after the answer has ended without that. */
async function resumeAfterTakeover(deployment: Deployment, isDone: () => boolean): Promise<void> {
  await waitForTakeover(deployment, isDone);
  await deployment.engines[0]!.setFault({ kind: 'unpause' });
}

async function waitForTakeover(deployment: Deployment, isDone: () => boolean): Promise<void> {
  const others = deployment.engines.slice(1);
  await Waiting.waitUntil(
    'another engine takes over',
    () => isDone() || others.some((engine) => engine.getCounters().requests > 0),
  );
}

/** Finds the engine, other than the first one, that runs the request now. */
async function findSuccessor(
  deployment: Deployment,
): Promise<Deployment['engines'][number] | undefined> {
  const others = deployment.engines.slice(1);
  return others.find((engine) => engine.getLoad().running > 0);
}

async function failSuccessor(deployment: Deployment, minTokens: number): Promise<void> {
  await Waiting.waitUntil('the next engine runs the request', async () => {
    const successor = await findSuccessor(deployment);
    return successor !== undefined && successor.getCounters().tokensGenerated >= minTokens;
  });
  const successor = await findSuccessor(deployment);
  await successor!.setFault({ kind: 'die' });
}

export const TARGET_FAULTS: readonly GenerationFault[] = [
  { code: 'E1', inject: failEngine, releasesEngine: false, dispatches: 2 },
  {
    code: 'E2',
    async inject(deployment) {
      await deployment.engines[0]!.setFault({ kind: 'pause' });
      deployment.engineLink.heal();
    },
    releasesEngine: false,
    followUp: resumeAfterTakeover,
    dispatches: 2,
  },
  {
    code: 'E3',
    async inject(deployment) {
      await deployment.engines[0]!.setFault({ kind: 'slow', factor: SLOW_FACTOR });
      deployment.engineLink.heal();
    },
    releasesEngine: true,
    dispatches: 1,
  },
  {
    code: 'E4',
    async inject(deployment) {
      await failEngine(deployment);
      await deployment.engines[0]!.setFault({ kind: 'revive' });
    },
    releasesEngine: false,
    dispatches: 2,
  },
  {
    code: 'E5',
    async inject(deployment) {
      // The engine receives neither a cancellation nor the end of the connection, so it continues to
      // send.
      await deployment.engines[0]!.setFault({ kind: 'pause' });
      deployment.engineLink.heal();
      deployment.engineLink.cutToTarget();
    },
    releasesEngine: false,
    followUp: resumeAfterTakeover,
    dispatches: 2,
  },
  {
    code: 'E6',
    async inject({ engines, engineLink }) {
      await Promise.all(engines.map((engine) => engine.setFault({ kind: 'pause' })));
      engineLink.heal();
    },
    releasesEngine: false,
    async followUp({ engines }) {
      await startTimeout(COMMON_SILENCE_MS);
      await Promise.all(engines.map((engine) => engine.setFault({ kind: 'unpause' })));
    },
    dispatches: 1,
  },
];

export const LINK_FAULTS: readonly GenerationFault[] = [
  {
    code: 'L1',
    inject: async (deployment) => deployment.engineLink.cutToTarget(),
    releasesEngine: true,
    dispatches: 1,
  },
  {
    code: 'L2',
    inject: async (deployment) => deployment.engineLink.cutToCaller(),
    releasesEngine: true,
    dispatches: 2,
  },
  {
    code: 'L3',
    inject: async (deployment) => deployment.engineLink.cutBoth(),
    releasesEngine: true,
    dispatches: 2,
  },
  {
    code: 'L4',
    inject: async (deployment) => deployment.engineLink.stall(),
    releasesEngine: true,
    async followUp(deployment, isDone) {
      await waitForTakeover(deployment, isDone);
      deployment.engineLink.heal();
    },
    dispatches: 2,
  },
];

export const PLATFORM_FAULTS: readonly GenerationFault[] = [
  {
    code: 'P1',
    async inject(deployment) {
      await deployment.platform.setFault({ kind: 'refuse' });
      deployment.engineLink.heal();
    },
    releasesEngine: true,
    dispatches: 1,
  },
  {
    code: 'P2',
    async inject(deployment) {
      await deployment.platform.setFault({ kind: 'slow', ms: PLATFORM_SLOW_MS });
      deployment.engineLink.heal();
    },
    releasesEngine: true,
    dispatches: 1,
  },
  {
    code: 'P3',
    async inject(deployment) {
      await deployment.platform.setFault({ kind: 'loseAnswers', count: 3 });
      deployment.engineLink.heal();
    },
    releasesEngine: true,
    dispatches: 1,
  },
];

export const FAULT_PAIRS: readonly GenerationFault[] = [
  {
    code: 'X1',
    async inject(deployment) {
      await deployment.platform.setFault({ kind: 'refuse' });
      await deployment.engines[0]!.setFault({ kind: 'pause' });
      deployment.engineLink.heal();
    },
    releasesEngine: false,
    followUp: resumeAfterTakeover,
    dispatches: 2,
  },
  {
    code: 'X2',
    inject: failEngine,
    releasesEngine: false,
    followUp: async (deployment) => failSuccessor(deployment, 0),
    dispatches: 3,
  },
  {
    code: 'T1',
    inject: failEngine,
    releasesEngine: false,
    followUp: async (deployment) => failSuccessor(deployment, 2),
    dispatches: 3,
  },
  {
    code: 'T2',
    inject: async (deployment) => deployment.engines[0]!.setFault({ kind: 'pause' }),
    releasesEngine: false,
    async followUp(deployment) {
      await Waiting.waitUntil('the next engine runs the request', async () => {
        const successor = await findSuccessor(deployment);
        return successor !== undefined && successor.getCounters().tokensGenerated >= 2;
      });
      const successor = await findSuccessor(deployment);
      await successor!.setFault({ kind: 'pause' });
      await deployment.engines[0]!.setFault({ kind: 'unpause' });
    },
    dispatches: 3,
  },
];
