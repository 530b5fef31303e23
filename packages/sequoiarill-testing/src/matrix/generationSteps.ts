/** Brings a generation to a step, injects a fault there, and reads the caller's answer. */
import * as Undici from 'undici';

import type { ReadAnswer } from '../answers';
import * as Callers from './callers';
import type { GenerationStep } from './steps';
import * as Waiting from './waiting';
import * as Deployments from './deployment';
import type { Deployment, DeploymentOptions } from './deployment';

/** Called once, at the step. */
export type InjectFault = () => Promise<void>;
/** Returns the disturbed answer first; its caller's connections belong to the agent. */
export type RunStep = (
  deployment: Deployment,
  injectFault: InjectFault,
  agent: Undici.Agent,
) => Promise<readonly ReadAnswer[]>;

export interface StepRunner {
  readonly code: GenerationStep;
  readonly options: DeploymentOptions;
  readonly runStep: RunStep;
}

export const EARLY_TOKENS = 3;
export const LATE_TOKENS = Callers.MAX_TOKENS - 4;
/** Generations of one model that a router admits at a time in the step with few slots. */
const ADMITTED_GENERATIONS = 8;
/** Pieces of text after which the link stalls. */
const STALL_AFTER_PIECES = 10;

async function runAccepted(
  deployment: Deployment,
  injectFault: InjectFault,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  let release: () => void = () => undefined;
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  const dispatcher = Callers.createDelayingDispatcher(agent, released);
  const answer = Callers.readAnswer(deployment, { dispatcher });
  await Waiting.waitUntil(
    'the router has half of the request',
    async () => (await Deployments.countOpenRequests(deployment.routers[0]!)) === 1,
  );
  await injectFault();
  release();
  return [await answer];
}

async function runQueued(
  deployment: Deployment,
  injectFault: InjectFault,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  const first = deployment.engines[0]!;
  await Promise.all(
    deployment.engines.map((engine) => engine.setFault({ kind: 'stallAfterTokens', count: 1 })),
  );
  const running = Array.from({ length: ADMITTED_GENERATIONS }, () =>
    Callers.readAnswer(deployment),
  );
  await Waiting.waitUntil(
    'the model queue is full',
    async () => (await getModelQueue(deployment)).running === ADMITTED_GENERATIONS,
  );
  const queued = Callers.readAnswer(deployment, { dispatcher: agent });
  await Waiting.waitUntil(
    'a request is queued',
    async () => (await getModelQueue(deployment)).queued === 1,
  );
  await injectFault();
  const others = deployment.engines.filter((engine) => engine !== first);
  await Promise.all(others.map((engine) => engine.setFault({ kind: 'heal' })));
  return Promise.all([queued, ...running]);
}

async function getModelQueue(
  deployment: Deployment,
): Promise<{ readonly running?: number; readonly queued?: number }> {
  const { lanes } = await deployment.routers[0]!.dumpPlugin('generations');
  return (lanes as readonly { running: number; queued: number }[])[0] ?? {};
}

async function runUnsent(
  deployment: Deployment,
  injectFault: InjectFault,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  deployment.engineLink.stall();
  const answer = Callers.readAnswer(deployment, { dispatcher: agent });
  await Waiting.waitUntil('the request is dispatched', async () => {
    const { running } = await deployment.routers[0]!.dumpPlugin('generations');
    return running === 1 && deployment.engineLink.getCounters().connectionsOpen > 0;
  });
  await injectFault();
  return [await answer];
}

async function runDispatched(
  deployment: Deployment,
  injectFault: InjectFault,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  const [engine] = deployment.engines;
  const answer = Callers.readAnswer(deployment, { dispatcher: agent });
  await Waiting.waitUntil('the engine has the request', () => engine!.getLoad().running === 1);
  if (engine!.getCounters().tokensGenerated > 0) throw new Error('the first token came too early');
  await injectFault();
  return [await answer];
}

/** Stalls the engine as soon as it has generated the given number of tokens. */
export async function delayAtToken(
  deployment: Deployment,
  count: number,
): Promise<() => Promise<void>> {
  const engine = deployment.engines[0]!;
  const previous = engine.getCounters().tokensGenerated;
  await engine.setFault({ kind: 'stallAfterTokens', count });
  return async () =>
    Waiting.waitUntil(
      `the engine has made ${count} tokens`,
      () => engine.getCounters().tokensGenerated - previous >= count,
    );
}

function createStreamingStep(count: number): RunStep {
  return async function runStreaming(deployment, injectFault, agent) {
    const waitForToken = await delayAtToken(deployment, count);
    const answer = Callers.readAnswer(deployment, { dispatcher: agent });
    await waitForToken();
    await injectFault();
    return [await answer];
  };
}

async function runUnacknowledged(
  deployment: Deployment,
  injectFault: InjectFault,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  const [engine] = deployment.engines;
  const answer = Callers.readAnswer(deployment, {
    dispatcher: agent,
    onText(_text, count) {
      if (count === STALL_AFTER_PIECES) deployment.engineLink.stall();
    },
  });
  await Waiting.waitUntil('the engine has finished', () => {
    const { tokensGenerated } = engine!.getCounters();
    return tokensGenerated >= Callers.MAX_TOKENS && engine!.getLoad().running === 0;
  });
  await injectFault();
  return [await answer];
}

/** Converts the response to the form of a chat answer, so that all steps are compared alike. */
async function runResumed(
  deployment: Deployment,
  injectFault: InjectFault,
  agent: Undici.Agent,
): Promise<readonly ReadAnswer[]> {
  const waitForToken = await delayAtToken(deployment, EARLY_TOKENS + 1);
  const opened = Callers.readResponse(deployment, { disconnectAfter: 1 });
  await waitForToken();
  const first = await opened;
  await injectFault();
  const second = await Callers.readResponse(deployment, { resumeFrom: first, agent });
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

/** The step `cancelled` (G9) is missing: its caller has disconnected, so there is no answer to compare. */
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
