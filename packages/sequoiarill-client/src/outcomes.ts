/** Outcomes of a response, as returned to the caller. */
import type { FinishReason, Usage } from '@sequoiarill/types';

/** The complete text was yielded. */
export interface ResponseCompleted {
  readonly kind: 'completed';
  readonly finishReason: FinishReason;
  readonly usage: Usage | undefined;
}

/** The request was not processed, and no text was yielded. */
export interface ResponseNotRun {
  readonly kind: 'notRun';
  readonly message: string;
  readonly retryAfterSeconds: number | undefined;
}

/** The request is invalid; sending it again would be refused as well. */
export interface ResponseRejected {
  readonly kind: 'rejected';
  readonly status: number;
  readonly code: string;
  readonly message: string;
}

/**
 * The request may have run, but the rest of the response is unavailable. Text already yielded is
 * valid.
 */
export interface ResponseLost {
  readonly kind: 'lost';
  readonly message: string;
  readonly retryAfterSeconds: number | undefined;
}

/** The response was cancelled by this caller or by another caller of the organisation. */
export interface ResponseCancelled {
  readonly kind: 'cancelled';
}

export type ResponseOutcome =
  ResponseCompleted | ResponseNotRun | ResponseRejected | ResponseLost | ResponseCancelled;

/** The fields that the client reads from the response object of an event. */
export interface ResponseObject {
  readonly id: string;
  readonly status: string;
  readonly error?: {
    readonly code: string;
    readonly message: string;
    readonly retry_after_seconds?: number;
  } | null;
  readonly usage?: { readonly input_tokens: number; readonly output_tokens: number } | null;
}

const INVALID_PROMPT = 'invalid_prompt';
const HTTP_BAD_REQUEST = 400;

function getUsage(response: ResponseObject): Usage | undefined {
  if (!response.usage) return undefined;
  const { input_tokens: promptTokens, output_tokens: completionTokens } = response.usage;
  return { promptTokens, completionTokens };
}

/** Derives the outcome from the response object of the final event. */
export function buildOutcome(response: ResponseObject): ResponseOutcome {
  const usage = getUsage(response);
  if (response.status === 'completed') return { kind: 'completed', finishReason: 'stop', usage };
  if (response.status === 'incomplete') return { kind: 'completed', finishReason: 'length', usage };
  if (response.status === 'cancelled') return { kind: 'cancelled' };
  const code = response.error?.code ?? 'unknown';
  const message = response.error?.message ?? 'The response failed and the server gave no reason.';
  if (code === INVALID_PROMPT) return { kind: 'rejected', status: HTTP_BAD_REQUEST, code, message };
  return { kind: 'lost', message, retryAfterSeconds: response.error?.retry_after_seconds };
}
