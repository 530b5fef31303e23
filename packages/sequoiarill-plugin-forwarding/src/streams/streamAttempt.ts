/** One attempt of a request whose answer is a stream of events. */
import type { RunProgress } from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { EventBlock } from './eventBlocks';
import * as EventBlocks from './eventBlocks';
import type { AnswerHead, ForwardRequest, SendOutcome } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { ForwardingDependencies } from '../dependencies';
import type { PartRun } from '../crashes/partRuns';
import * as Checks from '../answers/answerChecks';
import * as Sending from '../answers/sending';
import * as EnginePairs from '../targets/enginePairs';
import * as RunSamples from './runSamples';
import * as TargetCalls from '../targets/targetCall';
import type { CallEvent, TargetCall } from '../targets/targetCall';

/** Events that an attempt yields while it runs. */
export interface EventBatch {
  readonly head: AnswerHead;
  /** Complete events, at least one. */
  readonly blocks: readonly EventBlock[];
}

export type AttemptOutcome = SendOutcome | { readonly kind: 'complete'; readonly head: AnswerHead };

export interface AttemptOptions {
  readonly request: ForwardRequest;
  readonly target: ForwardingTarget;
  readonly extraHeaders: readonly RawHeader[];
  /** Whether the answer goes on after events of an earlier attempt. */
  readonly isContinued: boolean;
  /** Whether another engine holds a copy of the KV cache, so that a false alarm costs little. */
  readonly hasCopy: () => boolean;
  /** Tokens that the target has to prefill before its first event. */
  readonly prefillTokens: number;
  /** Prompts that the target prefills before this one; undefined where it was not queried. */
  readonly promptsAhead: number | undefined;
}

const STATUS_OK = 200;
/** After this silence a stream continues from its copy, even if the target responds to probes. */
const MAX_SILENCE_WITH_COPY_MS = 450;
/**
 * Without a copy the prompt must be prefilled again, which takes seconds, so that waiting is
 * cheaper.
 */
const MAX_SILENCE_WITHOUT_COPY_MS = 2_500;
/** A first event may take this many times its timeout while the target responds to probes. */
const FIRST_EVENT_TIMEOUT_FACTOR = 3;
/** A live target responds to a probe within a few milliseconds. */
const PROBE_TIMEOUT_MS = 35;
/**
 * Failure: an engine becomes unreachable while it prefills a prompt. No event is due for seconds,
 * so the caller waits that long and then for the whole prefill on another engine; its first event
 * is late. So the engine is probed this many times within the objective of the first event. The
 * loss is then detected early enough to prefill elsewhere. Most prompts are prefilled within one or
 * two checks, so these cost less than they save.
 */
const CHECKS_PER_OBJECTIVE = 6;
/** Timeout of such a check; the target counts as lost after `MAX_MISSED_CHECKS` in a row. */
const CHECK_TIMEOUT_MS = 120;
const MAX_MISSED_CHECKS = 2;

/** Yields events as they are complete; returns the outcome of the attempt. */
export async function* runStreamAttempt(
  dependencies: ForwardingDependencies,
  options: AttemptOptions,
): AsyncGenerator<EventBatch, AttemptOutcome, void> {
  const { request, target } = options;
  const run = dependencies.crashes.startRun(request);
  const call = dependencies.openCall(request, target, options.extraHeaders);
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
  run: PartRun,
): AsyncGenerator<EventBatch, AttemptOutcome, void> {
  const reader = createStreamReader(dependencies, options, call);
  const samples = RunSamples.createRunSamples(dependencies, options);
  let wasComplete = false;
  try {
    for (;;) {
      const step = await reader.readStep();
      if (step !== undefined) {
        if ('kind' in step) {
          // The rest of an answer may be shorter than the time in which a part crashes targets.
          if (step.kind === 'complete' && !options.isContinued) run.recordAnswer();
          wasComplete = step.kind === 'complete';
          await recordBreak(dependencies, options, step, reader.getProgress());
          return step;
        }
        run.recordEvent();
        samples.recordEvents(step.blocks.length);
        yield step;
      }
    }
  } finally {
    reader.close();
    samples.recordEnd(wasComplete);
  }
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
  const checkIntervalMs = request.route.objectiveMs / CHECKS_PER_OBJECTIVE;
  const firstEventDeadlineMs = startedAtMs + timeouts.firstTokenMs;
  let lastEventAtMs = startedAtMs;
  let silenceDeadlineMs = Math.min(firstEventDeadlineMs, startedAtMs + checkIntervalMs);
  let missedChecks = 0;
  let hasEvents = false;
  let firstEventAtMs = Number.POSITIVE_INFINITY;
  let head: AnswerHead | undefined;
  const { name: route, objectiveMs } = request.route;
  const recordResult = dependencies.rollouts.recordAttempt({ target, route, objectiveMs });

  function readNext(): Promise<CallEvent> {
    const { expiresAtMs } = request;
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
      return Sending.readFullAnswer(call, responseHead, readNext, request.held);
    }
    head = responseHead;
    return undefined;
  }

  function handleData(chunk: Buffer): StepResult {
    const blocks = splitter.addBytes(chunk);
    if (blocks === undefined) return { kind: 'lost', reason: 'oversized event', isTimeout: false };
    if (blocks.length === 0 || head === undefined) return undefined;
    recordEvents();
    return { head, blocks };
  }

  /**
   * Failure: an engine whose response has no framing is killed between two events. Its connections end as they would
   * after the last event, and the answer would look complete.
   */
  async function handleEnd(): Promise<StepResult> {
    if (head === undefined || splitter.hasPartialEvent()) {
      return { kind: 'lost', reason: 'ended within an event', isTimeout: false };
    }
    if (Checks.isCloseDelimited(head) && (await dependencies.crashes.hasExited(target))) {
      return { kind: 'lost', reason: 'target exited without framing', isTimeout: false };
    }
    return { kind: 'complete', head };
  }

  /** An engine that has asked for rest gets no probes; only the limits of its silence apply. */
  function isResting(): boolean {
    return dependencies.notices.isResting(target);
  }

  /**
   * A silent engine that still reports the run is busy, and waiting for it is worthwhile up to a
   * limit. One that no longer reports it has restarted, and its old connections may stay silent
   * forever.
   */
  async function isWorthWaiting(): Promise<boolean> {
    const maxSilenceMs = hasEvents
      ? MAX_SILENCE_WITH_COPY_MS
      : timeouts.firstTokenMs * FIRST_EVENT_TIMEOUT_FACTOR;
    const deadlineMs =
      lastEventAtMs +
      (options.hasCopy() || !hasEvents ? maxSilenceMs : MAX_SILENCE_WITHOUT_COPY_MS);
    if (clock.getRunningMs() >= deadlineMs) return false;
    if (isResting()) {
      silenceDeadlineMs = deadlineMs;
      return true;
    }
    const report = await dependencies.readReport(target, PROBE_TIMEOUT_MS);
    silenceDeadlineMs = deadlineMs;
    if (report === undefined) return false;
    if (hasEvents) return report.runIds.includes(request.id) || report.queued > 0;
    return report.prefilling + report.queued > 0;
  }

  /**
   * Whether an engine whose first event is outstanding responds, or has missed too few checks to be
   * lost.
   */
  async function checkLiveness(): Promise<boolean> {
    const report = isResting()
      ? 'unprobed'
      : await dependencies.readReport(target, CHECK_TIMEOUT_MS);
    missedChecks = report === undefined ? missedChecks + 1 : 0;
    const nextCheckMs = clock.getRunningMs() + (missedChecks > 0 ? 0 : checkIntervalMs);
    silenceDeadlineMs = Math.min(firstEventDeadlineMs, nextCheckMs);
    return missedChecks < MAX_MISSED_CHECKS;
  }

  async function handleTimeout(): Promise<StepResult> {
    if (clock.getNowMs() >= request.expiresAtMs) return { kind: 'expired' };
    const nowMs = clock.getRunningMs();
    if (!call.wasSent()) return { kind: 'notSent', reason: 'no connection in time' };
    const isLivenessCheck = !hasEvents && nowMs < firstEventDeadlineMs;
    if (await (isLivenessCheck ? checkLiveness() : isWorthWaiting())) return undefined;
    // An event may have arrived during the probe.
    const event = await call.readEvent(0);
    if (event.kind !== 'timeout') return handleEvent(event);
    return { kind: 'lost', reason: 'silent', isTimeout: true };
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
    close: () => recordResult('unknown'),
  };
}
