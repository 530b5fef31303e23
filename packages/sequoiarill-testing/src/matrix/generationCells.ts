/** Runs one cell of a generation: reads the undisturbed answer once, then the answer under the fault. */
import * as Undici from 'undici';

import type { ReadAnswer } from '../answers';
import * as Callers from './callers';
import type { GenerationFault } from './generationFaults';
import type { StepRunner } from './generationSteps';
import * as Deployments from './deployment';
import type { Deployment, DeploymentOptions } from './deployment';

export interface CellRun {
  readonly answers: readonly ReadAnswer[];
  readonly baseline: ReadAnswer;
  readonly deployment: Deployment;
}

let baselineAnswer: Promise<ReadAnswer> | undefined;

async function runBaseline(): Promise<ReadAnswer> {
  const deployment = await Deployments.startDeployment();
  try {
    return await Callers.readAnswer(deployment);
  } finally {
    await deployment.stop();
  }
}

/** Returns the answer of a deployment without faults, which is read once and cached. */
export async function readBaselineAnswer(): Promise<ReadAnswer> {
  baselineAnswer ??= runBaseline();
  return baselineAnswer;
}

/** Counts the engines that got the request, by the router's decision journal. */
export async function countDispatches(deployment: Deployment, requestId: string): Promise<number> {
  const lines = await deployment.routers[0]!.explainRequest(requestId);
  return lines.filter(({ kind }) => kind === 'dispatched').length;
}

/** Runs the cell; the deployment is stopped only after `check` has returned. */
export async function runCell(
  step: StepRunner,
  fault: GenerationFault,
  check: (run: CellRun) => Promise<void> | void,
  extraOptions: DeploymentOptions = {},
): Promise<void> {
  const baseline = await readBaselineAnswer();
  const deployment = await Deployments.startDeployment({
    engines: 4,
    ...step.options,
    ...extraOptions,
  });
  const agent = new Undici.Agent();
  let isDone = false;
  let followUpTask: Promise<void> | undefined;
  try {
    const answers = await step.runStep(
      deployment,
      async () => {
        await fault.inject(deployment);
        if (fault.releasesEngine) await deployment.engines[0]!.setFault({ kind: 'unpause' });
        followUpTask = fault.followUp?.(deployment, () => isDone);
        followUpTask?.catch(() => undefined);
      },
      agent,
    );
    isDone = true;
    await followUpTask;
    await check({ answers, baseline, deployment });
  } finally {
    isDone = true;
    await agent.destroy();
    await deployment.stop();
  }
}
