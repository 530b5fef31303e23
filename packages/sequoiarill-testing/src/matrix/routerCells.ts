/** Cells in which a router's process is killed or stopped: one process beside an in-process world. */
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
import * as Worlds from './world';
import type { JournalLine, World, WorldRouter } from './world';

/** A second router of the world, in a process of its own. */
async function startProcess(world: World): Promise<FleetRouter> {
  return Fleets.startRouter(1, 1, world.platformAddress, []);
}

export interface RouterRun {
  readonly world: World;
  readonly router: FleetRouter;
}

/** Starts both, and ends both whatever happens. */
export async function runWithRouter(
  options: Worlds.WorldOptions,
  check: (run: RouterRun) => Promise<void>,
): Promise<void> {
  const world = await Worlds.startWorld(options);
  try {
    const router = await startProcess(world);
    try {
      await check({ world, router });
    } finally {
      router.daemon.send('SIGCONT');
      await router.daemon.stop('SIGKILL');
    }
  } finally {
    await world.stop();
  }
}

async function readJson(url: string): Promise<unknown> {
  const answer = await Undici.request(url);
  return answer.body.json();
}

/** The same world, seen through the router's process alone. */
export function createProcessView({ world, router }: RouterRun): World {
  const operators = `http://${router.operators}`;
  const [own] = world.routers;
  const view: WorldRouter = {
    ...own!,
    callers: router.callers,
    dumpPlugin: async (name) =>
      (await readJson(`${operators}/state/${name}`)) as Readonly<Record<string, unknown>>,
    async explainRequest(requestId) {
      const body = await readJson(`${operators}/explain/${requestId}`);
      return (body as { readonly entries?: readonly JournalLine[] }).entries ?? [];
    },
  };
  return { ...world, routers: [view] };
}

/** The router's process sleeps at the step for so long, and its caller waits. */
export async function runPausedRouter(
  step: StepRunner,
  pauseMs: number,
  check: (answers: readonly ReadAnswer[], view: World) => Promise<void> | void,
): Promise<void> {
  const agent = new Undici.Agent();
  await runWithRouter(step.options, async (run) => {
    const view = createProcessView(run);
    const answers = await step.runStep(
      view,
      async () => {
        run.router.daemon.send('SIGSTOP');
        run.world.engineLink.heal();
        await run.world.engines[0]!.setFault({ kind: 'heal' });
        await startTimeout(pauseMs);
        run.router.daemon.send('SIGCONT');
      },
      agent,
    );
    await check(answers, view);
  }).finally(async () => agent.destroy());
}

/** One answer through the router's process; `strike` runs when the engine has made `count` tokens. */
export async function readStruckAnswer(
  { world, router }: RouterRun,
  count: number,
  strike: () => Promise<void>,
): Promise<ReadAnswer> {
  const waitForToken = await GenerationSteps.delayAtToken(world, count);
  const answer = Answers.readAnswer({
    url: router.callers,
    apiKey: world.apiKey,
    prompt: Callers.PROMPT,
    maxTokens: Callers.MAX_TOKENS,
  });
  await waitForToken();
  await strike();
  await world.engines[0]!.setFault({ kind: 'unpause' });
  return answer;
}

export interface OrderDeathRun {
  readonly first: OrderAnswer;
  /** Told by the world's own router, under the fault. */
  readonly repeat: OrderAnswer;
  readonly runs: number;
}

export type OrderHold = 'sent' | 'answered';

/** How long the service keeps an answer while the router dies, in milliseconds. */
const ANSWER_MS = 300;

async function delayOrder(world: World, hold: OrderHold): Promise<() => Promise<void>> {
  const service = world.services[0]!;
  if (hold === 'sent') {
    await service.setFault({ kind: 'pause' });
    return async () =>
      Waiting.waitUntil('the service has the order', () => service.countWaiting() === 1);
  }
  await service.setFault({ kind: 'slow', ms: ANSWER_MS });
  return async () =>
    Waiting.waitUntil('the service ran it', () => service.getCounters().total === 1);
}

/**
 * The router that has the order is killed or paused at the step; the caller repeats the order at
 * the other router, under one more fault if there is one.
 */
export async function runOrderDeath(
  hold: OrderHold,
  signal: 'SIGKILL' | 'SIGSTOP',
  fault?: OrderFault,
): Promise<OrderDeathRun> {
  let result: OrderDeathRun | undefined;
  const idempotencyKey = OrderCallers.createIdempotencyKey();
  const agent = new Undici.Agent();
  await runWithRouter({ engines: 1 }, async ({ world, router }) => {
    async function send(url: string): Promise<OrderAnswer> {
      return OrderCallers.sendOrder({ url, apiKey: world.apiKey, idempotencyKey, agent });
    }
    const waitForHold = await delayOrder(world, hold);
    const sent = send(router.callers);
    await waitForHold();
    router.daemon.send(signal);
    if (signal === 'SIGKILL') await sent;
    await fault?.strike(world, async () => undefined);
    if (fault?.releasesService ?? true) await world.services[0]!.setFault({ kind: 'unpause' });
    const repeat = await send(world.routers[0]!.callers);
    await fault?.follow?.(world, () => true);
    await OrderCells.removeFaults(world);
    router.daemon.send('SIGCONT');
    const first = await sent;
    await send(world.routers[0]!.callers);
    result = { first, repeat, runs: OrderCallers.countRuns(world, idempotencyKey) };
  });
  await agent.destroy();
  return result!;
}
