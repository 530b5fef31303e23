/** Runs one cell of a generation: the undisturbed answer once, then the answer under the fault. */
import * as Undici from 'undici';

import type { ReadAnswer } from '../answers';
import * as Callers from './callers';
import type { GenerationFault } from './generationFaults';
import type { StepRunner } from './generationSteps';
import * as Worlds from './world';
import type { World, WorldOptions } from './world';

export interface CellRun {
  readonly answers: readonly ReadAnswer[];
  readonly calm: ReadAnswer;
  readonly world: World;
}

let calmAnswer: Promise<ReadAnswer> | undefined;

async function runCalm(): Promise<ReadAnswer> {
  const world = await Worlds.startWorld();
  try {
    return await Callers.readAnswer(world);
  } finally {
    await world.stop();
  }
}

/** The answer of a deployment without faults; made once. */
export async function readCalmAnswer(): Promise<ReadAnswer> {
  calmAnswer ??= runCalm();
  return calmAnswer;
}

/** Engines asked for one answer, as the router's journal has it. */
export async function countDispatches(world: World, requestId: string): Promise<number> {
  const lines = await world.routers[0]!.explainRequest(requestId);
  return lines.filter(({ kind }) => kind === 'dispatched').length;
}

/** The world still runs while `check` looks at it, and is stopped afterwards. */
export async function runCell(
  step: StepRunner,
  fault: GenerationFault,
  check: (run: CellRun) => Promise<void> | void,
  more: WorldOptions = {},
): Promise<void> {
  const calm = await readCalmAnswer();
  const world = await Worlds.startWorld({ engines: 4, ...step.options, ...more });
  const agent = new Undici.Agent();
  let isDone = false;
  let followed: Promise<void> | undefined;
  try {
    const answers = await step.runStep(
      world,
      async () => {
        await fault.strike(world);
        if (fault.releasesEngine) await world.engines[0]!.setFault({ kind: 'unpause' });
        followed = fault.follow?.(world, () => isDone);
        followed?.catch(() => undefined);
      },
      agent,
    );
    isDone = true;
    await followed;
    await check({ answers, calm, world });
  } finally {
    isDone = true;
    await agent.destroy();
    await world.stop();
  }
}
