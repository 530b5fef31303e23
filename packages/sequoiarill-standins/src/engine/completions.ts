/** Handles requests that start, resume or cancel a generation. */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';

import * as Http from '../shared/http';
import * as Chunks from './chunks';
import type { EngineCore } from './core';
import * as Errors from './errors';
import type { FinishReason, Generation, GenerationStream } from './generation';
import * as Requests from './requests';

const EVENT_STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };
const STOPPED_STATUS = 409;

export async function handleCompletion(
  core: EngineCore,
  form: Chunks.ChunkForm,
  exchange: Http.Exchange,
): Promise<void> {
  const { request, response } = exchange;
  const parsed = Requests.parseCompletionRequest(form, Http.parseJson(exchange.body));
  if (parsed.kind === 'invalid') {
    Errors.sendError(response, Errors.buildInvalid(parsed.message, parsed.param));
    return;
  }
  const requestId = String(request.headers['x-request-id'] ?? randomUUID());
  const fencingNumber = Requests.parseFencingNumber(request);
  const result = core.startGeneration(requestId, fencingNumber, parsed.request);
  if (result.kind === 'refused') Errors.sendError(response, result.error);
  else if (parsed.request.isStream) sendStream(core, result.generation, parsed.request, response);
  else await sendFullAnswer(core, result.generation, parsed.request, response);
}

function sendStream(
  core: EngineCore,
  generation: Generation,
  request: Requests.CompletionRequest,
  response: ServerResponse,
): void {
  const { requestId, promptIds } = generation;
  const stream = Chunks.createResponseStream(response, {
    form: request.form,
    requestId,
    model: request.model,
    promptIds: request.returnsTokenIds ? promptIds : undefined,
    includesUsage: request.includesUsage,
  });
  openStream(core, generation, stream, response, 0);
}

function openStream(
  core: EngineCore,
  generation: Generation,
  stream: GenerationStream,
  response: ServerResponse,
  startingAfter: number,
): void {
  response.writeHead(200, { ...EVENT_STREAM_HEADERS, 'x-request-id': generation.requestId });
  response.flushHeaders();
  response.on('close', () => core.registry.removeStream(generation, stream));
  core.registry.addStream(generation, stream, startingAfter);
  // If the client disconnected while the engine was paused, the `close` event was emitted before
  // the listener was added.
  if (response.destroyed) core.registry.removeStream(generation, stream);
}

async function sendFullAnswer(
  core: EngineCore,
  generation: Generation,
  request: Requests.CompletionRequest,
  response: ServerResponse,
): Promise<void> {
  const finishReason = await waitUntilEnded(core, generation, response);
  if (finishReason === undefined) {
    const message = 'the generation was stopped by another request or command';
    const error = { status: STOPPED_STATUS, message, type: 'conflict_error', code: 'stopped' };
    Errors.sendError(response, error);
    return;
  }
  const { form, returnsTokenIds } = request;
  const headers = { 'x-request-id': generation.requestId };
  Http.sendJson(response, 200, buildFullAnswer(form, generation, returnsTokenIds), headers);
}

/** Resolves with the finish reason, or with `undefined` if the generation was stopped. */
function waitUntilEnded(
  core: EngineCore,
  generation: Generation,
  response: ServerResponse,
): Promise<FinishReason | undefined> {
  return new Promise((resolve) => {
    const stream: GenerationStream = {
      isBlocked: () => false,
      sendTokens: () => undefined,
      sendEnd: (finishReason) => resolve(finishReason),
      sendStopped: () => resolve(undefined),
    };
    response.on('close', () => core.registry.removeStream(generation, stream));
    core.registry.addStream(generation, stream, 0);
    if (response.destroyed) core.registry.removeStream(generation, stream);
  });
}

function buildFullAnswer(
  form: Chunks.ChunkForm,
  generation: Generation,
  returnsTokenIds: boolean,
): unknown {
  const text = generation.getText();
  const promptIds = returnsTokenIds ? { prompt_token_ids: generation.promptIds } : {};
  const tokenIds = returnsTokenIds ? { token_ids: generation.getOutputIds() } : {};
  const body = form === 'chat' ? { message: { role: 'assistant', content: text } } : { text };
  const finish = { finish_reason: generation.getFinishReason() ?? null };
  const choicePromptIds = form === 'chat' ? {} : promptIds;
  return {
    id: Chunks.getObjectId(form, generation.requestId),
    object: form === 'chat' ? 'chat.completion' : 'text_completion',
    created: Chunks.getCreatedSeconds(),
    model: generation.model.model,
    choices: [{ index: 0, ...body, ...choicePromptIds, ...tokenIds, logprobs: null, ...finish }],
    ...promptIds,
    usage: Chunks.buildUsage(generation.getUsage()),
  };
}

/**
 * `GET /v1/completions/{request-id}`: sends the tokens produced so far, then new ones as they are
 * produced.
 */
export function handleResume(core: EngineCore, requestId: string, exchange: Http.Exchange): void {
  const { request, response } = exchange;
  const query = exchange.url.searchParams;
  const startingAfter = Number(query.get('starting_after') ?? 0);
  const generation = core.registry.findGeneration(requestId);
  const error =
    core.checkFencing(requestId, Requests.parseFencingNumber(request)) ??
    findResumeError(generation, requestId, startingAfter);
  if (error !== undefined) Errors.sendError(response, error);
  else if (generation !== undefined && query.get('stream') === 'true') {
    core.counters.addCount('resumed');
    sendRemainingStream(core, generation, response, startingAfter);
  } else if (generation !== undefined) {
    Http.sendJson(response, 200, buildFullAnswer('completion', generation, true));
  }
}

function sendRemainingStream(
  core: EngineCore,
  generation: Generation,
  response: ServerResponse,
  startingAfter: number,
): void {
  const stream = Chunks.createResponseStream(response, {
    form: 'completion',
    requestId: generation.requestId,
    model: generation.model.model,
    promptIds: generation.promptIds,
    includesUsage: true,
  });
  openStream(core, generation, stream, response, startingAfter);
}

function findResumeError(
  generation: Generation | undefined,
  requestId: string,
  startingAfter: number,
): Errors.EngineError | undefined {
  if (generation === undefined || generation.getState() === 'stopped') {
    return Errors.buildRequestNotFound(requestId);
  }
  const produced = generation.getOutputIds().length;
  if (Number.isInteger(startingAfter) && startingAfter >= 0 && startingAfter <= produced) {
    return undefined;
  }
  return Errors.buildInvalid(
    `starting_after must be an integer from 0 to ${produced}`,
    'starting_after',
  );
}

/** `POST /v1/completions/{request-id}/cancel`. */
export function handleCancel(core: EngineCore, requestId: string, exchange: Http.Exchange): void {
  const { request, response } = exchange;
  const error = core.checkFencing(requestId, Requests.parseFencingNumber(request));
  if (error !== undefined) {
    Errors.sendError(response, error);
    return;
  }
  const tokens = core.registry.cancelRequest(requestId);
  if (tokens === undefined) {
    Errors.sendError(response, Errors.buildRequestNotFound(requestId));
    return;
  }
  core.counters.addCount('cancelled');
  Http.sendJson(response, 200, {
    id: requestId,
    status: 'cancelled',
    usage: { completion_tokens: tokens },
  });
}
