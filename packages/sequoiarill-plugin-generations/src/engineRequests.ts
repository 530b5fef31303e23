/** Requests to engines: a chat completion first, completions by token ids for continuations. */
import type { EngineTarget, Model } from '@sequoiarill/types';

import type { Attempt } from './generation';

const CHAT_PATH = '/v1/chat/completions';
const COMPLETION_PATH = '/v1/completions';

export interface EngineRequest {
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/**
 * The name under which a target serves a model, or undefined. A name with a version matches only that
 * version, so that a continuation never changes versions during a rollout.
 */
export function findServedName(target: EngineTarget, model: Model): string | undefined {
  const pinned = `${model.name}@${model.version}`;
  return target.models.find((served) => served === pinned || served === model.name);
}

export function createEngineRequest(attempt: Attempt): EngineRequest {
  const { request, target, model } = attempt;
  const commonFields = {
    model: findServedName(target, model) ?? model.name,
    max_tokens: attempt.maxTokens,
    stream: true,
    stream_options: { include_usage: true },
    return_token_ids: true,
    priority: request.organisation.priority,
    ...(request.temperature !== undefined && { temperature: request.temperature }),
    ...(request.topP !== undefined && { top_p: request.topP }),
    ...(request.seed !== undefined && { seed: request.seed }),
  };
  // The relay applies stop sequences itself: an engine sees only its part of the answer's text.
  return attempt.tokenIds === undefined
    ? { path: CHAT_PATH, body: { ...commonFields, messages: request.messages } }
    : { path: COMPLETION_PATH, body: { ...commonFields, prompt: attempt.tokenIds } };
}

export function createCancelPath(requestId: string): string {
  return `${COMPLETION_PATH}/${encodeURIComponent(requestId)}/cancel`;
}
