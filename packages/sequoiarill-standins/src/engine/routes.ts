/** Routes of the engine stand-in. */
import type { ServerResponse } from 'node:http';

import * as Zod from 'zod';

import * as Http from '../shared/http';
import * as Completions from './completions';
import type { EngineCore, EngineLoad } from './core';
import * as Errors from './errors';
import * as Requests from './requests';

const RESUME_PATH = /^\/v1\/completions\/([^/]+)$/;
const CANCEL_PATH = /^\/v1\/completions\/([^/]+)\/cancel$/;

const modelCommandSchema = Zod.looseObject({ model: Zod.string().min(1) });

export interface EngineRoutes {
  readonly core: EngineCore;
  /** Returns the load as `GET /load` reports it, which may lag behind. */
  readonly getReportedLoad: () => EngineLoad;
}

export async function handleEngineRequest(
  routes: EngineRoutes,
  exchange: Http.Exchange,
): Promise<void> {
  const { pathname } = exchange.url;
  if (exchange.method === 'POST') await handlePost(routes.core, pathname, exchange);
  else handleGet(routes, pathname, exchange);
}

async function handlePost(
  core: EngineCore,
  pathname: string,
  exchange: Http.Exchange,
): Promise<void> {
  const cancelledId = CANCEL_PATH.exec(pathname)?.[1];
  if (pathname === '/v1/chat/completions') {
    await Completions.handleCompletion(core, 'chat', exchange);
  } else if (pathname === '/v1/completions') {
    await Completions.handleCompletion(core, 'completion', exchange);
  } else if (pathname === '/v1/models/load' || pathname === '/v1/models/unload') {
    await handleModelCommand(core, pathname === '/v1/models/load', exchange);
  } else if (cancelledId !== undefined) {
    Completions.handleCancel(core, decodeURIComponent(cancelledId), exchange);
  } else sendNotFound(exchange.response, pathname);
}

function handleGet(routes: EngineRoutes, pathname: string, exchange: Http.Exchange): void {
  const { core } = routes;
  const { response } = exchange;
  const resumedId = RESUME_PATH.exec(pathname)?.[1];
  if (pathname === '/health') handleHealth(core, response);
  else if (pathname === '/load') Http.sendJson(response, 200, routes.getReportedLoad());
  else if (pathname === '/v1/models') Http.sendJson(response, 200, buildModelList(core));
  else if (pathname === '/cache_events') sendCacheEvents(core, exchange);
  else if (resumedId !== undefined) {
    Completions.handleResume(core, decodeURIComponent(resumedId), exchange);
  } else sendNotFound(exchange.response, pathname);
}

function handleHealth(core: EngineCore, response: ServerResponse): void {
  if (core.isDraining()) Http.sendJson(response, 503, { status: 'draining' });
  else Http.sendJson(response, 200, { status: 'ok' });
}

function buildModelList(core: EngineCore): unknown {
  const data = core.models
    .listModels()
    .map((id) => ({ id, object: 'model', max_model_len: core.settings.contextTokens }));
  return { object: 'list', data };
}

function sendCacheEvents(core: EngineCore, exchange: Http.Exchange): void {
  const after = Number(exchange.url.searchParams.get('after') ?? 0);
  const events = core.cacheEvents.listEventsAfter(after);
  Http.sendJson(exchange.response, 200, { incarnation: core.getLoad().incarnation, events });
}

async function handleModelCommand(
  core: EngineCore,
  isLoad: boolean,
  exchange: Http.Exchange,
): Promise<void> {
  const { request, response } = exchange;
  const parsed = modelCommandSchema.safeParse(Http.parseJson(exchange.body));
  if (!parsed.success) {
    Errors.sendError(response, Errors.buildInvalid('the body must contain a model name', 'model'));
    return;
  }
  const { model } = parsed.data;
  const error = core.checkFencing(`model ${model}`, Requests.parseFencingNumber(request));
  if (error !== undefined) {
    Errors.sendError(response, error);
    return;
  }
  if (isLoad) await core.models.loadModel(model);
  else await core.models.removeModel(model);
  Http.sendJson(response, 200, { model, loaded: core.models.hasModel(model) });
}

function sendNotFound(response: ServerResponse, pathname: string): void {
  const message = `no such path: ${pathname}`;
  Errors.sendError(response, {
    status: 404,
    message,
    type: 'invalid_request_error',
    code: 'not_found',
  });
}
