/** One send of a request whose answer is a stream of events. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { EventBlock } from './eventBlocks';
import * as EventBlocks from './eventBlocks';
import type { AnswerHead, ForwardRequest, SendOutcome } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { ForwardingDependencies } from '../dependencies';
import * as Checks from '../answers/answerChecks';
import * as Sending from '../answers/sending';
import * as TargetCalls from '../targets/targetCall';
import type { CallEvent, TargetCall } from '../targets/targetCall';

/** What one attempt gives while it runs. */
export interface StreamPart {
  readonly head: AnswerHead;
  /** Whole events, at least one. */
  readonly blocks: readonly EventBlock[];
}

export type AttemptOutcome =
  | SendOutcome
  | { readonly kind: 'complete'; readonly head: AnswerHead }
  /** Its target is to stop, and a copy of the run is where it can go on. */
  | { readonly kind: 'handedOver' };

export interface AttemptOrder {
  readonly request: ForwardRequest;
  readonly target: ForwardingTarget;
  readonly extraHeaders: readonly RawHeader[];
  /** A copy of the run's memory is kept elsewhere, so that a false alarm costs little. */
  readonly hasCopy: () => boolean;
  /** Tokens that the target has to prefill before its first event. */
  readonly prefillTokens: number;
  /** Prompts that the target reads first; undefined where it was not asked. */
  readonly promptsAhead: number | undefined;
}

const SUCCESS = 200;
/** A stream with a copy elsewhere goes on there after this silence, also of a target that lives. */
const MAX_GAP_MS = 450;
/** Without a copy the prompt would be prefilled again: seconds, beside which waiting is cheap. */
const NO_COPY_MS = 2_500;
/** A first event may take so many times its limit while the target says that it lives. */
const FIRST_EVENT_PATIENCE = 3;
/** A target that lives answers a probe within some milliseconds. */
const PROBE_WAIT_MS = 35;
/**
 * Failure: an engine goes dark while it reads a prompt. Nothing is due from it for seconds, so its
 * caller waits them out and then for the whole prompt once more; its first event is late. So an engine
 * that owes a first event is asked whether it lives, so often in the time that the first event may take:
 * the loss is known early enough for another prompt, and most prompts are read within one or two checks,
 * which cost less than they save.
 */
const CHECKS_PER_OBJECTIVE = 6;
/** An answer to such a check may take this long, milliseconds, twice in a row. */
const CHECK_WAIT_MS = 120;
const MAX_MISSED_CHECKS = 2;
/**
 * A request that crashes its target does so before its first event, or within this after it,
 * milliseconds.
 */
const SETTLED_MS = 300;

/** Yields events as they become whole; ends with what the attempt came to. */
export async function* runStreamAttempt(
  dependencies: ForwardingDependencies,
  order: AttemptOrder,
): AsyncGenerator<StreamPart, AttemptOutcome, void> {
  const { request, target } = order;
  const call = dependencies.openCall(request, target, order.extraHeaders);
  request.closed.addEventListener('abort', call.cancel, { once: true });
  const recordEnd = dependencies.registry.recordStart(target);
  try {
    return yield* readStream(dependencies, order, call);
  } finally {
    // Also when the reader of the generator has gone.
    call.cancel();
    recordEnd();
    request.closed.removeEventListener('abort', call.cancel);
  }
}

/** What one event of the call means for the attempt; undefined: nothing yet. */
type Step = StreamPart | AttemptOutcome | undefined;

async function* readStream(
  dependencies: ForwardingDependencies,
  order: AttemptOrder,
  call: TargetCall,
): AsyncGenerator<StreamPart, AttemptOutcome, void> {
  const reader = createStreamReader(dependencies, order, call);
  try {
    for (;;) {
      const step = await reader.readStep();
      if (step !== undefined) {
        if ('kind' in step) {
          await recordBreak(dependencies, order, step, reader.hasSettled());
          return step;
        }
        yield step;
      }
    }
  } finally {
    reader.close();
  }
}

/** A run that has made events for a while is not what a crash came from. */
async function recordBreak(
  { crashes }: ForwardingDependencies,
  { request, target }: AttemptOrder,
  outcome: AttemptOutcome,
  hasSettled: boolean,
): Promise<void> {
  if (outcome.kind !== 'lost' || outcome.isSilence || hasSettled) return;
  await crashes.recordBreak(request, target);
}

function createStreamReader(
  dependencies: ForwardingDependencies,
  order: AttemptOrder,
  call: TargetCall,
) {
  const { request, target } = order;
  const { clock } = dependencies;
  const policy = dependencies.getStallPolicy(request.service);
  const splitter = EventBlocks.createEventBlockSplitter();
  const preference = order.hasCopy() ? 'copied' : 'resumeLatency';
  const limits = policy.getLimits(target.id, preference, order.prefillTokens);
  // What the engine owes is measured in running time; the caller's deadline is not.
  const startedMs = clock.getRunningMs();
  const checkMs = request.route.objectiveMs / CHECKS_PER_OBJECTIVE;
  const firstEventDueMs = startedMs + limits.firstTokenMs;
  let lastEventMs = startedMs;
  let silentUntilMs = Math.min(firstEventDueMs, startedMs + checkMs);
  let missedChecks = 0;
  let hasEvents = false;
  let firstEventMs = Number.POSITIVE_INFINITY;
  let head: AnswerHead | undefined;
  const { name: route, objectiveMs } = request.route;
  const recordVersion = dependencies.rollouts.recordSend({ target, route, objectiveMs });

  function readNext(): Promise<CallEvent> {
    const { expiresAtMs } = request;
    return TargetCalls.readPatiently(clock, call, { silentUntilMs, expiresAtMs });
  }

  function recordFirstEvent(ms: number): void {
    recordVersion('answered');
    policy.recordFirstToken(target.id, ms, order.prefillTokens);
    if (order.promptsAhead !== 0) return;
    dependencies.getPromptEstimates(request.service).recordPrefill(order.prefillTokens, ms);
  }

  function recordEvents(): void {
    const nowMs = clock.getRunningMs();
    if (hasEvents) policy.recordGap(target.id, nowMs - lastEventMs);
    else {
      firstEventMs = nowMs;
      recordFirstEvent(nowMs - startedMs);
    }
    dependencies.registry.recordSign(target);
    hasEvents = true;
    lastEventMs = nowMs;
    silentUntilMs = nowMs + limits.gapMs;
  }

  async function handleHead(answered: AnswerHead): Promise<Step> {
    const failure = Sending.decideHead(dependencies, request, target, call, answered);
    if (failure !== undefined) return failure;
    if (answered.status !== SUCCESS) {
      recordVersion(Checks.isServerError(answered.status) ? 'failed' : 'unknown');
      return Sending.readWhole(call, answered, readNext);
    }
    head = answered;
    return undefined;
  }

  function handleData(chunk: Buffer): Step {
    const blocks = splitter.addBytes(chunk);
    if (blocks === undefined) return { kind: 'lost', reason: 'over-long event', isSilence: false };
    if (blocks.length === 0 || head === undefined) return undefined;
    recordEvents();
    return { head, blocks };
  }

  function handleEnd(): Step {
    if (head === undefined || splitter.hasRest()) {
      return { kind: 'lost', reason: 'ended in an event', isSilence: false };
    }
    return { kind: 'complete', head };
  }

  /**
   * A silent engine that still has the run is busy: it is waited for as long as that can pay. One that
   * answers without it has started again, and its old connections may stay silent for good.
   */
  async function isWorthWaiting(): Promise<boolean> {
    const patienceMs = hasEvents ? MAX_GAP_MS : limits.firstTokenMs * FIRST_EVENT_PATIENCE;
    const waitsUntilMs = lastEventMs + (order.hasCopy() || !hasEvents ? patienceMs : NO_COPY_MS);
    if (clock.getRunningMs() >= waitsUntilMs) return false;
    const report = await dependencies.readReport(target, PROBE_WAIT_MS);
    silentUntilMs = waitsUntilMs;
    if (report === undefined) return false;
    if (hasEvents) return report.runIds.includes(request.id) || report.queued > 0;
    return report.prefilling + report.queued > 0;
  }

  /** Whether the engine that owes a first event answers, or may have missed one question by chance. */
  async function checkLife(): Promise<boolean> {
    const report = await dependencies.readReport(target, CHECK_WAIT_MS);
    missedChecks = report === undefined ? missedChecks + 1 : 0;
    const nextCheckMs = clock.getRunningMs() + (missedChecks > 0 ? 0 : checkMs);
    silentUntilMs = Math.min(firstEventDueMs, nextCheckMs);
    return missedChecks < MAX_MISSED_CHECKS;
  }

  async function handleTimeout(): Promise<Step> {
    if (clock.getNowMs() >= request.expiresAtMs) return { kind: 'expired' };
    const nowMs = clock.getRunningMs();
    if (!call.wasSent()) return { kind: 'notSent', reason: 'no connection in time' };
    const isCheck = !hasEvents && nowMs < firstEventDueMs;
    if (await (isCheck ? checkLife() : isWorthWaiting())) return undefined;
    // It may have spoken while it was asked.
    const event = await call.readEvent(0);
    if (event.kind !== 'timeout') return handleEvent(event);
    return { kind: 'lost', reason: 'silent', isSilence: true };
  }

  async function handleEvent(event: CallEvent): Promise<Step> {
    if (event.kind === 'head') return handleHead(event.head);
    if (event.kind === 'data') return handleData(event.chunk);
    if (event.kind === 'end') return handleEnd();
    if (event.kind === 'timeout') return handleTimeout();
    return Sending.decideFailure(call, event);
  }

  return {
    readStep: async (): Promise<Step> => handleEvent(await readNext()),
    hasSettled: () => clock.getRunningMs() - firstEventMs > SETTLED_MS,
    close: () => recordVersion('unknown'),
  };
}
