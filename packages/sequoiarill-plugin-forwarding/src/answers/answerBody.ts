/** Reads the body of an answer up to a limit. */
import type { AnswerHead, SendOutcome } from '../forwardRequest';
import type { HeldExchange } from '../front/heldExchange';
import type { CallEvent, TargetCall } from '../targets/targetCall';
import * as Checks from './answerChecks';

/** Answers that must be whole and are longer are rejected. */
const MAX_WHOLE_BYTES = 16_777_216;
/**
 * Failure: targets answer with errors whose bodies do not end, and several of them at a time fill the memory of the router.
 * An error has a text for its reader.
 */
const MAX_ERROR_BYTES = 524_288;

/** Undefined when the event does not end the call. */
export function decideFailure(
  call: Pick<TargetCall, 'wasSent'>,
  event: CallEvent,
): Extract<SendOutcome, { kind: 'lost' | 'notSent' | 'callerLeft' }> | undefined {
  if (event.kind === 'cancelled') return { kind: 'callerLeft' };
  if (event.kind !== 'broken') return undefined;
  const { reason } = event;
  return call.wasSent() ? { kind: 'lost', reason, isTimeout: false } : { kind: 'notSent', reason };
}

type BodyCall = Pick<TargetCall, 'wasSent' | 'cancel'> & Partial<Pick<TargetCall, 'recordExcess'>>;
type BodyFailure = Extract<SendOutcome, { kind: 'lost' | 'notSent' | 'callerLeft' }>;

/** A body up to its end, or its first bytes where it is longer than allowed. */
export type BodyResult =
  | { readonly kind: 'end'; readonly chunks: Buffer[]; readonly bytes: number }
  | { readonly kind: 'more'; readonly chunks: Buffer[]; readonly bytes: number }
  | BodyFailure;

/** Reads the body after the head until it is complete, or has more than `maxBytes` or than may be held. */
export async function readBody(
  call: BodyCall,
  readNext: () => Promise<CallEvent>,
  maxBytes: number,
  held: HeldExchange | undefined,
): Promise<BodyResult> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for (;;) {
    const event = await readNext();
    if (event.kind === 'end') return { kind: 'end', chunks, bytes };
    if (event.kind === 'data') {
      chunks.push(event.chunk);
      bytes += event.chunk.length;
      held?.addWholeBytes(event.chunk.length);
      const mayHold = bytes <= maxBytes && held?.mayHoldWhole(bytes) !== false;
      if (!mayHold) return { kind: 'more', chunks, bytes };
    } else {
      const failure = decideBodyFailure(call, event);
      if (failure !== undefined) {
        held?.addWholeBytes(-bytes);
        return failure;
      }
    }
  }
}

function decideBodyFailure(call: BodyCall, event: CallEvent): BodyFailure | undefined {
  if (event.kind !== 'timeout') return decideFailure(call, event);
  call.cancel();
  const reason = 'no further data within the timeout in the middle of an answer';
  return { kind: 'lost', reason, isTimeout: true };
}

/** Reads the body after the head until the answer is complete. */
export async function readFullAnswer(
  call: BodyCall,
  head: AnswerHead,
  readNext: () => Promise<CallEvent>,
  held: HeldExchange | undefined,
): Promise<Exclude<SendOutcome, { kind: 'notRun' | 'expired' }>> {
  const maxBytes = Checks.isSuccess(head.status) ? MAX_WHOLE_BYTES : MAX_ERROR_BYTES;
  const isTooLong = Number(Checks.getHeader(head, 'content-length') ?? 0) > maxBytes;
  const result = await readBody(call, readNext, isTooLong ? 0 : maxBytes, held);
  if (result.kind === 'end') {
    return { kind: 'whole', head, body: Buffer.concat(result.chunks, result.bytes) };
  }
  if (result.kind !== 'more') return result;
  call.recordExcess?.('body', result.bytes);
  call.cancel();
  held?.addWholeBytes(-result.bytes);
  return { kind: 'lost', reason: 'answer exceeds the size limit', isTimeout: false };
}
