/** Holds a short plain answer until it is whole, and passes a longer one on as it arrives. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import type {
  AnswerHead,
  AnswerSink,
  ForwardRequest,
  PassedOutcome,
  SendOutcome,
} from '../forwardRequest';
import type { CallEvent, TargetCall } from '../targets/targetCall';
import * as AnswerBodies from './answerBody';
import * as AnswerEnds from './answerEnd';
import * as Checks from './answerChecks';

/** Longer answers are passed on as they arrive. */
export const MAX_HELD_BYTES = 262_144;
/** A caller that has left an answer unread for this long is the likely cause when its target breaks it off. */
const UNREAD_MS = 1_000;

export interface AnswerSource {
  readonly call: Pick<TargetCall, 'wasSent' | 'cancel'> & Partial<Pick<TargetCall, 'recordExcess'>>;
  readonly head: AnswerHead;
  readonly readNext: () => Promise<CallEvent>;
  /** Undefined where another router passes the answer on; its server errors are not retried. */
  readonly target?: ForwardingTarget;
}

type ReadOutcome = Exclude<SendOutcome, { kind: 'notRun' | 'expired' }> | PassedOutcome;

export async function readAnswer(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  source: AnswerSource,
): Promise<ReadOutcome> {
  const { sink, held } = request;
  const { call, head, target } = source;
  const readNext =
    target === undefined
      ? source.readNext
      : AnswerEnds.createEndCheck(dependencies, target, head, source.readNext);
  if (sink === undefined || !isPassable(request, source)) {
    return AnswerBodies.readFullAnswer(call, head, readNext, held);
  }
  // Declared lengths without a body, as of answers to HEAD, are held: only data starts the passing.
  const declaredBytes = Number(Checks.getHeader(head, 'content-length') ?? 0);
  const maxBytes = declaredBytes > MAX_HELD_BYTES ? 0 : MAX_HELD_BYTES;
  const start = await AnswerBodies.readBody(call, readNext, maxBytes, held);
  if (start.kind === 'end') {
    return { kind: 'whole', head, body: Buffer.concat(start.chunks, start.bytes) };
  }
  if (start.kind !== 'more') return start;
  held?.releaseWhole();
  return relayLongAnswer(dependencies, sink, { ...source, readNext }, start.chunks);
}

/**
 * A server error may be retried at another target. An error of unknown length that is longer than an error is answered
 * for at once: passed on, it would last until the time limit of its request.
 */
function isPassable({ route }: ForwardRequest, { head, target }: AnswerSource): boolean {
  const hasEnd = Checks.getHeader(head, 'content-length') !== undefined;
  if (!Checks.isSuccess(head.status) && !hasEnd) return false;
  const isFinal = target === undefined || route.retryPolicy === 'once';
  return isFinal || !Checks.isServerError(head.status);
}

async function relayLongAnswer(
  { clock }: ForwardingDependencies,
  sink: AnswerSink,
  { call, head, readNext }: AnswerSource,
  chunks: Buffer[],
): Promise<PassedOutcome | { readonly kind: 'callerLeft' }> {
  const startedMs = clock.getRunningMs();
  sink.start(head);
  // Removed from the array, which this function refers to until the answer ends.
  for (let chunk = chunks.shift(); chunk !== undefined; chunk = chunks.shift()) {
    await sink.write(chunk);
  }
  for (;;) {
    const event = await readNext();
    if (event.kind === 'data') await sink.write(event.chunk);
    else if (event.kind === 'cancelled') return { kind: 'callerLeft' };
    else if (event.kind === 'end') return { kind: 'passed', head };
    else return decideBreak(event);
  }

  function decideBreak(event: CallEvent): PassedOutcome {
    call.cancel();
    const reason = formatBreak(event);
    if (sink.getUnreadMs().longestMs >= UNREAD_MS) return { kind: 'unread', reason };
    const ranMs = clock.getRunningMs() - startedMs;
    return { kind: 'broken', reason, isTimeout: event.kind === 'timeout', ranMs };
  }
}

function formatBreak(event: CallEvent): string {
  return event.kind === 'broken'
    ? event.reason
    : 'no further data within the timeout in the middle of an answer';
}
