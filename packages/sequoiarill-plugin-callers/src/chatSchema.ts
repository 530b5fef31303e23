/** Schema of the body of `POST /v1/chat/completions`. */
import * as Zod from 'zod';

import type { ValidationResult } from './faults';
import * as RequestSchema from './requestSchema';
import type { TextRequest } from './requestSchema';

const MAX_STOPS = 4;

const stopSchema = Zod.string().min(1);

const unsupportedFields = {
  ...RequestSchema.unsupportedFields,
  n: Zod.literal(1).nullish(),
  logprobs: Zod.literal(false).nullish(),
  response_format: Zod.strictObject({ type: Zod.literal('text') }).nullish(),
  presence_penalty: Zod.literal(0).nullish(),
  frequency_penalty: Zod.literal(0).nullish(),
  logit_bias: Zod.strictObject({}).nullish(),
  modalities: Zod.tuple([Zod.literal('text')]).nullish(),
} as const;

const messageSchema = Zod.strictObject({
  role: RequestSchema.roleSchema,
  content: RequestSchema.contentSchema,
  // Callers may send an earlier answer back unmodified as conversation history.
  refusal: Zod.null().optional(),
  annotations: Zod.array(Zod.unknown()).max(0).optional(),
});

const schema = Zod.strictObject({
  ...RequestSchema.sharedFields,
  ...unsupportedFields,
  messages: Zod.array(messageSchema).min(1),
  max_tokens: RequestSchema.tokenLimitSchema,
  max_completion_tokens: RequestSchema.tokenLimitSchema,
  stop: Zod.union([stopSchema, Zod.array(stopSchema).max(MAX_STOPS)], {
    error: `use a string or up to ${MAX_STOPS} strings, none of them empty`,
  }).nullish(),
  stream_options: Zod.strictObject({
    include_usage: Zod.boolean().nullish(),
    include_obfuscation: Zod.literal(false).nullish(),
  }).nullish(),
});

const unsupportedNames: ReadonlySet<string> = new Set(Object.keys(unsupportedFields));

export interface ChatRequest extends TextRequest {
  readonly includeUsage: boolean;
}

export function parseChatRequest(body: unknown): ValidationResult<ChatRequest> {
  const checked = RequestSchema.parseRequestBody(schema, unsupportedNames, body);
  if (checked.kind === 'fault') return checked;
  const { value } = checked;
  const stop = value.stop ?? [];
  return {
    kind: 'value',
    value: {
      model: value.model,
      messages: value.messages.map(({ role, content }) => ({ role, content })),
      maxOutputTokens: value.max_completion_tokens ?? value.max_tokens ?? undefined,
      stop: typeof stop === 'string' ? [stop] : stop,
      temperature: value.temperature ?? undefined,
      topP: value.top_p ?? undefined,
      seed: value.seed ?? undefined,
      stream: value.stream ?? false,
      includeUsage: value.stream_options?.include_usage ?? false,
    },
  };
}
