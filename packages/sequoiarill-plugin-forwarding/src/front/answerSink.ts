/** Passes a long plain answer on to its caller as it arrives. */
import type { ServerResponse } from 'node:http';

import * as Checks from '../answers/answerChecks';
import type { AnswerHead, AnswerSink, ForwardOutcome, ForwardRequest } from '../forwardRequest';
import * as HeldEvents from './heldEvents';
import * as Replies from './replies';
import type { ExchangeDependencies } from './replies';
import * as RequestEnds from './requestEnds';

export function createAnswerSink(
  dependencies: ExchangeDependencies,
  request: ForwardRequest,
  response: ServerResponse,
): AnswerSink {
  const { clock } = dependencies;
  let isStarted = false;
  let totalMs = 0;
  let longestMs = 0;

  return {
    start(head) {
      isStarted = true;
      if (response.destroyed || response.writableEnded) return;
      if (request.relayTerms !== undefined) Replies.addRelayHeaders(response, head);
      Replies.sendHead(dependencies, response, head, getLength(head));
    },
    isStarted: () => isStarted,
    async write(chunk) {
      if (response.destroyed || response.writableEnded || response.write(chunk)) return;
      const startedMs = clock.getNowMs();
      await Replies.waitForDrain(response, request.closed);
      const tookMs = clock.getNowMs() - startedMs;
      totalMs += tookMs;
      longestMs = Math.max(longestMs, tookMs);
    },
    getUnreadMs: () => ({ totalMs, longestMs }),
  };
}

/** The length that the target declares; undefined where its answer is chunked or ends with its connection. */
function getLength(head: AnswerHead): number | undefined {
  const length = Checks.getHeader(head, 'content-length');
  const isChunked = Checks.getHeader(head, 'transfer-encoding') !== undefined;
  return length === undefined || isChunked ? undefined : Number(length);
}

/** Ends the response in accordance with the outcome, whether its answer was passed on or not. */
export function sendOutcome(
  dependencies: ExchangeDependencies,
  request: ForwardRequest,
  response: ServerResponse,
  outcome: ForwardOutcome,
): void {
  if (response.writableEnded) {
    // A stop has ended the exchange.
    RequestEnds.recordRequestEnd(dependencies, request, 'callerLeft');
    return;
  }
  if (outcome.kind === 'passed') {
    RequestEnds.recordRequestEnd(dependencies, request, 'answer');
    response.end();
    return;
  }
  if (outcome.kind !== 'broken' && outcome.kind !== 'unread') {
    Replies.sendOutcome(dependencies, request, response, outcome);
    return;
  }
  RequestEnds.recordRequestEnd(dependencies, request, outcome.kind);
  const fields = Replies.createLogFields(dependencies, request);
  const { reason } = outcome;
  if (outcome.kind === 'unread') {
    dependencies.log.logEvent(HeldEvents.ANSWER_UNREAD, { ...fields, reason });
  } else {
    const { lastTarget } = outcome;
    dependencies.log.logEvent(HeldEvents.ANSWER_BROKEN, { ...fields, reason, lastTarget });
  }
  // Unlike an orderly end, a reset completes no answer, also without a length or chunks.
  response.req.socket.resetAndDestroy();
}
