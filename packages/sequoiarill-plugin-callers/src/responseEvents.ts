/** Formats response objects and stream events as published. */
import type { GenerationOutcome, Usage } from '@sequoiarill/types';

import type { ResponseErrorCode } from './faultCodes';
import * as Outcomes from './outcomes';
import type { ResponsesRequest } from './responsesSchema';

export type ResponseStatus = 'in_progress' | 'completed' | 'incomplete' | 'failed' | 'cancelled';

/** Everything that a response object shows besides its text and outcome. */
export interface ResponseIdentity {
  readonly id: string;
  readonly itemId: string;
  /** Seconds since 1970. */
  readonly createdAt: number;
  readonly request: ResponsesRequest;
}

/** The current text of a response, and its outcome once it has ended. */
export interface ResponseView {
  readonly text: string;
  readonly outcome?: GenerationOutcome;
}

export interface ResponseEvents {
  /** Events from `response.created` to `response.content_part.added`, in order. */
  readonly formatOpening: () => readonly string[];
  readonly formatDelta: (text: string) => string;
  /** Events that end the item and the response, in order. */
  readonly formatEnd: (text: string, outcome: GenerationOutcome) => readonly string[];
}

function getStatus(outcome: GenerationOutcome | undefined): ResponseStatus {
  if (outcome === undefined) return 'in_progress';
  if (outcome.kind === 'cancelled') return 'cancelled';
  if (outcome.kind !== 'completed') return 'failed';
  return outcome.finishReason === 'length' ? 'incomplete' : 'completed';
}

function getItemStatus(status: ResponseStatus): 'in_progress' | 'completed' | 'incomplete' {
  return status === 'in_progress' || status === 'completed' ? status : 'incomplete';
}

function buildUsage(usage: Usage): Readonly<Record<string, unknown>> {
  return {
    input_tokens: usage.promptTokens,
    input_tokens_details: { cached_tokens: 0 },
    output_tokens: usage.completionTokens,
    output_tokens_details: { reasoning_tokens: 0 },
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}

function buildPart(text: string): Readonly<Record<string, unknown>> {
  return { type: 'output_text', text, annotations: [], logprobs: [] };
}

function buildItem(
  identity: ResponseIdentity,
  status: ResponseStatus,
  parts: readonly unknown[],
): Readonly<Record<string, unknown>> {
  return {
    id: identity.itemId,
    type: 'message',
    status: getItemStatus(status),
    role: 'assistant',
    content: parts,
  };
}

function buildError(
  outcome: GenerationOutcome | undefined,
): Readonly<Record<string, unknown>> | null {
  if (outcome === undefined || outcome.kind === 'completed' || outcome.kind === 'cancelled') {
    return null;
  }
  const fault = Outcomes.createFailureFault(outcome);
  const code: ResponseErrorCode = outcome.kind === 'rejected' ? 'invalid_prompt' : 'server_error';
  const error = { code, message: fault.message };
  return fault.retryAfterSeconds === undefined
    ? error
    : { ...error, retry_after_seconds: fault.retryAfterSeconds };
}

function getUsage(outcome: GenerationOutcome | undefined): Usage | undefined {
  return outcome !== undefined && 'usage' in outcome ? outcome.usage : undefined;
}

/** Builds the response object of `GET /v1/responses/{id}` and of events that include it. */
export function buildResponse(
  identity: ResponseIdentity,
  view: ResponseView,
): Readonly<Record<string, unknown>> {
  const { request } = identity;
  const status = getStatus(view.outcome);
  const usage = getUsage(view.outcome);
  return {
    id: identity.id,
    object: 'response',
    created_at: identity.createdAt,
    status,
    background: false,
    error: buildError(view.outcome),
    incomplete_details: status === 'incomplete' ? { reason: 'max_output_tokens' } : null,
    instructions: request.instructions ?? null,
    max_output_tokens: request.maxOutputTokens ?? null,
    metadata: request.metadata,
    model: request.model,
    output: view.text === '' ? [] : [buildItem(identity, status, [buildPart(view.text)])],
    parallel_tool_calls: true,
    previous_response_id: null,
    reasoning: { effort: null, summary: null },
    service_tier: 'default',
    store: request.store,
    temperature: request.temperature ?? null,
    text: { format: { type: 'text' } },
    tool_choice: 'auto',
    tools: [],
    top_p: request.topP ?? null,
    truncation: 'disabled',
    usage: usage === undefined ? null : buildUsage(usage),
    user: request.user ?? null,
  };
}

const END_EVENT_TYPES = {
  in_progress: 'response.in_progress',
  completed: 'response.completed',
  incomplete: 'response.incomplete',
  failed: 'response.failed',
  // The published API has no event type for cancellation; the object has the status `cancelled`.
  cancelled: 'response.incomplete',
} as const;

/** Formats the events of one response; fields common to all deltas are encoded only once. */
export function createResponseEvents(
  identity: ResponseIdentity,
  signEventId: (sequence: number) => string,
): ResponseEvents {
  const contentFields = `"item_id":${JSON.stringify(identity.itemId)},"output_index":0,"content_index":0`;
  const deltaType = 'response.output_text.delta';
  const deltaStart = `\ndata: {"type":"${deltaType}",${contentFields},"delta":`;
  let sequence = 0;

  function formatEvent(type: string, fields: string): string {
    const number = sequence;
    sequence += 1;
    const id = signEventId(number);
    const data = `{"type":"${type}",${fields},"sequence_number":${number}}`;
    return `event: ${type}\nid: ${id}\ndata: ${data}\n\n`;
  }

  function formatResponseEvent(type: string, view: ResponseView): string {
    return formatEvent(type, `"response":${JSON.stringify(buildResponse(identity, view))}`);
  }

  function formatItemEnd(text: string, status: ResponseStatus): readonly string[] {
    const part = JSON.stringify(buildPart(text));
    const item = JSON.stringify(buildItem(identity, status, [buildPart(text)]));
    const textFields = `${contentFields},"text":${JSON.stringify(text)},"logprobs":[]`;
    return [
      formatEvent('response.output_text.done', textFields),
      formatEvent('response.content_part.done', `${contentFields},"part":${part}`),
      formatEvent('response.output_item.done', `"output_index":0,"item":${item}`),
    ];
  }

  return {
    formatOpening() {
      const item = JSON.stringify(buildItem(identity, 'in_progress', []));
      const part = JSON.stringify(buildPart(''));
      return [
        formatResponseEvent('response.created', { text: '' }),
        formatResponseEvent('response.in_progress', { text: '' }),
        formatEvent('response.output_item.added', `"output_index":0,"item":${item}`),
        formatEvent('response.content_part.added', `${contentFields},"part":${part}`),
      ];
    },
    formatDelta(text) {
      const number = sequence;
      sequence += 1;
      const data = `${deltaStart}${JSON.stringify(text)},"logprobs":[],"sequence_number":${number}}`;
      return `event: ${deltaType}\nid: ${signEventId(number)}${data}\n\n`;
    },
    formatEnd(text, outcome) {
      const status = getStatus(outcome);
      const isCompleted = outcome.kind === 'completed';
      const itemEnd = isCompleted ? formatItemEnd(text, status) : [];
      return [...itemEnd, formatResponseEvent(END_EVENT_TYPES[status], { text, outcome })];
    },
  };
}
