/** One attempt of a request whose answer is not streamed. */
import type { ForwardingTarget, VersionAttemptResult } from '@sequoiarill/types';

import * as AnswerBodies from './answerBody';
import * as Checks from './answerChecks';
import * as ForwardRequests from '../forwardRequest';
import type { AnswerHead, ForwardRequest, PlainOutcome, SendOutcome } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as TargetCalls from '../targets/targetCall';
import type { CallEvent, TargetCall } from '../targets/targetCall';
import * as PassedAnswers from './passedAnswer';

export { decideFailure, readFullAnswer } from './answerBody';

/** Status of a response from another target that now has the address. */
const MISDIRECTED = 421;

/** The reason, for log lines and callers, why an attempt returned no answer to forward. */
export function formatReason(outcome: Exclude<PlainOutcome, { kind: 'callerLeft' }>): string {
  if (outcome.kind === 'notRun') return `not run, status ${outcome.status}`;
  if (outcome.kind === 'whole' || outcome.kind === 'passed') return `status ${outcome.head.status}`;
  return outcome.kind === 'expired' ? 'time is up' : outcome.reason;
}

/** The result of an attempt for the rollout of the target's version. */
export function decideVersionResult(outcome: PlainOutcome): VersionAttemptResult {
  if (outcome.kind !== 'whole' && outcome.kind !== 'passed') return 'unknown';
  return Checks.isServerError(outcome.head.status) ? 'failed' : 'answered';
}

/**
 * The target did not accept the request: it is full, or another incarnation has its address. One that has
 * said for how long it is full is no outlier.
 */
export function recordNotRun(
  { registry, notices }: ForwardingDependencies,
  target: ForwardingTarget,
  status: number,
): void {
  if (status === MISDIRECTED) registry.recordReplacement(target);
  else if (!notices.isResting(target)) registry.recordFailure(target);
}

/** Cancels the call and returns an outcome when the head is not a valid answer to this request. */
export function handleAnswerHead(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  call: TargetCall,
  head: AnswerHead,
): SendOutcome | undefined {
  const result = Checks.checkHead(head, request.id, dependencies.wire.headers);
  const isMisdirected = result.kind === 'notRun' && result.status === MISDIRECTED;
  if (result.kind !== 'invalid' && !isMisdirected) dependencies.limits.recordHead(target, head);
  if (result.kind === 'valid') return undefined;
  if (result.kind === 'notRun') return result;
  call.cancel();
  return { kind: 'lost', reason: result.reason, isTimeout: false };
}

/** Silence after which the path to the target is checked; the next checks are further apart. */
const FIRST_CHECK_MS = 250;
/**
 * A target may pause for about a second. A request that must not run twice is worth that wait even where the
 * target seems unreachable, because no other target can run it.
 */
const MAX_UNREACHABLE_MS = 1_500;

/**
 * Reads the events of an answer; `timeout` when none comes in time, or the target is no longer reached.
 *
 * Failure: a connection carries nothing any more and is not closed. A request on it would wait until its
 * time limit, although this router no longer reaches the target.
 */
function createAnswerReader(
  { clock, paths }: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  call: TargetCall,
  attemptTimeoutMs: number,
): () => Promise<CallEvent> {
  const { route, sink } = request;
  const sentAtMs = clock.getNowMs();
  const sentAtRunningMs = clock.getRunningMs();
  const patienceMs = route.retryPolicy === 'once' ? MAX_UNREACHABLE_MS : 0;
  let nextCheckMs = FIRST_CHECK_MS;

  /** The time for which a slow caller was waited for is not the target's. */
  function getLimits() {
    // No other target can follow once an answer is passed on.
    const isLast = sink?.isStarted() === true;
    return {
      startedMs: sentAtRunningMs + (sink?.getUnreadMs().totalMs ?? 0),
      expiresAtMs: ForwardRequests.getDeadlineMs(request),
      timeoutMs: isLast ? request.expiresAtMs - sentAtMs : attemptTimeoutMs,
    };
  }

  return async function readNext() {
    const { startedMs, expiresAtMs, timeoutMs } = getLimits();
    for (;;) {
      const silenceMs = Math.min(timeoutMs, nextCheckMs);
      const deadlines = { silenceDeadlineMs: startedMs + silenceMs, expiresAtMs };
      const event = await TargetCalls.readNextEvent(clock, call, deadlines);
      if (event.kind !== 'timeout' || clock.getNowMs() >= expiresAtMs) return event;
      if (clock.getRunningMs() - startedMs >= timeoutMs) return event;
      if (call.wasSent() && !(await paths.checkSilence(target, sentAtMs))) {
        if (clock.getRunningMs() - startedMs >= patienceMs) {
          // The answer may have arrived during the check.
          return call.readEvent(0);
        }
        paths.recordLoss(target);
      }
      const elapsedMs = clock.getRunningMs() - startedMs;
      nextCheckMs = elapsedMs < patienceMs ? Math.min(patienceMs, elapsedMs * 2) : elapsedMs * 2;
    }
  };
}

/**
 * Sends the request and reads the answer, or passes it on; cancels the call when nothing arrives within the timeout.
 */
export async function sendOnce(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  timeoutMs: number,
): Promise<PlainOutcome> {
  const call = dependencies.openCall(request, target, []);
  // A request that must not be retried is run to its end, even when its caller has disconnected.
  const mayCancel = request.route.retryPolicy !== 'once';
  if (mayCancel) request.closed.addEventListener('abort', call.cancel, { once: true });
  const readNext = createAnswerReader(dependencies, request, target, call, timeoutMs);
  const recordEnd = dependencies.registry.recordStart(target);
  try {
    const firstEvent = await readNext();
    if (firstEvent.kind === 'timeout') {
      call.cancel();
      return call.wasSent()
        ? { kind: 'lost', reason: 'silent', isTimeout: true }
        : { kind: 'notSent', reason: 'no connection in time' };
    }
    if (firstEvent.kind === 'head') {
      const { head } = firstEvent;
      const failure = handleAnswerHead(dependencies, request, target, call, head);
      if (failure !== undefined) return failure;
      const source = { call, head, readNext, target };
      return await PassedAnswers.readAnswer(dependencies, request, source);
    }
    return (
      AnswerBodies.decideFailure(call, firstEvent) ?? {
        kind: 'lost',
        reason: 'no status line',
        isTimeout: false,
      }
    );
  } finally {
    recordEnd();
    if (mayCancel) request.closed.removeEventListener('abort', call.cancel);
  }
}
