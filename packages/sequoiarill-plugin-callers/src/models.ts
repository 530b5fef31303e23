/** `GET /v1/models` and `GET /v1/models/{model}`: the models the organisation may use. */
import type { Model } from '@sequoiarill/types';

import type { Exchange, HandlerDependencies } from './exchange';
import * as Faults from './faults';
import * as GenerationRequests from './generationRequest';
import * as Refusals from './refusals';
import * as Replies from './replies';

const HTTP_OK = 200;
const MODEL_PREFIX = '/v1/models/';

function buildModelObject(model: Model): Readonly<Record<string, unknown>> {
  return { id: model.name, object: 'model', created: 0, owned_by: 'sequoiarill' };
}

export async function handleListModels(
  deps: HandlerDependencies,
  exchange: Exchange,
): Promise<void> {
  const configuration = deps.configuration.getConfiguration();
  const data = exchange.organisation.models
    .map((name) => configuration.models.get(name))
    .filter((model) => model !== undefined)
    .map(buildModelObject);
  Replies.sendJson(exchange.response, HTTP_OK, JSON.stringify({ object: 'list', data }));
}

export async function handleReadModel(
  deps: HandlerDependencies,
  exchange: Exchange,
): Promise<void> {
  const name = decodeURIComponent(exchange.path.slice(MODEL_PREFIX.length));
  const configuration = deps.configuration.getConfiguration();
  const model = GenerationRequests.findModel(configuration, exchange.organisation, name);
  if (model === undefined) {
    Refusals.refuseRequest(deps, exchange, Faults.createUnknownModel(name));
    return;
  }
  Replies.sendJson(exchange.response, HTTP_OK, JSON.stringify(buildModelObject(model)));
}
