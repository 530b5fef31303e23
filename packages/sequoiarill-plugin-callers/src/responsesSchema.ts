/** Schema of the body of `POST /v1/responses`. */
import type { ChatMessage } from '@sequoiarill/types';
import * as Zod from 'zod';

import type { ValidationResult } from './faults';
import * as RequestSchema from './requestSchema';
import type { TextRequest } from './requestSchema';

const unsupportedFields = {
  ...RequestSchema.unsupportedFields,
  background: Zod.literal(false).nullish(),
  include: Zod.array(Zod.unknown()).max(0).nullish(),
  previous_response_id: Zod.null().optional(),
  conversation: Zod.null().optional(),
  truncation: Zod.literal('disabled').nullish(),
  text: Zod.strictObject({
    format: Zod.strictObject({ type: Zod.literal('text') }).nullish(),
  }).nullish(),
  stream_options: Zod.strictObject({ include_obfuscation: Zod.literal(false).nullish() }).nullish(),
} as const;

const itemSchema = Zod.strictObject({
  type: Zod.literal('message').optional(),
  role: RequestSchema.roleSchema,
  content: RequestSchema.contentSchema,
  // Callers may send an earlier output item back unmodified as conversation history.
  id: Zod.string().optional(),
  status: Zod.string().optional(),
});

/** A plain string is treated as a single user message. */
const inputSchema = Zod.preprocess(
  (input) => (typeof input === 'string' ? [{ role: 'user', content: input }] : input),
  Zod.array(itemSchema, { error: 'use a string or a list of messages' }).min(1),
);

const schema = Zod.strictObject({
  ...RequestSchema.sharedFields,
  ...unsupportedFields,
  input: inputSchema,
  instructions: Zod.string().nullish(),
  max_output_tokens: RequestSchema.tokenLimitSchema,
});

const unsupportedNames: ReadonlySet<string> = new Set(Object.keys(unsupportedFields));

export interface ResponsesRequest extends TextRequest {
  /** Whether the response is retained after it ends, for reading and resuming. */
  readonly store: boolean;
  readonly instructions?: string;
  readonly metadata: Readonly<Record<string, string>>;
  readonly user?: string;
}

export function parseResponsesRequest(body: unknown): ValidationResult<ResponsesRequest> {
  const checked = RequestSchema.parseRequestBody(schema, unsupportedNames, body);
  if (checked.kind === 'fault') return checked;
  const { value } = checked;
  return {
    kind: 'value',
    value: {
      model: value.model,
      messages: listMessages(value.input, value.instructions ?? undefined),
      maxOutputTokens: value.max_output_tokens ?? undefined,
      stop: [],
      temperature: value.temperature ?? undefined,
      topP: value.top_p ?? undefined,
      seed: value.seed ?? undefined,
      stream: value.stream ?? false,
      store: value.store ?? true,
      instructions: value.instructions ?? undefined,
      metadata: value.metadata ?? {},
      user: value.user ?? undefined,
    },
  };
}

function listMessages(
  input: readonly ChatMessage[],
  instructions: string | undefined,
): readonly ChatMessage[] {
  const messages = input.map(({ role, content }) => ({ role, content }));
  return instructions === undefined
    ? messages
    : [{ role: 'system', content: instructions }, ...messages];
}
