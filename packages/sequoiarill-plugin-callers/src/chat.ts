/** `POST /v1/chat/completions`, as a stream or in one piece. */
import type { GenerationOutcome } from '@sequoiarill/types';

import * as ChatEvents from './chatEvents';
import type { ChatIdentity } from './chatEvents';
import * as ChatSchema from './chatSchema';
import type { ChatRequest } from './chatSchema';
import * as Events from './events';
import * as EventStreams from './eventStream';
import type { Exchange, Front } from './exchange';
import * as Generating from './generating';
import * as GenerationRuns from './generationRun';
import type { GenerationRun } from './generationRun';
import * as Metrics from './metrics';
import * as Outcomes from './outcomes';
import * as Refusals from './refusals';
import * as Replies from './replies';

const HTTP_OK = 200;

export async function handleChat(front: Front, exchange: Exchange): Promise<void> {
  const checked = await Generating.readRequest(front, exchange, ChatSchema.parseChatRequest);
  if (checked.kind === 'fault') {
    Refusals.refuseRequest(front, exchange, checked.fault);
    return;
  }
  const { request, model } = checked.value;
  const { requestId, organisation, closed } = exchange;
  front.context.journal.recordDecision(requestId, 'accepted', 'chat completion', {
    organisation: organisation.name,
    model: request.model,
    stream: request.stream,
  });
  const generation = Generating.buildGeneration(requestId, request, model, organisation, closed);
  const run = front.generations.runGeneration(generation);
  const created = Generating.getCreatedSeconds(front);
  const identity: ChatIdentity = { id: requestId, created, model: request.model };
  if (request.stream) await relayStream(front, exchange, identity, request, run);
  else await sendWhole(front, exchange, identity, run);
}

async function sendWhole(
  front: Front,
  exchange: Exchange,
  identity: ChatIdentity,
  run: GenerationRun,
): Promise<void> {
  const parts: string[] = [];
  let tokens = 0;
  let step = await run.next();
  while (step.done !== true) {
    parts.push(step.value.text);
    tokens += step.value.tokenCount;
    step = await run.next();
  }
  const outcome = step.value;
  if (outcome.kind === 'completed') {
    const text = parts.join('');
    const { finishReason, usage } = outcome;
    const body = ChatEvents.formatCompletion(identity, text, finishReason, usage);
    Replies.sendJson(exchange.response, HTTP_OK, body);
    recordEnd(front, exchange, outcome, tokens);
    return;
  }
  if (outcome.kind === 'cancelled') front.context.metrics.addCount(Metrics.WASTED_TOKENS, tokens);
  Refusals.refuseFailure(front, exchange, outcome);
}

/**
 * Nothing is written before the first batch or the outcome, so that a request that was not run is
 * answered with its own status instead of a stream that breaks off.
 */
async function relayStream(
  front: Front,
  exchange: Exchange,
  identity: ChatIdentity,
  request: ChatRequest,
  run: GenerationRun,
): Promise<void> {
  const { response } = exchange;
  const { clock } = front.context;
  const chunks = ChatEvents.createChatChunks(identity, request.includeUsage);
  let tokens = 0;
  let step = await run.next();
  if (step.done === true && step.value.kind !== 'completed') {
    Refusals.refuseFailure(front, exchange, step.value);
    return;
  }
  EventStreams.startEventStream(exchange);
  let pending = chunks.opening;
  while (step.done !== true) {
    const { text, tokenCount } = step.value;
    tokens += tokenCount;
    if (text !== '') pending += chunks.formatDelta(text);
    if (pending !== '' && !response.destroyed && !response.write(pending)) {
      await EventStreams.waitDrain(exchange, clock, front.settings.writeTimeoutMs);
    }
    pending = '';
    step = response.destroyed ? await run.return(GenerationRuns.CANCELLED) : await run.next();
  }
  const outcome = step.value;
  if (!response.destroyed) response.end(pending + formatEnd(chunks, outcome));
  recordEnd(front, exchange, outcome, tokens);
}

function formatEnd(chunks: ChatEvents.ChatChunks, outcome: GenerationOutcome): string {
  if (outcome.kind === 'completed') return chunks.formatEnd(outcome.finishReason, outcome.usage);
  // No `[DONE]`: a caller that looks for it sees that the answer is cut.
  return EventStreams.formatErrorEvent(Outcomes.createFailureFault(outcome));
}

function recordEnd(
  front: Front,
  exchange: Exchange,
  outcome: GenerationOutcome,
  tokens: number,
): void {
  const { journal, logEvent, metrics } = front.context;
  const { requestId, organisation } = exchange;
  const details = { organisation: organisation.name, tokens };
  if (outcome.kind === 'cancelled') {
    metrics.addCount(Metrics.WASTED_TOKENS, tokens);
    journal.recordDecision(requestId, 'cancelled', 'the caller left', details);
    logEvent(Events.ANSWER_ABANDONED, { requestId, ...details });
    return;
  }
  if (outcome.kind === 'lost') {
    logEvent(Events.STREAM_LOST, { requestId, reason: outcome.message, ...details });
  }
  journal.recordDecision(requestId, 'finished', outcome.kind, details);
}
