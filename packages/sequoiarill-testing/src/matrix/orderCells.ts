/** Runs one cell of an order: sends the order under the fault, then retries with the same key. */
import * as Undici from 'undici';

import * as OrderCallers from './orderCallers';
import type { OrderAnswer } from './orderCallers';
import type { OrderFault } from './orderFaults';
import type { OrderStep } from './steps';
import * as Waiting from './waiting';
import * as Deployments from './deployment';
import type { Deployment } from './deployment';

export interface OrderCellRun {
  /** Result of the first order, as its caller got it. */
  readonly first: OrderAnswer;
  /** Number of runs before the retry; outside the retry steps the fault has been cleared by then. */
  readonly runsBeforeRetry: number;
  readonly retry: OrderAnswer;
  readonly runsAfterRetry: number;
  /** Final result, after the fault was cleared and retries no longer get `not-run` or `not-sent`. */
  readonly final: OrderAnswer;
  readonly runsAfter: number;
}

export interface OrderStepRunner {
  readonly code: OrderStep;
  readonly routers: number;
  /** Index of the router that gets the retry. */
  readonly retryRouter: number;
  readonly runStep: (run: StepRun) => Promise<OrderAnswer>;
}

interface StepRun {
  readonly deployment: Deployment;
  readonly injectFault: () => Promise<void>;
  /** Sends the order; delays the second half of its body until `released` resolves. */
  readonly send: (released?: Promise<void>) => Promise<OrderAnswer>;
  readonly fault: OrderFault;
}

/** Delay of the service's answer in the step `answered`. */
const ANSWER_DELAY_MS = 150;

async function runAccepted({ deployment, injectFault, send }: StepRun): Promise<OrderAnswer> {
  let release: () => void = () => undefined;
  const answer = send(
    new Promise((resolve) => {
      release = resolve;
    }),
  );
  await Waiting.waitUntil(
    'the router has half of the order',
    async () => (await Deployments.countOpenRequests(deployment.routers[0]!)) === 1,
  );
  await injectFault();
  release();
  return answer;
}

async function runClaimed({ deployment, injectFault, send, fault }: StepRun): Promise<OrderAnswer> {
  await deployment.platform.setFault({ kind: 'hang' });
  const answer = send();
  await Waiting.waitUntil('the order waits for its claim', async () => {
    const { openOrders } = await deployment.routers[0]!.dumpPlugin('orders');
    return openOrders === 1;
  });
  await injectFault();
  if (fault.releasesPlatform) await deployment.platform.setFault({ kind: 'up' });
  return answer;
}

async function runSent({ deployment, injectFault, send, fault }: StepRun): Promise<OrderAnswer> {
  const service = deployment.services[0]!;
  await service.setFault({ kind: 'pause' });
  const answer = send();
  await Waiting.waitUntil('the service has the order', () => service.countWaiting() === 1);
  await injectFault();
  if (fault.releasesService) await service.setFault({ kind: 'unpause' });
  return answer;
}

async function runAnswered({ deployment, injectFault, send }: StepRun): Promise<OrderAnswer> {
  const service = deployment.services[0]!;
  await service.setFault({ kind: 'slow', ms: ANSWER_DELAY_MS });
  const answer = send();
  await Waiting.waitUntil('the service ran the order', () => service.getCounters().total === 1);
  await injectFault();
  return answer;
}

async function runAnswerLost({ deployment, injectFault, send }: StepRun): Promise<OrderAnswer> {
  const service = deployment.services[0]!;
  await service.setFault({ kind: 'loseAnswers', count: 1 });
  const answer = send();
  await Waiting.waitUntil('the service ran the order', () => service.getCounters().total === 1);
  await injectFault();
  return answer;
}

/** The first order is undisturbed; the fault is injected between it and the retry. */
async function runRetried({ injectFault, send }: StepRun): Promise<OrderAnswer> {
  const answer = await send();
  await injectFault();
  return answer;
}

export const ORDER_STEP_RUNNERS: readonly OrderStepRunner[] = [
  { code: 'O1', routers: 2, retryRouter: 0, runStep: runAccepted },
  { code: 'O2', routers: 2, retryRouter: 0, runStep: runClaimed },
  { code: 'O3', routers: 2, retryRouter: 0, runStep: runSent },
  { code: 'O4', routers: 2, retryRouter: 0, runStep: runAnswered },
  { code: 'O5', routers: 2, retryRouter: 0, runStep: runAnswerLost },
  { code: 'O6', routers: 2, retryRouter: 0, runStep: runRetried },
  { code: 'O7', routers: 2, retryRouter: 1, runStep: runRetried },
];

/** Clears every fault. */
export async function removeFaults(deployment: Deployment): Promise<void> {
  deployment.serviceLink.heal();
  await deployment.platform.setFault({ kind: 'up' });
  for (const service of deployment.services) await service.setFault({ kind: 'revive' });
}

/** Retries until the outcome is final, and returns that answer. */
export async function sendUntilSettled(send: () => Promise<OrderAnswer>): Promise<OrderAnswer> {
  let answer = await send();
  await Waiting.waitUntil('the outcome of a retried order is final', async () => {
    if (answer.outcome === 'not-run' || answer.outcome === 'not-sent') answer = await send();
    return answer.outcome === 'done' || answer.outcome === 'unknown';
  });
  return answer;
}

/**
 * The steps O6 and O7 retry under the fault, all others after it was cleared. If the first router has
 * stopped or the caller's connections to it are closed, the second router gets the retry.
 */
export async function runOrderCell(
  step: OrderStepRunner,
  fault: OrderFault,
  serviceTimeoutMs?: number,
): Promise<OrderCellRun> {
  const limits = serviceTimeoutMs === undefined ? {} : { serviceTimeoutMs };
  const deployment = await Deployments.startDeployment({
    routers: step.routers,
    engines: 1,
    ...limits,
  });
  const agents = [new Undici.Agent(), new Undici.Agent()] as const;
  const idempotencyKey = OrderCallers.createIdempotencyKey();
  let isDone = false;
  let followUpTask: Promise<void> | undefined;

  async function send(router: number, released?: Promise<void>): Promise<OrderAnswer> {
    return OrderCallers.sendOrder({
      url: deployment.routers[router]!.callers,
      apiKey: deployment.apiKey,
      idempotencyKey,
      agent: agents[router]!,
      ...(released && { released }),
    });
  }

  async function applyFault(): Promise<void> {
    await fault.inject(deployment, async () => agents[0].destroy());
    followUpTask = fault.followUp?.(deployment, () => isDone);
    followUpTask?.catch(() => undefined);
  }

  try {
    const first = await step.runStep({
      deployment,
      injectFault: applyFault,
      fault,
      send: (released) => send(0, released),
    });
    const isRetryStep = step.code === 'O6' || step.code === 'O7';
    isDone = !isRetryStep;
    if (!isRetryStep) {
      await followUpTask;
      await removeFaults(deployment);
    }
    const runsBeforeRetry = OrderCallers.countRuns(deployment, idempotencyKey);
    const usesSecondRouter = fault.code === 'C1' || fault.code === 'R3';
    const retryRouter = usesSecondRouter ? 1 : step.retryRouter;
    const retry = await send(retryRouter);
    const runsAfterRetry = OrderCallers.countRuns(deployment, idempotencyKey);
    isDone = true;
    await followUpTask;
    await removeFaults(deployment);
    const final = await sendUntilSettled(async () => send(retryRouter));
    const runsAfter = OrderCallers.countRuns(deployment, idempotencyKey);
    return { first, runsBeforeRetry, retry, runsAfterRetry, final, runsAfter };
  } finally {
    isDone = true;
    await Promise.all(agents.map((agent) => agent.destroy()));
    await deployment.stop();
  }
}
