/** Schema parts shared by chat completions and responses. */
import type { ChatMessage } from '@sequoiarill/types';
import * as Zod from 'zod';

import * as Faults from './faults';
import type { ValidationResult, Fault } from './faults';

/** Text generation request, independent of the API it was sent to. */
export interface TextRequest {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxOutputTokens?: number;
  readonly stop: readonly string[];
  readonly temperature?: number;
  readonly topP?: number;
  readonly seed?: number;
  readonly stream: boolean;
}

const MAX_TEMPERATURE = 2;
const MAX_METADATA_ENTRIES = 16;

export const tokenLimitSchema = Zod.number().int().min(1).nullish();

const partSchema = Zod.looseObject({
  type: Zod.enum(['text', 'input_text', 'output_text']),
  text: Zod.string(),
});

export const contentSchema = Zod.union(
  [
    Zod.string(),
    Zod.array(partSchema).transform((parts) => parts.map((part) => part.text).join('')),
  ],
  { error: 'use a string or a list of text parts' },
);

export const roleSchema = Zod.enum(['system', 'developer', 'user', 'assistant']);

/** Fields accepted by both APIs. */
export const sharedFields = {
  model: Zod.string().min(1),
  temperature: Zod.number().min(0).max(MAX_TEMPERATURE).nullish(),
  top_p: Zod.number().min(0).max(1).nullish(),
  seed: Zod.number().int().nullish(),
  stream: Zod.boolean().nullish(),
  metadata: Zod.record(Zod.string(), Zod.string())
    .refine((metadata) => Object.keys(metadata).length <= MAX_METADATA_ENTRIES, 'too many entries')
    .nullish(),
  user: Zod.string().nullish(),
  store: Zod.boolean().nullish(),
  // Accepted and ignored: they do not affect the answer.
  safety_identifier: Zod.string().nullish(),
  prompt_cache_key: Zod.string().nullish(),
  service_tier: Zod.enum(['auto', 'default']).nullish(),
} as const;

/** Unsupported fields, accepted only with the value that has no effect on the answer. */
export const unsupportedFields = {
  tools: Zod.array(Zod.unknown()).max(0).nullish(),
  tool_choice: Zod.enum(['auto', 'none']).nullish(),
  parallel_tool_calls: Zod.boolean().nullish(),
  top_logprobs: Zod.literal(0).nullish(),
} as const;

export function parseRequestBody<Value>(
  schema: Zod.ZodType<Value>,
  unsupportedNames: ReadonlySet<string>,
  body: unknown,
): ValidationResult<Value> {
  const result = schema.safeParse(body);
  if (result.success) return { kind: 'value', value: result.data };
  const [issue] = result.error.issues;
  return { kind: 'fault', fault: createIssueFault(issue, unsupportedNames) };
}

function createIssueFault(
  issue: Zod.core.$ZodIssue | undefined,
  unsupportedNames: ReadonlySet<string>,
): Fault {
  if (issue === undefined) {
    return Faults.createBadRequest('invalid_value', 'The body is not valid.');
  }
  if (issue.code === 'unrecognized_keys') {
    return createUnsupportedParameter(formatPath([...issue.path, issue.keys[0] ?? '']));
  }
  const param = formatPath(issue.path);
  if (unsupportedNames.has(String(issue.path[0]))) return createUnsupportedParameter(param);
  const name = param === '' ? 'The request body' : `"${param}"`;
  const message = `${name} is not valid: ${issue.message}.`;
  return Faults.createBadRequest('invalid_value', message, param === '' ? undefined : param);
}

function createUnsupportedParameter(param: string): Fault {
  const message = `"${param}" is not supported here; remove it.`;
  return Faults.createBadRequest('unsupported_parameter', message, param);
}

/** Formats a path as in `messages[0].content`. */
function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
}
