/** Asks engines for their load and, for a caller that comes back, for the prompts that they keep. */
import * as Decisions from '@sequoiarill/decisions';
import type { EngineReport, ForwardingTarget, PromptPart } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';

/** What one engine said when it was asked. */
export interface EngineAnswer {
  readonly target: ForwardingTarget;
  /** Undefined where it did not answer in time. */
  readonly report: EngineReport | undefined;
  /** Tokens of the prompt; undefined where it was not asked, or did not tell in time. */
  readonly keptTokens: number | undefined;
  /** Milliseconds that each answer took; undefined where there was none. */
  readonly reportMs: number | undefined;
  readonly keptMs: number | undefined;
}

type Asked = { -readonly [Field in keyof EngineAnswer]: EngineAnswer[Field] };

/** Answers within a zone take a millisecond, between zones some. */
const ANSWER_LIMIT_MS = 40;
/**
 * Failure: engines or this router are short of processor time, as after the crash of a zone, and answer in
 * sixty milliseconds. A caller that comes back is sent elsewhere, and its prompt is read again for a second
 * or more while other prompts wait behind it. So it is worth a longer wait, until its prompt is found.
 */
const REST_LIMIT_MS = 250;

/** Only a caller that comes back for the rest of a stream can have a prompt kept anywhere. */
function isAskedForRest({ lastEventId, promptParts }: ForwardRequest): boolean {
  return lastEventId !== undefined && promptParts.length > 0;
}

function countTokens(promptParts: readonly PromptPart[]): number {
  return promptParts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Ends when all have answered or their time is up, for a prompt that was found after the usual time. */
export async function readAnswers(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  sample: readonly ForwardingTarget[],
): Promise<readonly EngineAnswer[]> {
  const { clock } = dependencies;
  const { promptParts } = request;
  const isRest = isAskedForRest(request);
  const limitMs = isRest ? REST_LIMIT_MS : ANSWER_LIMIT_MS;
  const startedMs = clock.getNowMs();
  const answers = sample.map((target): Asked => ({
    target,
    report: undefined,
    keptTokens: undefined,
    reportMs: undefined,
    keptMs: undefined,
  }));

  async function readLoad(answer: Asked): Promise<void> {
    answer.report = await dependencies.readReport(answer.target, limitMs);
    if (answer.report !== undefined) answer.reportMs = clock.getNowMs() - startedMs;
  }

  async function readKept(answer: Asked): Promise<void> {
    const kept = await dependencies.readCachedParts(answer.target, limitMs);
    if (kept === undefined) return;
    answer.keptTokens = Decisions.computeCachedTokens(promptParts, kept);
    answer.keptMs = clock.getNowMs() - startedMs;
  }

  function isKeeper({ report, keptTokens }: Asked): boolean {
    return report?.isLeaving === false && keptTokens === countTokens(promptParts);
  }

  if (!isRest) {
    await Promise.all(answers.map(readLoad));
    return answers;
  }
  await new Promise<void>((resolve, reject) => {
    const checkFound = () => {
      if (clock.getNowMs() - startedMs >= ANSWER_LIMIT_MS && answers.some(isKeeper)) resolve();
    };
    const reads = answers.map(async (answer) => {
      await Promise.all([readLoad(answer), readKept(answer)]);
      checkFound();
    });
    clock.waitMs(ANSWER_LIMIT_MS).then(checkFound, reject);
    Promise.all(reads).then(() => resolve(), reject);
  });
  // What comes later than the decision is not part of it.
  return answers.map((answer) => ({ ...answer }));
}
