/** One send of a request whose answer is a stream of events. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { EventBlock } from './eventBlocks';
import * as EventBlocks from './eventBlocks';
import type { AnswerHead, ForwardRequest, SendOutcome } from './forwardRequest';
import type { RawHeader } from './headers';
import type { ForwardingParts } from './parts';
import * as Sending from './sending';
import type { CallEvent, TargetCall } from './targetCall';

/** What one attempt gives while it runs. */
export interface StreamPart {
  readonly head: AnswerHead;
  /** Whole events, at least one. */
  readonly blocks: readonly EventBlock[];
}

export type AttemptOutcome = SendOutcome | { readonly kind: 'complete'; readonly head: AnswerHead };

export interface AttemptOrder {
  readonly request: ForwardRequest;
  readonly target: ForwardingTarget;
  readonly extraHeaders: readonly RawHeader[];
  /** A copy of the run's memory is kept elsewhere, so that a false alarm costs little. */
  readonly hasCopy: boolean;
  /** Tokens that the target has to prefill before its first event. */
  readonly prefillTokens: number;
}

const SUCCESS = 200;

/** Yields events as they become whole; ends with what the attempt came to. */
export async function* runStreamAttempt(
  parts: ForwardingParts,
  order: AttemptOrder,
): AsyncGenerator<StreamPart, AttemptOutcome, void> {
  const { request, target } = order;
  const call = parts.openCall(request, target, order.extraHeaders);
  request.closed.addEventListener('abort', call.cancel, { once: true });
  parts.book.recordStart(target);
  try {
    return yield* readStream(parts, order, call);
  } finally {
    // Also when the reader of the generator has gone.
    call.cancel();
    parts.book.recordEnd(target);
    request.closed.removeEventListener('abort', call.cancel);
  }
}

/** What one event of the call means for the attempt; undefined: nothing yet. */
type Step = StreamPart | AttemptOutcome | undefined;

async function* readStream(
  parts: ForwardingParts,
  order: AttemptOrder,
  call: TargetCall,
): AsyncGenerator<StreamPart, AttemptOutcome, void> {
  const reader = createStreamReader(parts, order, call);
  for (;;) {
    const step = await reader.readStep();
    if (step !== undefined) {
      if ('kind' in step) return step;
      yield step;
    }
  }
}

function createStreamReader(parts: ForwardingParts, order: AttemptOrder, call: TargetCall) {
  const { request, target } = order;
  const { clock } = parts;
  const policy = parts.getStallPolicy(request.service);
  const splitter = EventBlocks.createEventBlockSplitter();
  const preference = order.hasCopy ? 'copied' : 'resumeLatency';
  const limits = policy.getLimits(target.id, preference, order.prefillTokens);
  const startedMs = clock.getNowMs();
  let lastEventMs = startedMs;
  let hasEvents = false;
  let head: AnswerHead | undefined;

  function readNext(): Promise<CallEvent> {
    const nowMs = clock.getNowMs();
    const silenceMs = lastEventMs + (hasEvents ? limits.gapMs : limits.firstTokenMs) - nowMs;
    return call.readEvent(Math.min(silenceMs, request.expiresAtMs - nowMs));
  }

  function recordEvents(): void {
    const nowMs = clock.getNowMs();
    if (hasEvents) policy.recordGap(target.id, nowMs - lastEventMs);
    else policy.recordFirstToken(target.id, nowMs - startedMs, order.prefillTokens);
    parts.book.recordSign(target);
    hasEvents = true;
    lastEventMs = nowMs;
  }

  async function handleHead(answered: AnswerHead): Promise<Step> {
    const failure = Sending.decideHead(parts, request, call, answered);
    if (failure !== undefined) return failure;
    if (answered.status !== SUCCESS) return Sending.readWhole(call, answered, readNext);
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

  function handleTimeout(): Step {
    if (clock.getNowMs() >= request.expiresAtMs) return { kind: 'expired' };
    return call.wasSent()
      ? { kind: 'lost', reason: 'silent', isSilence: true }
      : { kind: 'notSent', reason: 'no connection in time' };
  }

  return {
    async readStep(): Promise<Step> {
      const event = await readNext();
      if (event.kind === 'head') return handleHead(event.head);
      if (event.kind === 'data') return handleData(event.chunk);
      if (event.kind === 'end') return handleEnd();
      if (event.kind === 'timeout') return handleTimeout();
      return Sending.decideFailure(call, event);
    },
  };
}
