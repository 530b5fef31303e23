/** Runs one cell of an order: the order under the fault, then a repeat with the same key. */
import * as Undici from 'undici';

import * as OrderCallers from './orderCallers';
import type { OrderAnswer } from './orderCallers';
import type { OrderFault } from './orderFaults';
import type { OrderStep } from './steps';
import * as Waiting from './waiting';
import * as Worlds from './world';
import type { World } from './world';

export interface OrderCellRun {
  /** What the caller of the first sending was told. */
  readonly first: OrderAnswer;
  /** Runs before the repeat, once everything has healed. */
  readonly runsBefore: number;
  readonly repeat: OrderAnswer;
  readonly runsAfterRepeat: number;
  /** The answer that stands, once the faults have ended and repeats say no more to come back. */
  readonly final: OrderAnswer;
  readonly runsAfter: number;
}

export interface OrderStepRunner {
  readonly code: OrderStep;
  readonly routers: number;
  /** Router of the repeat. */
  readonly repeatAt: number;
  readonly runStep: (run: StepRun) => Promise<OrderAnswer>;
}

interface StepRun {
  readonly world: World;
  readonly strike: () => Promise<void>;
  /** Sends the order; its body's second half waits for `released`. */
  readonly send: (released?: Promise<void>) => Promise<OrderAnswer>;
  readonly fault: OrderFault;
}

/** How long the service of the step `answered` keeps its answer, in milliseconds. */
const ANSWER_MS = 150;

async function runAccepted({ world, strike, send }: StepRun): Promise<OrderAnswer> {
  let release: () => void = () => undefined;
  const answer = send(
    new Promise((resolve) => {
      release = resolve;
    }),
  );
  await Waiting.waitUntil(
    'the router has half of the order',
    async () => (await Worlds.countOpenRequests(world.routers[0]!)) === 1,
  );
  await strike();
  release();
  return answer;
}

async function runClaimed({ world, strike, send, fault }: StepRun): Promise<OrderAnswer> {
  await world.platform.setFault({ kind: 'hang' });
  const answer = send();
  await Waiting.waitUntil('the order claims', async () => {
    const { openOrders } = await world.routers[0]!.dumpPlugin('orders');
    return openOrders === 1;
  });
  await strike();
  if (fault.releasesPlatform) await world.platform.setFault({ kind: 'up' });
  return answer;
}

async function runSent({ world, strike, send, fault }: StepRun): Promise<OrderAnswer> {
  const service = world.services[0]!;
  await service.setFault({ kind: 'pause' });
  const answer = send();
  await Waiting.waitUntil('the service has the order', () => service.countWaiting() === 1);
  await strike();
  if (fault.releasesService) await service.setFault({ kind: 'unpause' });
  return answer;
}

async function runAnswered({ world, strike, send }: StepRun): Promise<OrderAnswer> {
  const service = world.services[0]!;
  await service.setFault({ kind: 'slow', ms: ANSWER_MS });
  const answer = send();
  await Waiting.waitUntil('the service ran it', () => service.getCounters().total === 1);
  await strike();
  return answer;
}

async function runAnswerLost({ world, strike, send }: StepRun): Promise<OrderAnswer> {
  const service = world.services[0]!;
  await service.setFault({ kind: 'loseAnswers', count: 1 });
  const answer = send();
  await Waiting.waitUntil('the service ran it', () => service.getCounters().total === 1);
  await strike();
  return answer;
}

/** The first sending is undisturbed; the fault strikes between it and the repeat. */
async function runRepeated({ strike, send }: StepRun): Promise<OrderAnswer> {
  const answer = await send();
  await strike();
  return answer;
}

export const ORDER_STEP_RUNNERS: readonly OrderStepRunner[] = [
  { code: 'O1', routers: 2, repeatAt: 0, runStep: runAccepted },
  { code: 'O2', routers: 2, repeatAt: 0, runStep: runClaimed },
  { code: 'O3', routers: 2, repeatAt: 0, runStep: runSent },
  { code: 'O4', routers: 2, repeatAt: 0, runStep: runAnswered },
  { code: 'O5', routers: 2, repeatAt: 0, runStep: runAnswerLost },
  { code: 'O6', routers: 2, repeatAt: 0, runStep: runRepeated },
  { code: 'O7', routers: 2, repeatAt: 1, runStep: runRepeated },
];

/** Ends every fault, and waits until nothing of the order is on its way any more. */
export async function removeFaults(world: World): Promise<void> {
  world.serviceLink.heal();
  await world.platform.setFault({ kind: 'up' });
  for (const service of world.services) await service.setFault({ kind: 'revive' });
}

/** Repeats for as long as the answer says to come back; the first answer that doesn't is the last. */
export async function sendUntilSettled(send: () => Promise<OrderAnswer>): Promise<OrderAnswer> {
  let answer = await send();
  await Waiting.waitUntil('a repeated order is answered for good', async () => {
    if (answer.outcome === 'not-run' || answer.outcome === 'not-sent') answer = await send();
    return answer.outcome === 'done' || answer.outcome === 'unknown';
  });
  return answer;
}

/**
 * Steps of repeats (`O6`, `O7`) repeat under the fault, all others once it has ended. After the
 * planned stop of the first router, the second one has the repeat.
 */
export async function runOrderCell(
  step: OrderStepRunner,
  fault: OrderFault,
  serviceTimeoutMs?: number,
): Promise<OrderCellRun> {
  const limits = serviceTimeoutMs === undefined ? {} : { serviceTimeoutMs };
  const world = await Worlds.startWorld({ routers: step.routers, engines: 1, ...limits });
  const agents = [new Undici.Agent(), new Undici.Agent()] as const;
  const idempotencyKey = OrderCallers.createIdempotencyKey();
  let isDone = false;
  let followed: Promise<void> | undefined;

  async function send(router: number, released?: Promise<void>): Promise<OrderAnswer> {
    return OrderCallers.sendOrder({
      url: world.routers[router]!.callers,
      apiKey: world.apiKey,
      idempotencyKey,
      agent: agents[router]!,
      ...(released && { released }),
    });
  }

  async function applyFault(): Promise<void> {
    await fault.strike(world, async () => agents[0].destroy());
    followed = fault.follow?.(world, () => isDone);
    followed?.catch(() => undefined);
  }

  try {
    const first = await step.runStep({
      world,
      strike: applyFault,
      fault,
      send: (released) => send(0, released),
    });
    const isRepeatStep = step.code === 'O6' || step.code === 'O7';
    isDone = !isRepeatStep;
    if (!isRepeatStep) {
      await followed;
      await removeFaults(world);
    }
    const runsBefore = OrderCallers.countRuns(world, idempotencyKey);
    const hasLeft = fault.code === 'C1' || fault.code === 'R3';
    const repeatAt = hasLeft ? 1 : step.repeatAt;
    const repeat = await send(repeatAt);
    const runsAfterRepeat = OrderCallers.countRuns(world, idempotencyKey);
    isDone = true;
    await followed;
    await removeFaults(world);
    const final = await sendUntilSettled(async () => send(repeatAt));
    const runsAfter = OrderCallers.countRuns(world, idempotencyKey);
    return { first, runsBefore, repeat, runsAfterRepeat, final, runsAfter };
  } finally {
    isDone = true;
    await Promise.all(agents.map((agent) => agent.destroy()));
    await world.stop();
  }
}
