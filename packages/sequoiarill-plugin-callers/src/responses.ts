/** Responses API: creates, reads, resumes and cancels responses. */
import * as EventStreams from './eventStream';
import * as Events from './events';
import type { Exchange, HandlerDependencies } from './exchange';
import * as Faults from './faults';
import * as GenerationRequests from './generationRequest';
import type { GenerationRun, GenerationStep } from './generationRun';
import * as LiveResponses from './liveResponse';
import type { LiveResponse } from './liveResponse';
import * as Metrics from './metrics';
import * as Refusals from './refusals';
import * as Replies from './replies';
import * as ResponseEvents from './responseEvents';
import type { ResponseIdentity } from './responseEvents';
import type { LogReader } from './responseLog';
import * as ResponsesSchema from './responsesSchema';
import type { ResponsesRequest } from './responsesSchema';
import * as ResumePositions from './resumePosition';

const HTTP_OK = 200;

export async function handleCreateResponse(
  deps: HandlerDependencies,
  exchange: Exchange,
): Promise<void> {
  const checked = await GenerationRequests.readRequest(
    deps,
    exchange,
    ResponsesSchema.parseResponsesRequest,
  );
  if (checked.kind === 'fault') {
    Refusals.refuseRequest(deps, exchange, checked.fault);
    return;
  }
  const { request, model } = checked.value;
  const { requestId, organisation, closed } = exchange;
  deps.context.journal.recordDecision(requestId, 'accepted', 'response', {
    organisation: organisation.name,
    model: request.model,
    stream: request.stream,
  });
  const controller = new AbortController();
  const { signal } = controller;
  const generation = GenerationRequests.buildGenerationRequest(
    requestId,
    request,
    model,
    organisation,
    signal,
  );
  const run = deps.generations.runGeneration(generation);
  // Before the first token the caller has no id to resume with, so a disconnect cancels at once.
  const onClosed = (): void => controller.abort();
  if (closed.aborted) onClosed();
  closed.addEventListener('abort', onClosed, { once: true });
  const firstStep = await run.next();
  if (firstStep.done === true && firstStep.value.kind !== 'completed') {
    Refusals.refuseFailedGeneration(deps, exchange, firstStep.value);
    return;
  }
  const live = startResponse(deps, exchange, request, run, firstStep, controller);
  if (request.stream) {
    closed.removeEventListener('abort', onClosed);
    EventStreams.startEventStream(exchange);
    await relayResponse(deps, exchange, live, live.log.openReader(0));
  } else {
    await sendFullAnswer(deps, exchange, live);
  }
}

/** Sends a non-streaming answer once it is complete; a caller never gets part of one. */
async function sendFullAnswer(
  deps: HandlerDependencies,
  exchange: Exchange,
  live: LiveResponse,
): Promise<void> {
  const outcome = await live.ended;
  if (outcome.kind === 'completed' || outcome.kind === 'cancelled') {
    Replies.sendJson(exchange.response, HTTP_OK, formatResponse(live));
  } else {
    Refusals.refuseFailedGeneration(deps, exchange, outcome);
  }
}

function startResponse(
  deps: HandlerDependencies,
  exchange: Exchange,
  request: ResponsesRequest,
  run: GenerationRun,
  firstStep: GenerationStep,
  controller: AbortController,
): LiveResponse {
  const { requestId } = exchange;
  const organisation = exchange.organisation.name;
  const identity: ResponseIdentity = {
    id: requestId,
    itemId: requestId.replace(/^resp/, 'msg'),
    createdAt: GenerationRequests.getUnixSeconds(deps),
    // A retained response does not show its prompt, which can be as large as a request body.
    request: { ...request, messages: [] },
  };
  const live = LiveResponses.createLiveResponse({
    identity,
    organisation,
    run,
    firstStep,
    controller,
    isStreamed: request.stream,
    signEventId: (sequence) => deps.cursors.signCursor({ requestId, organisation, sequence }),
    hasCapacity: request.stream ? deps.store.hasCapacity : () => true,
    recordSizeChange: deps.store.recordSizeChange,
    recordFailure: (error) =>
      deps.context.logEvent(Events.HANDLER_FAILED, {
        requestId,
        stack: Faults.formatStack(error),
      }),
  });
  deps.store.addResponse(live);
  recordEnd(deps, live).catch(() => undefined);
  return live;
}

async function recordEnd(deps: HandlerDependencies, live: LiveResponse): Promise<void> {
  const { journal, logEvent, metrics } = deps.context;
  const outcome = await live.ended;
  const { id } = live.identity;
  const details = { organisation: live.organisation, tokens: live.getTokens() };
  if (outcome.kind === 'cancelled') metrics.addCount(Metrics.WASTED_TOKENS, details.tokens);
  if (outcome.kind === 'lost') {
    logEvent(Events.STREAM_LOST, { requestId: id, reason: outcome.message, ...details });
  }
  journal.recordDecision(id, 'finished', outcome.kind, details);
}

function formatResponse(live: LiveResponse): string {
  return JSON.stringify(ResponseEvents.buildResponse(live.identity, live.getView()));
}

/** Writes the events of a response to one caller, until it ends or the caller disconnects. */
export async function relayResponse(
  deps: HandlerDependencies,
  exchange: Exchange,
  live: LiveResponse,
  reader: LogReader,
): Promise<void> {
  const { response, closed } = exchange;
  closed.addEventListener('abort', live.log.resumeWaiters, { once: true });
  while (!response.destroyed && !reader.hasEnded()) {
    const events = reader.readNextEvents();
    if (events === '') await reader.waitForMore();
    else if (!response.write(events)) {
      await EventStreams.waitForDrain(exchange, deps.context.clock, deps.settings.writeTimeoutMs);
    }
  }
  reader.close();
  if (!response.destroyed) response.end();
  deps.store.handleReaderClosed(live, () => cancelAbandoned(deps, live));
}

function cancelAbandoned(deps: HandlerDependencies, live: LiveResponse): void {
  const { journal, logEvent } = deps.context;
  const details = { organisation: live.organisation, tokens: live.getTokens() };
  journal.recordDecision(
    live.identity.id,
    'cancelled',
    'the caller did not reconnect in time',
    details,
  );
  logEvent(Events.ANSWER_ABANDONED, { requestId: live.identity.id, ...details });
  live.cancel();
}

/** `GET /v1/responses/{id}`: sends the response object or the rest of its stream. */
export async function handleReadResponse(
  deps: HandlerDependencies,
  exchange: Exchange,
): Promise<void> {
  const live = findResponse(deps, exchange);
  if (live === undefined) return;
  if (exchange.query.get('stream') !== 'true') {
    Replies.sendJson(exchange.response, HTTP_OK, formatResponse(live));
    return;
  }
  const start = ResumePositions.parseResumePosition(exchange, deps.cursors, live);
  if (start.kind === 'fault') {
    Refusals.refuseRequest(deps, exchange, start.fault);
    return;
  }
  deps.context.metrics.addCount(Metrics.RESUMED);
  deps.context.journal.recordDecision(
    live.identity.id,
    'resumed',
    'the caller resumed the stream',
    {
      organisation: live.organisation,
      fromSequence: start.value,
    },
  );
  EventStreams.startEventStream(exchange);
  // A caller with all events so far would otherwise get no status until the next token.
  exchange.response.flushHeaders();
  await relayResponse(deps, exchange, live, live.log.openReader(start.value));
}

/** `POST /v1/responses/{id}/cancel`; has no effect on a response that has ended. */
export async function handleCancelResponse(
  deps: HandlerDependencies,
  exchange: Exchange,
): Promise<void> {
  const live = findResponse(deps, exchange);
  if (live === undefined) return;
  if (!live.log.isClosed()) {
    deps.context.journal.recordDecision(live.identity.id, 'cancelled', 'the caller requested it', {
      organisation: live.organisation,
    });
    live.cancel();
    await live.ended;
  }
  Replies.sendJson(exchange.response, HTTP_OK, formatResponse(live));
}

function findResponse(deps: HandlerDependencies, exchange: Exchange): LiveResponse | undefined {
  const id = exchange.path.split('/')[RESPONSE_ID_SEGMENT] ?? '';
  const live = deps.store.findResponse(id, exchange.organisation.name);
  if (live === undefined) {
    Refusals.refuseRequest(deps, exchange, Faults.createUnknownResponse(id));
  }
  return live;
}

/** Index of the id in `/v1/responses/{id}` split at slashes. */
const RESPONSE_ID_SEGMENT = 3;
