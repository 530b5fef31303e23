/** Requests for generated text, the tokens that they yield and their outcomes. */
import type { Organisation } from './configuration';

export type MessageRole = 'system' | 'developer' | 'user' | 'assistant';

export interface ChatMessage {
  readonly role: MessageRole;
  readonly content: string;
}

export interface GenerationRequest {
  /** Unguessable id, also used in logs, in `explain` and in requests to engines. */
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Limit for the complete answer, summed over all engines that contribute to it, in tokens. */
  readonly maxOutputTokens: number;
  /** Stop sequences. The answer ends before the first one that occurs. */
  readonly stop: readonly string[];
  readonly temperature?: number;
  readonly topP?: number;
  readonly seed?: number;
  /** Aborted when the caller cancels or has disconnected without resuming in time. */
  readonly signal: AbortSignal;
}

/** Tokens that became final together. A batch is yielded once and never retracted. */
export interface TokenBatch {
  /** Empty while text is withheld because it may be the start of a stop sequence. */
  readonly text: string;
  readonly tokenCount: number;
  /** Generation of the request that produced the batch; incremented for each engine tried. */
  readonly generation: number;
}

export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

export type FinishReason = 'stop' | 'length';

/** The complete answer was yielded. */
export interface GenerationCompleted {
  readonly kind: 'completed';
  readonly finishReason: FinishReason;
  readonly usage: Usage;
}

/** The request ended before it was sent to an engine; no engine ran it or will run it. */
export interface GenerationNotRun {
  readonly kind: 'notRun';
  /** Callers receive status 429 for `organisationLimit` and 503 for the others. */
  readonly reason: 'organisationLimit' | 'overloaded' | 'noTarget' | 'draining';
  readonly message: string;
  readonly retryAfterSeconds: number;
}

/** An engine was lost and no other can continue. The tokens yielded so far remain valid. */
export interface GenerationLost {
  readonly kind: 'lost';
  readonly message: string;
  readonly usage: Usage;
  readonly retryAfterSeconds: number;
}

/** The engine rejected the request's content, such as a prompt longer than the context. */
export interface GenerationRejected {
  readonly kind: 'rejected';
  readonly message: string;
  readonly parameter?: string;
}

export interface GenerationCancelled {
  readonly kind: 'cancelled';
  readonly usage: Usage;
}

export type GenerationOutcome =
  | GenerationCompleted
  | GenerationNotRun
  | GenerationLost
  | GenerationRejected
  | GenerationCancelled;

/** Capability `generations`: runs requests for generated text. */
export interface GenerationRunner {
  /**
   * Runs one request to its outcome, over as many engines as needed. Returning early from the
   * generator cancels the request at the engine.
   */
  readonly runGeneration: (
    request: GenerationRequest,
  ) => AsyncGenerator<TokenBatch, GenerationOutcome, void>;
}
