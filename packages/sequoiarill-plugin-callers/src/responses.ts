/** `POST /v1/responses`, and reading, resuming and cancelling a response. */
import * as EventStreams from './eventStream';
import * as Events from './events';
import type { Exchange, Front } from './exchange';
import * as Faults from './faults';
import * as Generating from './generating';
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
import * as Resuming from './resuming';

const HTTP_OK = 200;

export async function handleCreateResponse(front: Front, exchange: Exchange): Promise<void> {
  const checked = await Generating.readRequest(
    front,
    exchange,
    ResponsesSchema.parseResponsesRequest,
  );
  if (checked.kind === 'fault') {
    Refusals.refuseRequest(front, exchange, checked.fault);
    return;
  }
  const { request, model } = checked.value;
  const { requestId, organisation, closed } = exchange;
  front.context.journal.recordDecision(requestId, 'accepted', 'response', {
    organisation: organisation.name,
    model: request.model,
    stream: request.stream,
  });
  const controller = new AbortController();
  const { signal } = controller;
  const generation = Generating.buildGeneration(requestId, request, model, organisation, signal);
  const run = front.generations.runGeneration(generation);
  // Until the first token the caller knows no id to come back with, so leaving cancels at once.
  const onClosed = (): void => controller.abort();
  if (closed.aborted) onClosed();
  closed.addEventListener('abort', onClosed, { once: true });
  const firstStep = await run.next();
  if (firstStep.done === true && firstStep.value.kind !== 'completed') {
    Refusals.refuseFailure(front, exchange, firstStep.value);
    return;
  }
  const live = startResponse(front, exchange, request, run, firstStep, controller);
  if (request.stream) {
    closed.removeEventListener('abort', onClosed);
    EventStreams.startEventStream(exchange);
    await relayResponse(front, exchange, live, live.log.openReader(0));
  } else {
    await sendWhole(front, exchange, live);
  }
}

/** A caller that asked for one piece gets a whole answer, or none. */
async function sendWhole(front: Front, exchange: Exchange, live: LiveResponse): Promise<void> {
  const outcome = await live.ended;
  if (outcome.kind === 'completed' || outcome.kind === 'cancelled') {
    Replies.sendJson(exchange.response, HTTP_OK, formatResponse(live));
  } else {
    Refusals.refuseFailure(front, exchange, outcome);
  }
}

function startResponse(
  front: Front,
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
    createdAt: Generating.getCreatedSeconds(front),
    // A kept response shows no prompt, and a kept prompt could be as large as a body.
    request: { ...request, messages: [] },
  };
  const live = LiveResponses.createLiveResponse({
    identity,
    organisation,
    run,
    firstStep,
    controller,
    isStreamed: request.stream,
    signSequence: (sequence) => front.cursors.signCursor({ requestId, organisation, sequence }),
    hasRoom: request.stream ? front.store.hasRoom : () => true,
    recordBytes: front.store.recordBytes,
    recordFault: (error) =>
      front.context.logEvent(Events.HANDLER_FAILED, {
        requestId,
        stack: Faults.formatStack(error),
      }),
  });
  front.store.addResponse(live);
  recordEnd(front, live).catch(() => undefined);
  return live;
}

async function recordEnd(front: Front, live: LiveResponse): Promise<void> {
  const { journal, logEvent, metrics } = front.context;
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

/** Writes the events of a response to one caller, until the end or until the caller leaves. */
export async function relayResponse(
  front: Front,
  exchange: Exchange,
  live: LiveResponse,
  reader: LogReader,
): Promise<void> {
  const { response, closed } = exchange;
  closed.addEventListener('abort', live.log.wakeWaiting, { once: true });
  while (!response.destroyed && !reader.hasEnded()) {
    const events = reader.takeEvents();
    if (events === '') await reader.waitForMore();
    else if (!response.write(events)) {
      await EventStreams.waitDrain(exchange, front.context.clock, front.settings.writeTimeoutMs);
    }
  }
  reader.close();
  if (!response.destroyed) response.end();
  front.store.handleReaderLeft(live, () => cancelAbandoned(front, live));
}

function cancelAbandoned(front: Front, live: LiveResponse): void {
  const { journal, logEvent } = front.context;
  const details = { organisation: live.organisation, tokens: live.getTokens() };
  journal.recordDecision(live.identity.id, 'cancelled', 'the caller did not come back', details);
  logEvent(Events.ANSWER_ABANDONED, { requestId: live.identity.id, ...details });
  live.cancel();
}

/** `GET /v1/responses/{id}`, whole or as the rest of its stream. */
export async function handleReadResponse(front: Front, exchange: Exchange): Promise<void> {
  const live = findResponse(front, exchange);
  if (live === undefined) return;
  if (exchange.query.get('stream') !== 'true') {
    Replies.sendJson(exchange.response, HTTP_OK, formatResponse(live));
    return;
  }
  const start = Resuming.parseStart(exchange, front.cursors, live);
  if (start.kind === 'fault') {
    Refusals.refuseRequest(front, exchange, start.fault);
    return;
  }
  front.context.metrics.addCount(Metrics.RESUMED);
  front.context.journal.recordDecision(live.identity.id, 'resumed', 'a caller reads on', {
    organisation: live.organisation,
    fromSequence: start.value,
  });
  EventStreams.startEventStream(exchange);
  // A caller that is up to date waits for the status, and the next token may take a while.
  exchange.response.flushHeaders();
  await relayResponse(front, exchange, live, live.log.openReader(start.value));
}

/** `POST /v1/responses/{id}/cancel`; an ended response stays as it ended. */
export async function handleCancelResponse(front: Front, exchange: Exchange): Promise<void> {
  const live = findResponse(front, exchange);
  if (live === undefined) return;
  if (!live.log.isClosed()) {
    front.context.journal.recordDecision(live.identity.id, 'cancelled', 'the caller asked for it', {
      organisation: live.organisation,
    });
    live.cancel();
    await live.ended;
  }
  Replies.sendJson(exchange.response, HTTP_OK, formatResponse(live));
}

function findResponse(front: Front, exchange: Exchange): LiveResponse | undefined {
  const id = exchange.path.split('/')[RESPONSE_ID_SEGMENT] ?? '';
  const live = front.store.findResponse(id, exchange.organisation.name);
  if (live === undefined) {
    Refusals.refuseRequest(front, exchange, Faults.createUnknownResponse(id));
  }
  return live;
}

/** In `/v1/responses/{id}`, split at slashes. */
const RESPONSE_ID_SEGMENT = 3;
