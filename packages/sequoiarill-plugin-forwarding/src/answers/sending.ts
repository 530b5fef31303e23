/** One send of a request whose answer is taken as a whole. */
import type { ForwardingTarget, VersionAttemptResult } from '@sequoiarill/types';

import * as Checks from './answerChecks';
import type { AnswerHead, ForwardRequest, SendOutcome } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';
import * as TargetCalls from '../targets/targetCall';
import type { CallEvent, TargetCall } from '../targets/targetCall';

/** Longer answers than this are not kept; those of plain services are some kilobytes. */
const MAX_ANSWER_BYTES = 16_777_216;

/** Undefined: the event means nothing final yet. */
export function decideFailure(call: TargetCall, event: CallEvent): SendOutcome | undefined {
  if (event.kind === 'cancelled') return { kind: 'callerLeft' };
  if (event.kind !== 'broken') return undefined;
  const { reason } = event;
  return call.wasSent() ? { kind: 'lost', reason, isSilence: false } : { kind: 'notSent', reason };
}

/** Another target has the address now. */
const MISDIRECTED = 421;

/** What lines and callers are told of a send that gave no answer to pass on. */
export function formatReason(outcome: Exclude<SendOutcome, { kind: 'callerLeft' }>): string {
  if (outcome.kind === 'notRun') return `not run, status ${outcome.status}`;
  if (outcome.kind === 'whole') return `status ${outcome.head.status}`;
  return outcome.kind === 'expired' ? 'time is up' : outcome.reason;
}

/** What a send says of the version of its target. */
export function decideVersionEnd(outcome: SendOutcome): VersionAttemptResult {
  if (outcome.kind !== 'whole') return 'unknown';
  return Checks.isServerError(outcome.head.status) ? 'failed' : 'answered';
}

/** The target did not take the request: it is full, or another life has its address. */
export function recordNotRun(
  { registry }: ForwardingDependencies,
  target: ForwardingTarget,
  status: number,
): void {
  if (status === MISDIRECTED) registry.recordReplaced(target);
  else registry.recordFailure(target);
}

/** A head that is no answer of the target to this request, as an outcome; the call is given up. */
export function handleAnswerHead(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  call: TargetCall,
  head: AnswerHead,
): SendOutcome | undefined {
  const verdict = Checks.checkHead(head, request.id, dependencies.wire.headers);
  const isOther = verdict.kind === 'notRun' && verdict.status === MISDIRECTED;
  if (verdict.kind !== 'spoiled' && !isOther) dependencies.limits.recordHead(target, head);
  if (verdict.kind === 'own') return undefined;
  if (verdict.kind === 'notRun') return verdict;
  call.cancel();
  return { kind: 'lost', reason: verdict.reason, isSilence: false };
}

/** Reads on after the head until the answer is whole. */
export async function readFullAnswer(
  call: TargetCall,
  head: AnswerHead,
  readNext: () => Promise<CallEvent>,
): Promise<SendOutcome> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for (;;) {
    const event = await readNext();
    if (event.kind === 'data') {
      chunks.push(event.chunk);
      bytes += event.chunk.length;
      if (bytes > MAX_ANSWER_BYTES) {
        call.cancel();
        return { kind: 'lost', reason: 'over-long answer', isSilence: false };
      }
    } else if (event.kind === 'end') {
      return { kind: 'whole', head, body: Buffer.concat(chunks, bytes) };
    } else if (event.kind === 'timeout') {
      call.cancel();
      return { kind: 'lost', reason: 'silent in the middle of an answer', isSilence: true };
    } else {
      const failure = decideFailure(call, event);
      if (failure !== undefined) return failure;
    }
  }
}

/** Sends and reads until the limit; a silent call is cancelled. */
export async function sendOnce(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  limitMs: number,
): Promise<SendOutcome> {
  const call = dependencies.openCall(request, target, []);
  // The work of a request that may not be repeated is finished, also when its caller has left.
  const mayCancel = request.route.retryPolicy !== 'once';
  if (mayCancel) request.closed.addEventListener('abort', call.cancel, { once: true });
  const { clock } = dependencies;
  const silentUntilMs = clock.getRunningMs() + limitMs;
  const limits = { silentUntilMs, expiresAtMs: request.expiresAtMs };
  const readNext = () => TargetCalls.readPatiently(clock, call, limits);
  const recordEnd = dependencies.registry.recordStart(target);
  try {
    const first = await readNext();
    if (first.kind === 'timeout') {
      call.cancel();
      return call.wasSent()
        ? { kind: 'lost', reason: 'silent', isSilence: true }
        : { kind: 'notSent', reason: 'no connection in time' };
    }
    if (first.kind === 'head') {
      return (
        handleAnswerHead(dependencies, request, target, call, first.head) ??
        (await readFullAnswer(call, first.head, readNext))
      );
    }
    return (
      decideFailure(call, first) ?? { kind: 'lost', reason: 'no status line', isSilence: false }
    );
  } finally {
    recordEnd();
    if (mayCancel) request.closed.removeEventListener('abort', call.cancel);
  }
}
