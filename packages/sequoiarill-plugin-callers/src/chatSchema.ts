/** The body of `POST /v1/chat/completions`. */
import * as Zod from 'zod';

import type { Checked } from './faults';
import * as RequestSchema from './requestSchema';
import type { TextRequest } from './requestSchema';

const MAX_STOPS = 4;

const stopSchema = Zod.string().min(1);

const neutralFields = {
  ...RequestSchema.neutralFields,
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
  // An earlier answer may be sent back as it came.
  refusal: Zod.null().optional(),
  annotations: Zod.array(Zod.unknown()).max(0).optional(),
});

const schema = Zod.strictObject({
  ...RequestSchema.sharedFields,
  ...neutralFields,
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

const neutralNames: ReadonlySet<string> = new Set(Object.keys(neutralFields));

export interface ChatRequest extends TextRequest {
  readonly includeUsage: boolean;
}

export function parseChatRequest(body: unknown): Checked<ChatRequest> {
  const checked = RequestSchema.parseRequest(schema, neutralNames, body);
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
