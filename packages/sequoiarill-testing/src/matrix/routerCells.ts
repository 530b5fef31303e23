/**
 * Cells in which a router is killed, paused or stopped: that router is a separate process, the rest of
 * the deployment runs in the test's process.
 */
import { setTimeout as startTimeout } from 'node:timers/promises';

import * as Undici from 'undici';

import type { ReadAnswer } from '../answers';
import * as Answers from '../answers';
import * as Fleets from '../fleet';
import type { FleetRouter } from '../fleet';
import * as Callers from './callers';
import * as GenerationSteps from './generationSteps';
import type { StepRunner } from './generationSteps';
import * as OrderCells from './orderCells';
import * as OrderCallers from './orderCallers';
import type { OrderAnswer } from './orderCallers';
import type { OrderFault } from './orderFaults';
import * as Waiting from './waiting';
import * as Deployments from './deployment';
import type { JournalLine, Deployment, DeploymentRouter } from './deployment';

/** Starts a second router of the deployment as a separate process. */
async function startProcess(deployment: Deployment): Promise<FleetRouter> {
  return Fleets.startRouter(1, 1, deployment.platformAddress, []);
}

export interface RouterRun {
  readonly deployment: Deployment;
  readonly router: FleetRouter;
}

/** Starts the deployment and the router process, and stops both also if the check fails. */
export async function runWithRouter(
  options: Deployments.DeploymentOptions,
  check: (run: RouterRun) => Promise<void>,
): Promise<void> {
  const deployment = await Deployments.startDeployment(options);
  try {
    const router = await startProcess(deployment);
    try {
      await check({ deployment, router });
    } finally {
      router.daemon.send('SIGCONT');
      await router.daemon.stop('SIGKILL');
    }
  } finally {
    await deployment.stop();
  }
}

async function readJson(url: string): Promise<unknown> {
  const answer = await Undici.request(url);
  return answer.body.json();
}

/** Returns the same deployment with the router process as its only router. */
export function createProcessView({ deployment, router }: RouterRun): Deployment {
  const operators = `http://${router.operators}`;
  const [inProcessRouter] = deployment.routers;
  const view: DeploymentRouter = {
    ...inProcessRouter!,
    callers: router.callers,
    dumpPlugin: async (name) =>
      (await readJson(`${operators}/state/${name}`)) as Readonly<Record<string, unknown>>,
    async explainRequest(requestId) {
      const body = await readJson(`${operators}/explain/${requestId}`);
      return (body as { readonly entries?: readonly JournalLine[] }).entries ?? [];
    },
  };
  return { ...deployment, routers: [view] };
}

/** Pauses the router process at the step for the given time while its caller waits. */
export async function runPausedRouter(
  step: StepRunner,
  pauseMs: number,
  check: (answers: readonly ReadAnswer[], view: Deployment) => Promise<void> | void,
): Promise<void> {
  const agent = new Undici.Agent();
  await runWithRouter(step.options, async (run) => {
    const view = createProcessView(run);
    const answers = await step.runStep(
      view,
      async () => {
        run.router.daemon.send('SIGSTOP');
        run.deployment.engineLink.heal();
        await run.deployment.engines[0]!.setFault({ kind: 'heal' });
        await startTimeout(pauseMs);
        run.router.daemon.send('SIGCONT');
      },
      agent,
    );
    await check(answers, view);
  }).finally(async () => agent.destroy());
}

/**
 * Reads one answer through the router process; calls `injectFault` when the engine has generated
 * `count` tokens.
 */
export async function readAnswerUnderFault(
  { deployment, router }: RouterRun,
  count: number,
  injectFault: () => Promise<void>,
): Promise<ReadAnswer> {
  const waitForToken = await GenerationSteps.delayAtToken(deployment, count);
  const answer = Answers.readAnswer({
    url: router.callers,
    apiKey: deployment.apiKey,
    prompt: Callers.PROMPT,
    maxTokens: Callers.MAX_TOKENS,
  });
  await waitForToken();
  await injectFault();
  await deployment.engines[0]!.setFault({ kind: 'unpause' });
  return answer;
}

export interface RouterLossRun {
  readonly first: OrderAnswer;
  /** Result at the deployment's in-process router, under the fault. */
  readonly retry: OrderAnswer;
  readonly runs: number;
}

export type OrderStage = 'sent' | 'answered';

/** Delay of the service's answer, during which the router is killed. */
const ANSWER_DELAY_MS = 300;

async function delayOrder(deployment: Deployment, stage: OrderStage): Promise<() => Promise<void>> {
  const service = deployment.services[0]!;
  if (stage === 'sent') {
    await service.setFault({ kind: 'pause' });
    return async () =>
      Waiting.waitUntil('the service has the order', () => service.countWaiting() === 1);
  }
  await service.setFault({ kind: 'slow', ms: ANSWER_DELAY_MS });
  return async () =>
    Waiting.waitUntil('the service ran the order', () => service.getCounters().total === 1);
}

/**
 * Kills or pauses the router that has the order at the given stage, and retries the order at the other
 * router, with a further fault injected before if one is given.
 */
export async function runRouterLoss(
  stage: OrderStage,
  signal: 'SIGKILL' | 'SIGSTOP',
  fault?: OrderFault,
): Promise<RouterLossRun> {
  let result: RouterLossRun | undefined;
  const idempotencyKey = OrderCallers.createIdempotencyKey();
  const agent = new Undici.Agent();
  await runWithRouter({ engines: 1 }, async ({ deployment, router }) => {
    async function send(url: string): Promise<OrderAnswer> {
      return OrderCallers.sendOrder({ url, apiKey: deployment.apiKey, idempotencyKey, agent });
    }
    const waitForStage = await delayOrder(deployment, stage);
    const sent = send(router.callers);
    await waitForStage();
    router.daemon.send(signal);
    if (signal === 'SIGKILL') await sent;
    await fault?.inject(deployment, async () => undefined);
    if (fault?.releasesService ?? true) await deployment.services[0]!.setFault({ kind: 'unpause' });
    const retry = await send(deployment.routers[0]!.callers);
    await fault?.followUp?.(deployment, () => true);
    await OrderCells.removeFaults(deployment);
    router.daemon.send('SIGCONT');
    const first = await sent;
    await send(deployment.routers[0]!.callers);
    result = { first, retry, runs: OrderCallers.countRuns(deployment, idempotencyKey) };
  });
  await agent.destroy();
  return result!;
}
