/** Cells of a generation whose caller leaves or cancels, or whose router stops as planned. */
import * as Undici from 'undici';

import type { ReadAnswer } from '../answers';
import * as Callers from './callers';
import type { GenerationFault } from './generationFaults';
import * as GenerationSteps from './generationSteps';
import type { StepRunner } from './generationSteps';
import * as Waiting from './waiting';
import * as Worlds from './world';
import type { World } from './world';

/** Nothing is generated for anyone: no engine works, no router waits for one. */
export async function waitForIdle(world: World): Promise<void> {
  await Waiting.waitUntil('every engine is idle', () =>
    world.engines.every((engine) => {
      const { running, waiting } = engine.getLoad();
      return running === 0 && waiting === 0;
    }),
  );
  await Waiting.waitUntil('the router is idle', async () => {
    const { running } = await world.routers[0]!.dumpPlugin('generations');
    const { openRequests } = await world.routers[0]!.dumpPlugin('callers');
    return running === 0 && openRequests === 0;
  });
}

async function removeFaults(world: World): Promise<void> {
  world.engineLink.heal();
  world.engineLink.reset();
  await world.platform.setFault({ kind: 'up' });
  await world.engines[0]!.setFault({ kind: 'revive' });
}

export interface LeavingRun {
  readonly world: World;
  /** The next answer of the same deployment, once the work that was left has ended. */
  readonly next: ReadAnswer;
}

/** How long a response without a reader goes on in these tests, in milliseconds. */
const GRACE_MS = 50;
const LEAVING_OPTIONS = { routerSettings: { callers: { resumeGraceMs: GRACE_MS } } };

/** The caller leaves at the step; the engine goes on until it is told. */
export async function runLeaving(
  step: StepRunner,
  check: (run: LeavingRun) => void,
): Promise<void> {
  const world = await Worlds.startWorld({ ...LEAVING_OPTIONS, ...step.options });
  const agent = new Undici.Agent();
  try {
    const left = step.runStep(
      world,
      async () => {
        await agent.destroy();
        world.engineLink.heal();
        await world.engines[0]!.setFault({ kind: 'heal' });
      },
      agent,
    );
    await left.catch(() => undefined);
    await waitForIdle(world);
    const next = await Callers.readAnswer(world);
    check({ world, next });
  } finally {
    await agent.destroy();
    await world.stop();
  }
}

/** The fault strikes in the middle of an answer, and its caller leaves right then. */
export async function runCancelled(
  fault: GenerationFault,
  check: (run: LeavingRun) => void,
): Promise<void> {
  const checksFencing = fault.code !== 'E5';
  const world = await Worlds.startWorld({ checksFencing });
  const agent = new Undici.Agent();
  try {
    const waitForToken = await GenerationSteps.delayAtToken(world, GenerationSteps.EARLY_TOKENS);
    const left = Callers.readAnswer(world, { dispatcher: agent });
    await waitForToken();
    await fault.strike(world);
    await agent.destroy();
    await left.catch(() => undefined);
    if (fault.releasesEngine) await world.engines[0]!.setFault({ kind: 'unpause' });
    await fault.follow?.(world, () => true);
    await waitForIdle(world);
    await removeFaults(world);
    const next = await Callers.readAnswer(world);
    check({ world, next });
  } finally {
    await agent.destroy();
    await world.stop();
  }
}

/** Status and `Retry-After` of a request that comes while the router drains. */
export interface DrainingRefusal {
  readonly status: number;
  readonly retryAfter: string | undefined;
}

/** Undefined once the router has drained and takes no connection any more. */
export async function sendWhileDraining(world: World): Promise<DrainingRefusal | undefined> {
  const answer = await Callers.readAnswer(world).catch(() => undefined);
  return answer && { status: answer.status, retryAfter: answer.retryAfter };
}
