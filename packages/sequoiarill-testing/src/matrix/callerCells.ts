/** Cells of a generation whose caller disconnects or cancels, or whose router stops as planned. */
import * as Undici from 'undici';

import type { ReadAnswer } from '../answers';
import * as Callers from './callers';
import type { GenerationFault } from './generationFaults';
import * as GenerationSteps from './generationSteps';
import type { StepRunner } from './generationSteps';
import * as Waiting from './waiting';
import * as Deployments from './deployment';
import type { Deployment } from './deployment';

/** Waits until no engine and no router has a running generation. */
export async function waitForIdle(deployment: Deployment): Promise<void> {
  await Waiting.waitUntil('every engine is idle', () =>
    deployment.engines.every((engine) => {
      const { running, waiting } = engine.getLoad();
      return running === 0 && waiting === 0;
    }),
  );
  await Waiting.waitUntil('the router is idle', async () => {
    const { running } = await deployment.routers[0]!.dumpPlugin('generations');
    return running === 0 && (await Deployments.countOpenRequests(deployment.routers[0]!)) === 0;
  });
}

async function removeFaults(deployment: Deployment): Promise<void> {
  deployment.engineLink.heal();
  deployment.engineLink.reset();
  await deployment.platform.setFault({ kind: 'up' });
  await deployment.engines[0]!.setFault({ kind: 'revive' });
}

export interface DisconnectRun {
  readonly deployment: Deployment;
  /** The next answer of the same deployment, read after the abandoned work has ended. */
  readonly next: ReadAnswer;
}

/** Time for which a response without a reader continues in these tests. */
const RESUME_GRACE_MS = 50;
const DISCONNECT_OPTIONS = { routerSettings: { callers: { resumeGraceMs: RESUME_GRACE_MS } } };

/** Disconnects the caller at the step; the engine continues until its request is cancelled. */
export async function runDisconnected(
  step: StepRunner,
  check: (run: DisconnectRun) => void,
): Promise<void> {
  const deployment = await Deployments.startDeployment({ ...DISCONNECT_OPTIONS, ...step.options });
  const agent = new Undici.Agent();
  try {
    const abandoned = step.runStep(
      deployment,
      async () => {
        await agent.destroy();
        deployment.engineLink.heal();
        await deployment.engines[0]!.setFault({ kind: 'heal' });
      },
      agent,
    );
    await abandoned.catch(() => undefined);
    await waitForIdle(deployment);
    const next = await Callers.readAnswer(deployment);
    check({ deployment, next });
  } finally {
    await agent.destroy();
    await deployment.stop();
  }
}

/** Injects the fault in the middle of an answer and disconnects the caller immediately afterwards. */
export async function runCancelled(
  fault: GenerationFault,
  check: (run: DisconnectRun) => void,
): Promise<void> {
  const checksFencing = fault.code !== 'E5';
  const deployment = await Deployments.startDeployment({ checksFencing });
  const agent = new Undici.Agent();
  try {
    const waitForToken = await GenerationSteps.delayAtToken(
      deployment,
      GenerationSteps.EARLY_TOKENS,
    );
    const abandoned = Callers.readAnswer(deployment, { dispatcher: agent });
    await waitForToken();
    await fault.inject(deployment);
    await agent.destroy();
    await abandoned.catch(() => undefined);
    if (fault.releasesEngine) await deployment.engines[0]!.setFault({ kind: 'unpause' });
    await fault.followUp?.(deployment, () => true);
    await waitForIdle(deployment);
    await removeFaults(deployment);
    const next = await Callers.readAnswer(deployment);
    check({ deployment, next });
  } finally {
    await agent.destroy();
    await deployment.stop();
  }
}

/** Status and `Retry-After` of a request that arrives while the router drains. */
export interface DrainingRefusal {
  readonly status: number;
  readonly retryAfter: string | undefined;
}

/** Returns undefined if the router has drained already and accepts no connections. */
export async function sendWhileDraining(
  deployment: Deployment,
): Promise<DrainingRefusal | undefined> {
  const answer = await Callers.readAnswer(deployment).catch(() => undefined);
  return answer && { status: answer.status, retryAfter: answer.retryAfter };
}
