/** `POST /v1/chat/completions`, streaming or not. */
import type { GenerationOutcome } from '@sequoiarill/types';

import * as ChatEvents from './chatEvents';
import type { ChatIdentity } from './chatEvents';
import * as ChatSchema from './chatSchema';
import type { ChatRequest } from './chatSchema';
import * as Events from './events';
import * as EventStreams from './eventStream';
import type { Exchange, HandlerDependencies } from './exchange';
import * as GenerationRequests from './generationRequest';
import * as GenerationRuns from './generationRun';
import type { GenerationRun } from './generationRun';
import * as Metrics from './metrics';
import * as Outcomes from './outcomes';
import * as Refusals from './refusals';
import * as Replies from './replies';

const HTTP_OK = 200;

export async function handleChat(deps: HandlerDependencies, exchange: Exchange): Promise<void> {
  const checked = await GenerationRequests.readRequest(deps, exchange, ChatSchema.parseChatRequest);
  if (checked.kind === 'fault') {
    Refusals.refuseRequest(deps, exchange, checked.fault);
    return;
  }
  const { request, model } = checked.value;
  const { requestId, organisation, closed } = exchange;
  deps.context.journal.recordDecision(requestId, 'accepted', 'chat completion', {
    organisation: organisation.name,
    model: request.model,
    stream: request.stream,
  });
  const generation = GenerationRequests.buildGenerationRequest(
    requestId,
    request,
    model,
    organisation,
    closed,
  );
  const run = deps.generations.runGeneration(generation);
  const created = GenerationRequests.getUnixSeconds(deps);
  const identity: ChatIdentity = { id: requestId, created, model: request.model };
  if (request.stream) await relayStream(deps, exchange, identity, request, run);
  else await sendFullAnswer(deps, exchange, identity, run);
}

async function sendFullAnswer(
  deps: HandlerDependencies,
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
    recordEnd(deps, exchange, outcome, tokens);
    return;
  }
  if (outcome.kind === 'cancelled') deps.context.metrics.addCount(Metrics.WASTED_TOKENS, tokens);
  Refusals.refuseFailedGeneration(deps, exchange, outcome);
}

/**
 * Writes nothing before the first batch or the outcome, so that a request that was not run gets an
 * error status instead of a stream that ends early.
 */
async function relayStream(
  deps: HandlerDependencies,
  exchange: Exchange,
  identity: ChatIdentity,
  request: ChatRequest,
  run: GenerationRun,
): Promise<void> {
  const { response } = exchange;
  const { clock } = deps.context;
  const chunks = ChatEvents.createChatChunks(identity, request.includeUsage);
  let tokens = 0;
  let step = await run.next();
  if (step.done === true && step.value.kind !== 'completed') {
    Refusals.refuseFailedGeneration(deps, exchange, step.value);
    return;
  }
  EventStreams.startEventStream(exchange);
  let pending = chunks.opening;
  while (step.done !== true) {
    const { text, tokenCount } = step.value;
    tokens += tokenCount;
    if (text !== '') pending += chunks.formatDelta(text);
    if (pending !== '' && !response.destroyed && !response.write(pending)) {
      await EventStreams.waitForDrain(exchange, clock, deps.settings.writeTimeoutMs);
    }
    pending = '';
    step = response.destroyed ? await run.return(GenerationRuns.CANCELLED) : await run.next();
  }
  const outcome = step.value;
  if (!response.destroyed) response.end(pending + formatEnd(chunks, outcome));
  recordEnd(deps, exchange, outcome, tokens);
}

function formatEnd(chunks: ChatEvents.ChatChunks, outcome: GenerationOutcome): string {
  if (outcome.kind === 'completed') return chunks.formatEnd(outcome.finishReason, outcome.usage);
  // Omits `[DONE]`, so that a caller that checks for it notices the truncated answer.
  return EventStreams.formatErrorEvent(Outcomes.createFailureFault(outcome));
}

function recordEnd(
  deps: HandlerDependencies,
  exchange: Exchange,
  outcome: GenerationOutcome,
  tokens: number,
): void {
  const { journal, logEvent, metrics } = deps.context;
  const { requestId, organisation } = exchange;
  const details = { organisation: organisation.name, tokens };
  if (outcome.kind === 'cancelled') {
    metrics.addCount(Metrics.WASTED_TOKENS, tokens);
    journal.recordDecision(requestId, 'cancelled', 'the caller disconnected', details);
    logEvent(Events.ANSWER_ABANDONED, { requestId, ...details });
    return;
  }
  if (outcome.kind === 'lost') {
    logEvent(Events.STREAM_LOST, { requestId, reason: outcome.message, ...details });
  }
  journal.recordDecision(requestId, 'finished', outcome.kind, details);
}
