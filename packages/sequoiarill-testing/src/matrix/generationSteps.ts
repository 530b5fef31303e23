/** Brings a generation to a step, strikes there, and reads what its caller gets. */
import * as Undici from 'undici';

import type { ReadAnswer } from '../answers';
import * as Callers from './callers';
import type { GenerationStep } from './steps';
import * as Waiting from './waiting';
import type { World, WorldOptions } from './world';

/** Called at the step, once. */
export type Strike = () => Promise<void>;
/** The struck answer comes first; its caller's connections are the agent's. */
export type RunStep = (
  world: World,
  strike: Strike,
  agent: Undici.Agent,
) => Promise<readonly ReadAnswer[]>;

export interface StepRunner {
  readonly code: GenerationStep;
  readonly options: WorldOptions;
  readonly runStep: RunStep;
}

export const EARLY_TOKENS = 3;
export const LATE_TOKENS = Callers.MAX_TOKENS - 4;
/** Generations of one model that a router of the matrix admits at once, with few slots. */
const ADMITTED = 8;
/** Pieces after which the link holds back the rest of an answer. */
const HELD_AFTER_PIECES = 10;

async function runAccepted(
  world: World,
  strike: Strike,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  let release: () => void = () => undefined;
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  const dispatcher = Callers.createHoldingDispatcher(agent, released);
  const answer = Callers.readAnswer(world, { dispatcher });
  await Waiting.waitUntil('the router has half of the request', async () => {
    const { openRequests } = await world.routers[0]!.dumpPlugin('callers');
    return openRequests === 1;
  });
  await strike();
  release();
  return [await answer];
}

async function runQueued(
  world: World,
  strike: Strike,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  const first = world.engines[0]!;
  await Promise.all(
    world.engines.map((engine) => engine.setFault({ kind: 'stallAfterTokens', count: 1 })),
  );
  const running = Array.from({ length: ADMITTED }, () => Callers.readAnswer(world));
  await Waiting.waitUntil(
    'the lane is full',
    async () => (await getLane(world)).running === ADMITTED,
  );
  const queued = Callers.readAnswer(world, { dispatcher: agent });
  await Waiting.waitUntil('a request is queued', async () => (await getLane(world)).queued === 1);
  await strike();
  const others = world.engines.filter((engine) => engine !== first);
  await Promise.all(others.map((engine) => engine.setFault({ kind: 'heal' })));
  return Promise.all([queued, ...running]);
}

async function getLane(
  world: World,
): Promise<{ readonly running?: number; readonly queued?: number }> {
  const { lanes } = await world.routers[0]!.dumpPlugin('generations');
  return (lanes as readonly { running: number; queued: number }[])[0] ?? {};
}

async function runUnsent(
  world: World,
  strike: Strike,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  world.engineLink.stall();
  const answer = Callers.readAnswer(world, { dispatcher: agent });
  await Waiting.waitUntil('the request is dispatched', async () => {
    const { running } = await world.routers[0]!.dumpPlugin('generations');
    return running === 1 && world.engineLink.getCounters().connectionsOpen > 0;
  });
  await strike();
  return [await answer];
}

async function runDispatched(
  world: World,
  strike: Strike,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  const [engine] = world.engines;
  const answer = Callers.readAnswer(world, { dispatcher: agent });
  await Waiting.waitUntil('the engine has it', () => engine!.getLoad().running === 1);
  if (engine!.getCounters().tokensGenerated > 0) throw new Error('the first token was too early');
  await strike();
  return [await answer];
}

/** The engine stands still as soon as it has made so many tokens. */
export async function delayAtToken(world: World, count: number): Promise<() => Promise<void>> {
  const engine = world.engines[0]!;
  const known = engine.getCounters().tokensGenerated;
  await engine.setFault({ kind: 'stallAfterTokens', count });
  return async () =>
    Waiting.waitUntil(
      `the engine has made ${count} tokens`,
      () => engine.getCounters().tokensGenerated - known >= count,
    );
}

function createStreamingStep(count: number): RunStep {
  return async function runStreaming(world, strike, agent) {
    const waitForToken = await delayAtToken(world, count);
    const answer = Callers.readAnswer(world, { dispatcher: agent });
    await waitForToken();
    await strike();
    return [await answer];
  };
}

async function runUnacknowledged(
  world: World,
  strike: Strike,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  const [engine] = world.engines;
  const answer = Callers.readAnswer(world, {
    dispatcher: agent,
    onText(_text, count) {
      if (count === HELD_AFTER_PIECES) world.engineLink.stall();
    },
  });
  await Waiting.waitUntil('the engine has finished', () => {
    const { tokensGenerated } = engine!.getCounters();
    return tokensGenerated >= Callers.MAX_TOKENS && engine!.getLoad().running === 0;
  });
  await strike();
  return [await answer];
}

/** In the form of a chat answer, so that all steps are compared alike. */
async function runResumed(
  world: World,
  strike: Strike,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  const waitForToken = await delayAtToken(world, EARLY_TOKENS + 1);
  const opened = Callers.readResponse(world, { leaveAfter: 1 });
  await waitForToken();
  const first = await opened;
  await strike();
  const second = await Callers.readResponse(world, { after: first, agent });
  return [
    {
      status: second.httpStatus,
      text: first.text + second.text,
      pieces: 0,
      finishReason: second.status === 'incomplete' ? 'length' : second.status,
      completionTokens: second.completionTokens,
      promptTokens: undefined,
      requestId: first.responseId,
      error: undefined,
      retryAfter: undefined,
    },
  ];
}

/** `cancelled` is not here: its caller has left, so that there is no answer to compare. */
export const STEP_RUNNERS: readonly StepRunner[] = [
  { code: 'G1', options: {}, runStep: runAccepted },
  { code: 'G2', options: { slots: 2 }, runStep: runQueued },
  { code: 'G3', options: {}, runStep: runUnsent },
  { code: 'G4', options: {}, runStep: runDispatched },
  { code: 'G5', options: {}, runStep: createStreamingStep(EARLY_TOKENS) },
  { code: 'G6', options: {}, runStep: createStreamingStep(LATE_TOKENS) },
  { code: 'G7', options: {}, runStep: createStreamingStep(Callers.MAX_TOKENS) },
  { code: 'G8', options: {}, runStep: runUnacknowledged },
  { code: 'G10', options: {}, runStep: runResumed },
];
