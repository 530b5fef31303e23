/** The faults that a generation's step is struck by, over the stand-ins of one world. */
import type { FaultCode } from './steps';
import * as Waiting from './waiting';
import type { World } from './world';

export interface GenerationFault {
  readonly code: FaultCode;
  /** Brings the fault about; the engine that has the work stands still at the step meanwhile. */
  readonly strike: (world: World) => Promise<void>;
  /** Whether the engine moves on after the strike. */
  readonly releasesEngine: boolean;
  /** What comes later, such as waking; `isDone` once the answer has ended. */
  readonly follow?: (world: World, isDone: () => boolean) => Promise<void>;
  /** Engines that are asked for an answer struck in the middle; undefined where it may vary. */
  readonly dispatches?: number;
}

/** Two of these are far from the shortest stall limit, so that a slow engine is not a lost one. */
const SLOW_FACTOR = 10;
const PLATFORM_SLOW_MS = 300;

async function failEngine(world: World): Promise<void> {
  await world.engines[0]!.setFault({ kind: 'die' });
  // What the link still holds of a dead engine is gone with it.
  world.engineLink.reset();
  world.engineLink.heal();
}

/** Another engine has the work, or the answer needed none. */
async function resumeAfterTakeover(world: World, isDone: () => boolean): Promise<void> {
  await waitForTakeover(world, isDone);
  await world.engines[0]!.setFault({ kind: 'unpause' });
}

async function waitForTakeover(world: World, isDone: () => boolean): Promise<void> {
  const others = world.engines.slice(1);
  await Waiting.waitUntil(
    'another engine takes over',
    () => isDone() || others.some((engine) => engine.getCounters().requests > 0),
  );
}

/** The engine that has the work now, other than the first one. */
async function findSuccessor(world: World): Promise<World['engines'][number] | undefined> {
  const others = world.engines.slice(1);
  return others.find((engine) => engine.getLoad().running > 0);
}

async function failSuccessor(world: World, minTokens: number): Promise<void> {
  await Waiting.waitUntil('the next engine is at work', async () => {
    const successor = await findSuccessor(world);
    return successor !== undefined && successor.getCounters().tokensGenerated >= minTokens;
  });
  const successor = await findSuccessor(world);
  await successor!.setFault({ kind: 'die' });
}

export const TARGET_FAULTS: readonly GenerationFault[] = [
  { code: 'E1', strike: failEngine, releasesEngine: false, dispatches: 2 },
  {
    code: 'E2',
    async strike(world) {
      await world.engines[0]!.setFault({ kind: 'pause' });
      world.engineLink.heal();
    },
    releasesEngine: false,
    follow: resumeAfterTakeover,
    dispatches: 2,
  },
  {
    code: 'E3',
    async strike(world) {
      await world.engines[0]!.setFault({ kind: 'slow', factor: SLOW_FACTOR });
      world.engineLink.heal();
    },
    releasesEngine: true,
    dispatches: 1,
  },
  {
    code: 'E4',
    async strike(world) {
      await failEngine(world);
      await world.engines[0]!.setFault({ kind: 'revive' });
    },
    releasesEngine: false,
    dispatches: 2,
  },
  {
    code: 'E5',
    async strike(world) {
      // Neither a cancel nor the end of the connection reaches the engine: it goes on and answers.
      await world.engines[0]!.setFault({ kind: 'pause' });
      world.engineLink.heal();
      world.engineLink.cutToTarget();
    },
    releasesEngine: false,
    follow: resumeAfterTakeover,
    dispatches: 2,
  },
];

export const LINK_FAULTS: readonly GenerationFault[] = [
  {
    code: 'L1',
    strike: async (world) => world.engineLink.cutToTarget(),
    releasesEngine: true,
    dispatches: 1,
  },
  {
    code: 'L2',
    strike: async (world) => world.engineLink.cutToCaller(),
    releasesEngine: true,
    dispatches: 2,
  },
  {
    code: 'L3',
    strike: async (world) => world.engineLink.cutBoth(),
    releasesEngine: true,
    dispatches: 2,
  },
  {
    code: 'L4',
    strike: async (world) => world.engineLink.stall(),
    releasesEngine: true,
    async follow(world, isDone) {
      await waitForTakeover(world, isDone);
      world.engineLink.heal();
    },
    dispatches: 2,
  },
];

export const PLATFORM_FAULTS: readonly GenerationFault[] = [
  {
    code: 'P1',
    async strike(world) {
      await world.platform.setFault({ kind: 'refuse' });
      world.engineLink.heal();
    },
    releasesEngine: true,
    dispatches: 1,
  },
  {
    code: 'P2',
    async strike(world) {
      await world.platform.setFault({ kind: 'slow', ms: PLATFORM_SLOW_MS });
      world.engineLink.heal();
    },
    releasesEngine: true,
    dispatches: 1,
  },
  {
    code: 'P3',
    async strike(world) {
      await world.platform.setFault({ kind: 'loseAnswers', count: 3 });
      world.engineLink.heal();
    },
    releasesEngine: true,
    dispatches: 1,
  },
];

export const PAIRS: readonly GenerationFault[] = [
  {
    code: 'X1',
    async strike(world) {
      await world.platform.setFault({ kind: 'refuse' });
      await world.engines[0]!.setFault({ kind: 'pause' });
      world.engineLink.heal();
    },
    releasesEngine: false,
    follow: resumeAfterTakeover,
    dispatches: 2,
  },
  {
    code: 'X2',
    strike: failEngine,
    releasesEngine: false,
    follow: async (world) => failSuccessor(world, 0),
    dispatches: 3,
  },
  {
    code: 'T1',
    strike: failEngine,
    releasesEngine: false,
    follow: async (world) => failSuccessor(world, 2),
    dispatches: 3,
  },
  {
    code: 'T2',
    strike: async (world) => world.engines[0]!.setFault({ kind: 'pause' }),
    releasesEngine: false,
    async follow(world) {
      await Waiting.waitUntil('the next engine is at work', async () => {
        const successor = await findSuccessor(world);
        return successor !== undefined && successor.getCounters().tokensGenerated >= 2;
      });
      const successor = await findSuccessor(world);
      await successor!.setFault({ kind: 'pause' });
      await world.engines[0]!.setFault({ kind: 'unpause' });
    },
    dispatches: 3,
  },
];
