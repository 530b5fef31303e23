/** How an answer ends, as the caller is told. */
import type { FinishReason, Usage } from '@sequoiarill/types';

/** The whole text was yielded. */
export interface ResponseCompleted {
  readonly kind: 'completed';
  readonly finishReason: FinishReason;
  readonly usage: Usage | undefined;
}

/** Nothing ran, and nothing was yielded. */
export interface ResponseNotRun {
  readonly kind: 'notRun';
  readonly message: string;
  readonly retryAfterSeconds: number | undefined;
}

/** The request itself is refused; the same one will be refused again. */
export interface ResponseRejected {
  readonly kind: 'rejected';
  readonly status: number;
  readonly code: string;
  readonly message: string;
}

/** It may have run and cannot be read to its end. What was yielded stands. */
export interface ResponseLost {
  readonly kind: 'lost';
  readonly message: string;
  readonly retryAfterSeconds: number | undefined;
}

/** Cancelled, by this caller or by another one of the organisation. */
export interface ResponseCancelled {
  readonly kind: 'cancelled';
}

export type ResponseOutcome =
  ResponseCompleted | ResponseNotRun | ResponseRejected | ResponseLost | ResponseCancelled;

/** The response object of the events that end a stream, as far as it is read here. */
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
const BAD_REQUEST = 400;

function getUsage(response: ResponseObject): Usage | undefined {
  if (!response.usage) return undefined;
  const { input_tokens: promptTokens, output_tokens: completionTokens } = response.usage;
  return { promptTokens, completionTokens };
}

/** The outcome that the last event of a stream tells. */
export function buildOutcome(response: ResponseObject): ResponseOutcome {
  const usage = getUsage(response);
  if (response.status === 'completed') return { kind: 'completed', finishReason: 'stop', usage };
  if (response.status === 'incomplete') return { kind: 'completed', finishReason: 'length', usage };
  if (response.status === 'cancelled') return { kind: 'cancelled' };
  const code = response.error?.code ?? 'unknown';
  const message = response.error?.message ?? 'The answer failed without a reason.';
  if (code === INVALID_PROMPT) return { kind: 'rejected', status: BAD_REQUEST, code, message };
  return { kind: 'lost', message, retryAfterSeconds: response.error?.retry_after_seconds };
}
