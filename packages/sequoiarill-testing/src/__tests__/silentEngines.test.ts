import { describe, it } from 'node:test';
import { setTimeout as startTimeout } from 'node:timers/promises';

import { expect } from 'earl';

import type { ReadAnswer } from '../answers';
import * as Callers from '../matrix/callers';
import * as GenerationSteps from '../matrix/generationSteps';
import * as Waiting from '../matrix/waiting';
import * as Deployments from '../matrix/deployment';
import type { Deployment } from '../matrix/deployment';

/** Each concurrent test has its own deployment. */
const CONCURRENCY = 4;
const STREAMS = 4;
/** Every further run reads its prompt again; a few are allowed to engines that resume later. */
const MAX_RUNS = 1.3 * STREAMS;
/** Longer than the longest stall limit of the preference for a fast continuation (900 ms). */
const SHORT_SILENCE_MS = 1_300;
/** Longer than a stall limit and the limit for a first token after it. */
const LONG_SILENCE_MS = 3_000;
const TOKENS_BETWEEN_SILENCES = 4;

/** Long enough for every answer to outlast all silences on a busy machine. */
const MAX_TOKENS = 150;
const STEP_MS = 8;

interface StreamRun {
  readonly baseline: ReadAnswer;
  readonly answers: readonly ReadAnswer[];
  /** Runs that engines began for these answers. */
  readonly runs: number;
}

function countTokens(deployment: Deployment): number {
  return deployment.engines.reduce((sum, engine) => sum + engine.getCounters().tokensGenerated, 0);
}

async function waitForTokens(deployment: Deployment, more: number): Promise<void> {
  const previous = countTokens(deployment);
  await Waiting.waitUntil(`${more} more tokens`, () => countTokens(deployment) >= previous + more);
}

async function injectSilence(deployment: Deployment, ms: number): Promise<void> {
  const { engines } = deployment;
  await Promise.all(engines.map((engine) => engine.setFault({ kind: 'pause' })));
  await startTimeout(ms);
  await Promise.all(engines.map((engine) => engine.setFault({ kind: 'unpause' })));
}

function countRuns({ engines }: Deployment): number {
  return engines.reduce((sum, engine) => sum + engine.getCounters().requests, 0);
}

async function readAnswer(deployment: Deployment, onText?: () => void): Promise<ReadAnswer> {
  return Callers.readAnswer(deployment, { maxTokens: MAX_TOKENS, ...(onText && { onText }) });
}

async function runWithDeployment(
  engines: number,
  run: (deployment: Deployment, baseline: ReadAnswer) => Promise<void>,
): Promise<void> {
  const engineSettings = { ...Deployments.ENGINE_DEFAULTS, stepMs: STEP_MS };
  const deployment = await Deployments.startDeployment({ engines, engineSettings });
  try {
    await run(deployment, await readAnswer(deployment));
  } finally {
    await deployment.stop();
  }
}

/** Injects faults while several answers are under way, and reads these to their end. */
async function runStreams(
  engines: number,
  injectFaults: (deployment: Deployment) => Promise<void>,
): Promise<StreamRun> {
  let result: StreamRun | undefined;
  await runWithDeployment(engines, async (deployment, baseline) => {
    const previousRuns = countRuns(deployment);
    const begun = new Set<number>();
    const reading = Array.from({ length: STREAMS }, (_unused, index) =>
      readAnswer(deployment, () => begun.add(index)),
    );
    await Waiting.waitUntil('every answer has begun', () => begun.size === STREAMS);
    await injectFaults(deployment);
    const answers = await Promise.all(reading);
    result = { baseline, answers, runs: countRuns(deployment) - previousRuns };
  });
  return result!;
}

function checkComplete({ baseline, answers }: Omit<StreamRun, 'runs'>): void {
  for (const answer of answers) {
    expect(answer.error).toEqual(undefined);
    expect(answer.text).toEqual(baseline.text);
    expect(answer.completionTokens).toEqual(MAX_TOKENS);
    expect(answer.finishReason).toEqual(baseline.finishReason);
  }
}

// Guards against a router that takes the silence of a sound engine for its loss: the engine's attempt
// was aborted before it was known whether another engine can go on, and the answer ended when all
// engines had been given up.
describe('engines that fall silent together and go on', { concurrency: CONCURRENCY }, () => {
  const silences = [
    { engines: 3, count: 4, ms: SHORT_SILENCE_MS },
    { engines: 2, count: 1, ms: LONG_SILENCE_MS },
    { engines: 1, count: 2, ms: LONG_SILENCE_MS },
  ];
  for (const { engines, count, ms } of silences) {
    it(`end no answer: ${engines} engines, ${count} times ${ms} ms`, async () => {
      const run = await runStreams(engines, async (deployment) => {
        for (let silence = 0; silence < count; silence += 1) {
          await injectSilence(deployment, ms);
          if (silence < count - 1) await waitForTokens(deployment, TOKENS_BETWEEN_SILENCES);
        }
      });
      checkComplete(run);
      expect(run.runs <= MAX_RUNS).toEqual(true);
    });
  }

  it('end no answer before its first token', async () => {
    // The request reaches engines that are silent already, and the silence outlasts the limit for a
    // first token at each of them.
    await runWithDeployment(2, async (deployment, baseline) => {
      const silence = injectSilence(deployment, 2 * LONG_SILENCE_MS);
      const answer = await readAnswer(deployment);
      await silence;
      checkComplete({ baseline, answers: [answer] });
    });
  });

  it('end no answer whose engine is killed meanwhile', async () => {
    // The connection of the killed engine ends, so another engine has to go on as soon as it speaks.
    const run = await runStreams(2, async (deployment) => {
      const { engines, engineLink } = deployment;
      await Promise.all(engines.map((engine) => engine.setFault({ kind: 'pause' })));
      await startTimeout(SHORT_SILENCE_MS);
      await engines[0]!.setFault({ kind: 'die' });
      engineLink.reset();
      await startTimeout(LONG_SILENCE_MS);
      await engines[1]!.setFault({ kind: 'unpause' });
    });
    checkComplete(run);
  });
});

describe('an engine that falls silent alone', { concurrency: CONCURRENCY }, () => {
  it('has its stream continued by another engine before it speaks again', async () => {
    // Guards against waiting for an engine that may stay silent although another one can go on.
    await runWithDeployment(2, async (deployment, baseline) => {
      const waitForToken = await GenerationSteps.delayAtToken(deployment, 3);
      const reading = readAnswer(deployment);
      await waitForToken();
      await deployment.engines[0]!.setFault({ kind: 'pause' });
      checkComplete({ baseline, answers: [await reading] });
      expect(deployment.engines[1]!.getCounters().requests).toEqual(1);
    });
  });

  it('gets its stream back when the engine that went on is lost', async () => {
    // Guards against an answer that ends although the engine that was silent earlier is sound.
    await runWithDeployment(2, async (deployment, baseline) => {
      const [first, second] = deployment.engines;
      const waitForToken = await GenerationSteps.delayAtToken(deployment, 3);
      const reading = readAnswer(deployment);
      await waitForToken();
      await first!.setFault({ kind: 'pause' });
      await Waiting.waitUntil('the other engine goes on', () => second!.getLoad().running > 0);
      await first!.setFault({ kind: 'unpause' });
      await waitForTokens(deployment, TOKENS_BETWEEN_SILENCES);
      await second!.setFault({ kind: 'die' });
      checkComplete({ baseline, answers: [await reading] });
    });
  });
});
