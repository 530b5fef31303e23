/** One request for generated text, what it yields and how it ends. */
import type { Organisation } from './configuration';

export type MessageRole = 'system' | 'developer' | 'user' | 'assistant';

export interface ChatMessage {
  readonly role: MessageRole;
  readonly content: string;
}

export interface GenerationRequest {
  /** Unguessable; the same one in logs, `explain` and towards the engines. */
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** For the whole answer, over all engines that take part, in tokens. */
  readonly maxOutputTokens: number;
  /** The answer ends before the first of these. */
  readonly stop: readonly string[];
  readonly temperature?: number;
  readonly topP?: number;
  readonly seed?: number;
  /** Aborted when the caller cancels or has left for good. */
  readonly signal: AbortSignal;
}

/** Tokens that became certain together. Never yielded again, never taken back. */
export interface TokenBatch {
  /** May be empty while text is held back as the possible start of a stop sequence. */
  readonly text: string;
  readonly tokenCount: number;
  /** Which generation of the request it came from; rises by one with each engine tried. */
  readonly generation: number;
}

export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

export type FinishReason = 'stop' | 'length';

/** The whole answer was yielded. */
export interface GenerationCompleted {
  readonly kind: 'completed';
  readonly finishReason: FinishReason;
  readonly usage: Usage;
}

/** Given up before any engine had it: no engine ran it and none will. */
export interface GenerationNotRun {
  readonly kind: 'notRun';
  /** `organisationLimit` is answered 429, the others 503. */
  readonly reason: 'organisationLimit' | 'overloaded' | 'noTarget' | 'draining';
  readonly message: string;
  readonly retryAfterSeconds: number;
}

/** An engine had it, and no engine can go on with it. What was yielded stands. */
export interface GenerationLost {
  readonly kind: 'lost';
  readonly message: string;
  readonly usage: Usage;
  readonly retryAfterSeconds: number;
}

/** The engine refused the request for what is in it, such as a prompt over the context. */
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

/** Capability `generations`. */
export interface GenerationRunner {
  /** The whole life of one answer; returning early from the generator cancels it at the engine. */
  readonly runGeneration: (
    request: GenerationRequest,
  ) => AsyncGenerator<TokenBatch, GenerationOutcome, void>;
}
