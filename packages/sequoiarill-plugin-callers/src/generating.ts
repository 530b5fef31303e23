/** From a checked request to the generation that answers it. */
import * as Crypto from 'node:crypto';

import type { Configuration, GenerationRequest, Model, Organisation } from '@sequoiarill/types';

import * as Bodies from './bodies';
import type { Exchange, Front } from './exchange';
import * as Faults from './faults';
import type { Checked } from './faults';
import type { TextRequest } from './requestSchema';

/** 192 bits: an id cannot be guessed, so it also guards a retained response. */
const ID_BYTES = 24;
const MS_PER_SECOND = 1_000;

export function createRequestId(prefix: string): string {
  return `${prefix}_${Crypto.randomBytes(ID_BYTES).toString('hex')}`;
}

/** The model, if it exists and the organisation may use it. */
export function findModel(
  configuration: Configuration,
  organisation: Organisation,
  name: string,
): Model | undefined {
  return organisation.models.includes(name) ? configuration.models.get(name) : undefined;
}

export function buildGeneration(
  requestId: string,
  request: TextRequest,
  model: Model,
  organisation: Organisation,
  signal: AbortSignal,
): GenerationRequest {
  return {
    requestId,
    organisation,
    model: model.name,
    messages: request.messages,
    maxOutputTokens: request.maxOutputTokens ?? model.maxOutputTokens,
    stop: request.stop,
    signal,
    ...(request.temperature === undefined ? {} : { temperature: request.temperature }),
    ...(request.topP === undefined ? {} : { topP: request.topP }),
    ...(request.seed === undefined ? {} : { seed: request.seed }),
  };
}

/** A request that may run, and the model it asks for. */
export interface CheckedRequest<Request extends TextRequest> {
  readonly request: Request;
  readonly model: Model;
}

/** Reads and checks a whole request: body, fields, model. */
export async function readRequest<Request extends TextRequest>(
  front: Front,
  exchange: Exchange,
  parse: (body: unknown) => Checked<Request>,
): Promise<Checked<CheckedRequest<Request>>> {
  const body = await Bodies.readBody(exchange.request, front.settings.maxBodyBytes);
  if (body.kind === 'fault') return body;
  const json = Bodies.parseJson(body.value);
  if (json.kind === 'fault') return json;
  const parsed = parse(json.value);
  if (parsed.kind === 'fault') return parsed;
  const request = parsed.value;
  const configuration = front.configuration.getConfiguration();
  const model = findModel(configuration, exchange.organisation, request.model);
  if (model === undefined) {
    return { kind: 'fault', fault: Faults.createUnknownModel(request.model) };
  }
  return { kind: 'value', value: { request, model } };
}

/** Seconds since 1970, for people; nothing is decided by it. */
export function getCreatedSeconds(front: Front): number {
  return Math.floor(Date.parse(front.context.clock.getWallTime()) / MS_PER_SECOND);
}
