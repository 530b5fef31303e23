/** One attempt of a request whose answer is a stream of events. */
import type { RunProgress } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { EventBlock } from './eventBlocks';
import * as EventBlocks from './eventBlocks';
import type { AnswerHead, ForwardRequest, SendOutcome } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { ForwardingDependencies } from '../dependencies';
import type { TargetRun } from '../crashes/targetRuns';
import * as Checks from '../answers/answerChecks';
import * as AnswerEnds from '../answers/answerEnd';
import * as Sending from '../answers/sending';
import * as EnginePairs from '../targets/enginePairs';
import * as SilenceLogs from '../targets/silenceLog';
import * as RunSamples from './runSamples';
import * as SilenceProbes from './silenceProbe';
import * as SilenceWatches from './silenceWatch';
import type { AttemptTakeover } from './silenceWatch';
import type { Plan, RelayPlan } from './streamPlan';
import * as TargetCalls from '../targets/targetCall';
import type { CallEvent, TargetCall } from '../targets/targetCall';

/** Events that an attempt yields while it runs. */
export interface EventBatch {
  readonly head: AnswerHead;
  /** Complete events, at least one. */
  readonly blocks: readonly EventBlock[];
}

export type AttemptOutcome =
  | SendOutcome
  | { readonly kind: 'complete'; readonly head: AnswerHead }
  /** The request waits at its target and can't be answered before this process ends. */
  | { readonly kind: 'outOfTime' }
  /** The request waited at its target, and was taken back as it is blocked by now. */
  | { readonly kind: 'withdrawn' }
  /** The target is silent; `next` is reserved to take the run over. */
  | (Extract<SendOutcome, { kind: 'lost' }> & { readonly next: Plan | RelayPlan });

export interface AttemptOptions {
  readonly request: ForwardRequest;
  readonly target: ForwardingTarget;
  readonly extraHeaders: readonly RawHeader[];
  readonly isRepeat: boolean;
  /** Whether the answer goes on after events of an earlier attempt. */
  readonly isContinued: boolean;
  /** Whether this router has passed on events of an earlier attempt. */
  readonly isBegun: boolean;
  /** Whether another engine holds a copy of the KV cache, so that a false alarm costs little. */
  readonly hasCopy: () => boolean;
  /** Tokens that the target has to prefill before its first event. */
  readonly prefillTokens: number;
  /** Prompts that the target prefills before this one; undefined where it was not queried. */
  readonly promptsAhead: number | undefined;
  readonly takeover: AttemptTakeover;
}

const STATUS_OK = 200;
const EVENT_STREAM = 'text/event-stream';
/** Bytes without the end of an event in an answer that calls itself something else than a stream of events. */
const MAX_OTHER_BYTES = 65_536;
/** An answer of another status has begun. It is short, and a silence of its target does not end it. */
const NO_LIMIT = { silenceDeadlineMs: Number.POSITIVE_INFINITY };

/** Yields events as they are complete; returns the outcome of the attempt. */
export async function* runStreamAttempt(
  dependencies: ForwardingDependencies,
  options: AttemptOptions,
): AsyncGenerator<EventBatch, AttemptOutcome, void> {
  const { request, target, extraHeaders, isRepeat } = options;
  const call = dependencies.openCall(request, target, { extraHeaders, isRepeat });
  const run = dependencies.crashes.startRun(request, target, call.cancel);
  request.closed.addEventListener('abort', call.cancel, { once: true });
  const recordEnd = dependencies.registry.recordStart(target, {
    id: request.id,
    promptTokens: request.promptTokens,
    tokens: EnginePairs.countNeededTokens(dependencies, request),
  });
  try {
    return yield* readStream(dependencies, options, call, run);
  } finally {
    // Also runs when the consumer returns the generator early.
    run.end();
    call.cancel();
    recordEnd();
    request.closed.removeEventListener('abort', call.cancel);
  }
}

/**
 * What one event of the call means for the attempt; undefined when there is nothing to yield yet.
 */
type StepResult = EventBatch | AttemptOutcome | undefined;

async function* readStream(
  dependencies: ForwardingDependencies,
  options: AttemptOptions,
  call: TargetCall,
  run: TargetRun,
): AsyncGenerator<EventBatch, AttemptOutcome, void> {
  const reader = createStreamReader(dependencies, options, call);
  const samples = RunSamples.createRunSamples(dependencies, options);
  const activeRun = dependencies.activity.startRun(options.target);
  let wasComplete = false;
  let hasHead = false;

  function recordHead(): void {
    if (!hasHead) run.recordHead();
    hasHead = true;
  }

  try {
    for (;;) {
      const step = await reader.readStep();
      if (reader.getProgress().hasHead) recordHead();
      if (step !== undefined) {
        if ('kind' in step) {
          if (step.kind === 'callerLeft' && run.isWithdrawn()) return { kind: 'withdrawn' };
          recordSurvival(run, step, options.isContinued);
          wasComplete = step.kind === 'complete';
          await recordBreak(dependencies, options, step, reader.getProgress());
          return step;
        }
        run.recordEvent();
        activeRun.recordEvents(dependencies.clock.getRunningMs());
        samples.recordEvents(step.blocks.length);
        yield step;
      }
    }
  } finally {
    reader.close();
    activeRun.recordEnd();
    samples.recordEnd(wasComplete);
  }
}

/** The rest of an answer may be shorter than the time in which a part crashes targets. */
function recordSurvival(run: TargetRun, { kind }: AttemptOutcome, isContinued: boolean): void {
  if (kind === 'complete' && !isContinued) run.recordAnswer();
  const isEndOfTarget = kind === 'complete' || kind === 'whole' || kind === 'notRun';
  if (isEndOfTarget || kind === 'notSent') run.recordSurvived();
}

async function recordBreak(
  { crashes }: ForwardingDependencies,
  { request, target }: AttemptOptions,
  outcome: AttemptOutcome,
  progress: RunProgress,
): Promise<void> {
  if (outcome.kind !== 'lost' || outcome.isTimeout) return;
  await crashes.recordDisconnect({ request, target, ...progress });
}

function recordPrefill(
  { room, getPromptEstimates }: ForwardingDependencies,
  { request, target, prefillTokens, promptsAhead }: AttemptOptions,
  ms: number,
): void {
  const estimates = getPromptEstimates(request.service);
  const medianMs = ms / room.getSpeedFactor(target);
  if (promptsAhead === 0) estimates.recordPrefill(prefillTokens, medianMs);
  else if (room.isActive(request.service)) estimates.recordUpperBound(prefillTokens, medianMs);
}

function createStreamReader(
  dependencies: ForwardingDependencies,
  options: AttemptOptions,
  call: TargetCall,
) {
  const { request, target } = options;
  const { clock } = dependencies;
  const policy = dependencies.getStallPolicy(request.service);
  const splitter = EventBlocks.createEventBlockSplitter();
  const preference = options.hasCopy() ? 'copied' : 'resumeLatency';
  const timeouts = policy.getLimits(target.id, preference, options.prefillTokens);
  // Timeouts of the engine are measured in running time; the caller's deadline is not.
  const startedAtMs = clock.getRunningMs();
  let lastEventAtMs = startedAtMs;
  const firstCheckMs = request.route.objectiveMs / SilenceProbes.CHECKS_PER_OBJECTIVE;
  let silenceDeadlineMs = startedAtMs + Math.min(timeouts.firstTokenMs, firstCheckMs);
  let hasEvents = false;
  let firstEventAtMs = Number.POSITIVE_INFINITY;
  let head: AnswerHead | undefined;
  let heldBytes = 0;
  let maxPartialBytes = Number.POSITIVE_INFINITY;
  const { name: route, objectiveMs } = request.route;
  const { expiresAtMs } = request;
  const silences = SilenceLogs.createSilenceLog(dependencies, request, target);
  const recordResult = dependencies.rollouts.recordAttempt({ target, route, objectiveMs });

  function readNext(): Promise<CallEvent> {
    return TargetCalls.readNextEvent(clock, call, { silenceDeadlineMs, expiresAtMs });
  }

  function recordFirstEvent(ms: number): void {
    recordResult('answered');
    policy.recordFirstToken(target.id, ms, options.prefillTokens);
    recordPrefill(dependencies, options, ms);
  }

  function recordEvents(): void {
    const nowMs = clock.getRunningMs();
    if (hasEvents) policy.recordGap(target.id, nowMs - lastEventAtMs);
    else {
      firstEventAtMs = nowMs;
      recordFirstEvent(nowMs - startedAtMs);
    }
    dependencies.registry.recordAlive(target);
    hasEvents = true;
    lastEventAtMs = nowMs;
    silenceDeadlineMs = nowMs + timeouts.gapMs;
  }

  async function handleHead(responseHead: AnswerHead): Promise<StepResult> {
    const failure = Sending.handleAnswerHead(dependencies, request, target, call, responseHead);
    if (failure !== undefined) return failure;
    if (responseHead.status !== STATUS_OK) {
      recordResult(Checks.isServerError(responseHead.status) ? 'failed' : 'unknown');
      const readRest = AnswerEnds.createEndCheck(dependencies, target, responseHead, () =>
        TargetCalls.readNextEvent(clock, call, { ...NO_LIMIT, expiresAtMs }),
      );
      return Sending.readFullAnswer(call, responseHead, readRest, request.held);
    }
    head = responseHead;
    const type = Checks.getHeader(head, 'content-type') ?? EVENT_STREAM;
    if (!type.toLowerCase().startsWith(EVENT_STREAM)) maxPartialBytes = MAX_OTHER_BYTES;
    return undefined;
  }

  /** Counts the incomplete event, which its caller does not get yet. */
  function updateHeld(): void {
    const bytes = splitter.countPartialBytes();
    if (bytes !== heldBytes) request.held?.addWholeBytes(bytes - heldBytes);
    heldBytes = bytes;
  }

  function handleData(chunk: Buffer): StepResult {
    const blocks = splitter.addBytes(chunk);
    updateHeld();
    const partialBytes = splitter.countPartialBytes();
    const mayHold = request.held?.mayHoldWhole(partialBytes) !== false;
    if (blocks === undefined || partialBytes > maxPartialBytes || !mayHold) {
      call.recordExcess('event', partialBytes);
      return { kind: 'lost', reason: 'oversized event', isTimeout: false };
    }
    if (blocks.length === 0 || head === undefined) return undefined;
    recordEvents();
    return { head, blocks };
  }

  async function handleEnd(): Promise<StepResult> {
    if (head === undefined || splitter.hasPartialEvent()) {
      return { kind: 'lost', reason: 'ended within an event', isTimeout: false };
    }
    if (await AnswerEnds.isCutByExit(dependencies, target, head)) {
      return { kind: 'lost', reason: AnswerEnds.EXITED_REASON, isTimeout: false };
    }
    return { kind: 'complete', head };
  }

  async function handleTimeout(): Promise<StepResult> {
    if (!call.wasSent()) return { kind: 'notSent', reason: 'no connection in time' };
    if (clock.getNowMs() >= expiresAtMs) return { kind: 'expired' };
    const waitForEnd = SilenceWatches.createSilenceWatch(
      dependencies,
      { ...options, call, timeouts, silences },
      { hasEvents, sinceMs: lastEventAtMs },
    );
    const end = await waitForEnd();
    const isUnanswered = head === undefined;
    if (end.kind === 'takenOver') {
      return { kind: 'lost', reason: 'silent', isTimeout: true, isUnanswered, next: end.next };
    }
    if (end.kind === 'gone') {
      return { kind: 'lost', reason: 'silent', isTimeout: true, isUnanswered };
    }
    if (end.kind === 'outOfTime') return { kind: 'outOfTime' };
    silenceDeadlineMs = clock.getRunningMs() + (hasEvents ? timeouts.gapMs : firstCheckMs);
    return handleEvent(end);
  }

  async function handleEvent(event: CallEvent): Promise<StepResult> {
    if (event.kind === 'head') return handleHead(event.head);
    if (event.kind === 'data') return handleData(event.chunk);
    if (event.kind === 'end') return handleEnd();
    if (event.kind === 'timeout') return handleTimeout();
    return Sending.decideFailure(call, event);
  }

  return {
    readStep: async (): Promise<StepResult> => handleEvent(await readNext()),
    getProgress: () => ({
      hasHead: head !== undefined,
      ranMs: hasEvents ? clock.getRunningMs() - firstEventAtMs : undefined,
    }),
    close() {
      recordResult('unknown');
      if (heldBytes > 0) request.held?.addWholeBytes(-heldBytes);
      heldBytes = 0;
    },
  };
}
