/** Parses and validates the bodies of completion requests. */
import type { IncomingMessage } from 'node:http';

import * as Zod from 'zod';

import type { ChunkForm } from './chunks';
import * as Templates from './template';

const textPartSchema = Zod.looseObject({ type: Zod.string(), text: Zod.string() });

const contentSchema = Zod.union([
  Zod.string(),
  Zod.array(textPartSchema).transform((parts) => parts.map((part) => part.text).join('')),
  Zod.null().transform(() => ''),
]);

const commonFields = {
  model: Zod.string(),
  stream: Zod.boolean().nullish(),
  max_tokens: Zod.number().int().min(1).nullish(),
  max_completion_tokens: Zod.number().int().min(1).nullish(),
  priority: Zod.number().int().nullish(),
  ignore_eos: Zod.boolean().nullish(),
  return_token_ids: Zod.boolean().nullish(),
  stream_options: Zod.looseObject({ include_usage: Zod.boolean().nullish() }).nullish(),
};

const chatSchema = Zod.looseObject({
  ...commonFields,
  messages: Zod.array(
    Zod.looseObject({
      role: Zod.enum(['system', 'developer', 'user', 'assistant', 'tool']),
      content: contentSchema,
    }),
  ).min(1),
});

const completionSchema = Zod.looseObject({
  ...commonFields,
  prompt: Zod.union([Zod.string().min(1), Zod.array(Zod.number().int().min(0)).min(1)]),
});

export interface CompletionRequest {
  readonly form: ChunkForm;
  readonly model: string;
  readonly promptIds: readonly number[];
  readonly maxTokens: number | undefined;
  readonly priority: number;
  readonly ignoresEnd: boolean;
  readonly isStream: boolean;
  readonly returnsTokenIds: boolean;
  readonly includesUsage: boolean;
}

export interface RequestInvalid {
  readonly kind: 'invalid';
  readonly message: string;
  readonly param: string;
}

export interface RequestValid {
  readonly kind: 'valid';
  readonly request: CompletionRequest;
}

type CommonBody = Readonly<Zod.infer<Zod.ZodObject<typeof commonFields>>>;

function buildRequest(
  form: ChunkForm,
  body: CommonBody,
  promptIds: readonly number[],
): RequestValid {
  const request: CompletionRequest = {
    form,
    model: body.model,
    promptIds,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
    priority: body.priority ?? 0,
    ignoresEnd: body.ignore_eos ?? false,
    isStream: body.stream ?? false,
    returnsTokenIds: body.return_token_ids ?? false,
    includesUsage: body.stream_options?.include_usage ?? false,
  };
  return { kind: 'valid', request };
}

function buildInvalid(error: Zod.ZodError): RequestInvalid {
  const issue = error.issues[0];
  const param = issue?.path.join('.') ?? '';
  return { kind: 'invalid', message: `${param}: ${issue?.message ?? 'invalid body'}`, param };
}

export function parseCompletionRequest(
  form: ChunkForm,
  body: unknown,
): RequestValid | RequestInvalid {
  if (form === 'chat') {
    const result = chatSchema.safeParse(body);
    if (!result.success) return buildInvalid(result.error);
    return buildRequest(form, result.data, Templates.encodeMessages(result.data.messages));
  }
  const result = completionSchema.safeParse(body);
  if (!result.success) return buildInvalid(result.error);
  const { prompt } = result.data;
  const promptIds = typeof prompt === 'string' ? Templates.encodeText(prompt) : prompt;
  return buildRequest(form, result.data, promptIds);
}

/** The `x-fencing-number` of a request or command; 0 if it is missing or not an integer. */
export function parseFencingNumber(request: IncomingMessage): number {
  const fencingNumber = Number(request.headers['x-fencing-number'] ?? 0);
  return Number.isSafeInteger(fencingNumber) ? fencingNumber : 0;
}
