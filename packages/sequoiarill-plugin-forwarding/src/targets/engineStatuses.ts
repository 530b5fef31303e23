/**
 * Queries engines for their load and, for a caller that resumes a stream, for their cached prompts.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { EngineReport, ForwardingTarget, PromptPart } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';

/** What one engine reported when it was queried. */
export interface EngineStatus {
  readonly target: ForwardingTarget;
  /** Undefined where no response came in time. */
  readonly report: EngineReport | undefined;
  /**
   * Tokens of the prompt in its KV cache; undefined where this was not queried, or no response came
   * in time.
   */
  readonly cachedTokens: number | undefined;
  /** Milliseconds until each response; undefined where there was none. */
  readonly reportMs: number | undefined;
  readonly cachedPartsMs: number | undefined;
}

type PendingStatus = { -readonly [Field in keyof EngineStatus]: EngineStatus[Field] };

/** Responses within a zone take about a millisecond, between zones a few. */
const STATUS_TIMEOUT_MS = 40;
/**
 * Failure: after the crash of a zone, engines or this router are short of processor time, and
 * responses take 60 ms. A resumed stream is then sent to an engine without its prompt, where
 * prefilling it again takes a second or more and delays other prompts. So a resumed stream waits
 * longer, until an engine with its prompt is found.
 */
const RESUME_STATUS_TIMEOUT_MS = 250;

/**
 * Only the prompt of a resumed stream can be cached as a whole, so engines are not queried for the
 * prompts of other requests.
 */
function isResumeWithPrompt({ lastEventId, promptParts }: ForwardRequest): boolean {
  return lastEventId !== undefined && promptParts.length > 0;
}

function countTokens(promptParts: readonly PromptPart[]): number {
  return promptParts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * Returns when all engines have responded or timed out. A resumed stream returns earlier, once its
 * prompt is found and the usual timeout has passed.
 */
export async function readStatuses(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  sample: readonly ForwardingTarget[],
): Promise<readonly EngineStatus[]> {
  const { clock } = dependencies;
  const { promptParts } = request;
  const isResume = isResumeWithPrompt(request);
  const timeoutMs = isResume ? RESUME_STATUS_TIMEOUT_MS : STATUS_TIMEOUT_MS;
  const startedMs = clock.getNowMs();
  const statuses = sample.map((target): PendingStatus => ({
    target,
    report: undefined,
    cachedTokens: undefined,
    reportMs: undefined,
    cachedPartsMs: undefined,
  }));

  async function readLoad(status: PendingStatus): Promise<void> {
    status.report = await dependencies.readReport(status.target, timeoutMs);
    if (status.report !== undefined) status.reportMs = clock.getNowMs() - startedMs;
  }

  async function readCachedTokens(status: PendingStatus): Promise<void> {
    const cachedParts = await dependencies.readCachedParts(status.target, timeoutMs);
    if (cachedParts === undefined) return;
    status.cachedTokens = Decisions.computeCachedTokens(promptParts, cachedParts);
    status.cachedPartsMs = clock.getNowMs() - startedMs;
  }

  function isHolder({ report, cachedTokens }: PendingStatus): boolean {
    return report?.isLeaving === false && cachedTokens === countTokens(promptParts);
  }

  if (!isResume) {
    await Promise.all(statuses.map(readLoad));
    return statuses;
  }
  await new Promise<void>((resolve, reject) => {
    const resolveWhenFound = () => {
      if (clock.getNowMs() - startedMs >= STATUS_TIMEOUT_MS && statuses.some(isHolder)) resolve();
    };
    const reads = statuses.map(async (status) => {
      await Promise.all([readLoad(status), readCachedTokens(status)]);
      resolveWhenFound();
    });
    clock.waitMs(STATUS_TIMEOUT_MS).then(resolveWhenFound, reject);
    Promise.all(reads).then(() => resolve(), reject);
  });
  // Copies, since late responses must not change the input of the decision.
  return statuses.map((status) => ({ ...status }));
}
