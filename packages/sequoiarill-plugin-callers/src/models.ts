/** `GET /v1/models` and `GET /v1/models/{model}`: the models of the organisation. */
import type { Model } from '@sequoiarill/types';

import type { Exchange, Front } from './exchange';
import * as Faults from './faults';
import * as Generating from './generating';
import * as Refusals from './refusals';
import * as Replies from './replies';

const HTTP_OK = 200;
/** In `/v1/models/{model}`. */
const MODEL_PREFIX = '/v1/models/';

function buildModel(model: Model): Readonly<Record<string, unknown>> {
  return { id: model.name, object: 'model', created: 0, owned_by: 'sequoiarill' };
}

export async function handleListModels(front: Front, exchange: Exchange): Promise<void> {
  const configuration = front.configuration.getConfiguration();
  const data = exchange.organisation.models
    .map((name) => configuration.models.get(name))
    .filter((model) => model !== undefined)
    .map(buildModel);
  Replies.sendJson(exchange.response, HTTP_OK, JSON.stringify({ object: 'list', data }));
}

export async function handleReadModel(front: Front, exchange: Exchange): Promise<void> {
  const name = decodeURIComponent(exchange.path.slice(MODEL_PREFIX.length));
  const configuration = front.configuration.getConfiguration();
  const model = Generating.findModel(configuration, exchange.organisation, name);
  if (model === undefined) {
    Refusals.refuseRequest(front, exchange, Faults.createUnknownModel(name));
    return;
  }
  Replies.sendJson(exchange.response, HTTP_OK, JSON.stringify(buildModel(model)));
}
