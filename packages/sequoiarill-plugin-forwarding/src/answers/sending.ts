/** One attempt of a request whose answer is not streamed. */
import type { ForwardingTarget, VersionAttemptResult } from '@sequoiarill/types';

import * as AnswerBodies from './answerBody';
import * as AnswerReaders from './answerReader';
import * as Checks from './answerChecks';
import type { AnswerHead, ForwardRequest, PlainOutcome, SendOutcome } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import type { TargetCall } from '../targets/targetCall';
import type { NextSend } from './nextSend';
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

/** Ends the call and returns an outcome when the head is not a valid answer to this request. */
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
  if (result.kind === 'notRun') {
    call.drain();
    return result;
  }
  call.cancel();
  return { kind: 'lost', reason: result.reason, isTimeout: false };
}

export interface SendOptions {
  readonly target: ForwardingTarget;
  /** Time after which another target is preferred. */
  readonly attemptTimeoutMs: number;
  readonly isRepeat: boolean;
  readonly next: NextSend;
}

/** Sends the request and reads the answer, or passes it on; cancels the call where another send is planned. */
export async function sendOnce(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { target, attemptTimeoutMs, isRepeat, next }: SendOptions,
): Promise<PlainOutcome> {
  const call = dependencies.openCall(request, target, { extraHeaders: [], isRepeat });
  // A request that must not be retried is run to its end, even when its caller has disconnected.
  const mayCancel = request.route.retryPolicy !== 'once';
  if (mayCancel) request.closed.addEventListener('abort', call.cancel, { once: true });
  const readerOptions = { request, target, call, attemptTimeoutMs, next };
  const reader = AnswerReaders.createAnswerReader(dependencies, readerOptions);
  const { readNext } = reader;
  const recordEnd = dependencies.registry.recordStart(target);
  try {
    const firstEvent = await readNext();
    if (firstEvent.kind === 'timeout') {
      call.cancel();
      return call.wasSent()
        ? { kind: 'lost', reason: 'silent', isTimeout: true, isUnanswered: true }
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
    reader.close();
    recordEnd();
    if (mayCancel) request.closed.removeEventListener('abort', call.cancel);
  }
}
