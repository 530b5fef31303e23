/** Reads and validates text generation requests and builds generations from them. */
import * as Crypto from 'node:crypto';

import type { Configuration, GenerationRequest, Model, Organisation } from '@sequoiarill/types';

import * as Bodies from './bodies';
import type { Exchange, HandlerDependencies } from './exchange';
import * as Faults from './faults';
import type { ValidationResult } from './faults';
import type { TextRequest } from './requestSchema';

/** 192 bits: ids cannot be guessed, which also protects retained responses. */
const ID_BYTES = 24;
const MS_PER_SECOND = 1_000;

export function createRequestId(prefix: string): string {
  return `${prefix}_${Crypto.randomBytes(ID_BYTES).toString('hex')}`;
}

/** Returns the model if it exists and the organisation may use it. */
export function findModel(
  configuration: Configuration,
  organisation: Organisation,
  name: string,
): Model | undefined {
  return organisation.models.includes(name) ? configuration.models.get(name) : undefined;
}

export function buildGenerationRequest(
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

/** A valid request and the model it names. */
export interface ValidatedRequest<Request extends TextRequest> {
  readonly request: Request;
  readonly model: Model;
}

/** Reads a request and validates its body, fields and model. */
export async function readRequest<Request extends TextRequest>(
  deps: HandlerDependencies,
  exchange: Exchange,
  parse: (body: unknown) => ValidationResult<Request>,
): Promise<ValidationResult<ValidatedRequest<Request>>> {
  const body = await Bodies.readBody(exchange.request, deps.settings.maxBodyBytes);
  if (body.kind === 'fault') return body;
  const json = Bodies.parseJson(body.value);
  if (json.kind === 'fault') return json;
  const parsed = parse(json.value);
  if (parsed.kind === 'fault') return parsed;
  const request = parsed.value;
  const configuration = deps.configuration.getConfiguration();
  const model = findModel(configuration, exchange.organisation, request.model);
  if (model === undefined) {
    return { kind: 'fault', fault: Faults.createUnknownModel(request.model) };
  }
  return { kind: 'value', value: { request, model } };
}

/** Returns the Unix time in seconds, for display only; no decision depends on it. */
export function getUnixSeconds(deps: HandlerDependencies): number {
  return Math.floor(Date.parse(deps.context.clock.getWallTime()) / MS_PER_SECOND);
}
