/** One request as it is forwarded, and how it can end. */
import type { ForwardingRoute, PromptPart } from '@sequoiarill/types';

import type { RawHeader } from './front/headers';

export interface ForwardRequest {
  /** Chosen by the caller; each of its attempts has its own. */
  readonly id: string;
  readonly method: string;
  /** Path and query as they came. */
  readonly path: string;
  /** Those that pass on as they came. */
  readonly headers: readonly RawHeader[];
  readonly body: Buffer;
  /** Equal for requests that ask the same for the same organisation, whatever their ids. */
  readonly contentKey: string;
  readonly route: ForwardingRoute;
  readonly service: string;
  readonly organisation?: string;
  /** Monotonic milliseconds, as all times here. */
  readonly arrivedAtMs: number;
  /** The caller's or the route's limit, whichever comes first. */
  readonly expiresAtMs: number;
  /** Its caller has waited for longer than the objective, as told by the time that it still gives. */
  readonly isClientRetry: boolean;
  /** The last event the caller has, where it comes back for the rest of a stream. */
  readonly lastEventId?: string;
  /** Tokens; 0 where the request names none. */
  readonly promptTokens: number;
  /** None where the request names none. */
  readonly promptParts: readonly PromptPart[];
  /** Uniform in [0, 1): decides which version of its service runs it while one is rolled out. */
  readonly versionDraw: number;
  /** Aborted when the caller has left. */
  readonly closed: AbortSignal;
}

export interface AnswerHead {
  readonly status: number;
  readonly statusMessage: string;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** What one send to one target came to. */
export type SendOutcome =
  | { readonly kind: 'whole'; readonly head: AnswerHead; readonly body: Buffer }
  /** The target said that it did not run the request. */
  | { readonly kind: 'notRun'; readonly status: number }
  /** No connection was made, so nothing was sent. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** Sent, and there is no whole answer: it may have run. */
  | { readonly kind: 'lost'; readonly reason: string; readonly isSilence: boolean }
  | { readonly kind: 'expired' }
  | { readonly kind: 'callerLeft' };

/** How a request ends for its caller. */
export type ForwardOutcome =
  | { readonly kind: 'answer'; readonly head: AnswerHead; readonly body: Buffer }
  /** Not run, and never will be. */
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterSeconds: number;
      /** Identity of the target that was asked last. */
      readonly lastTarget?: string;
    }
  /** May have run. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly isLate: boolean;
      readonly lastTarget?: string;
    }
  | { readonly kind: 'callerLeft' };

/** A refusal with another time to come back; other ends stay as they are. */
export function setRetryAfter<End extends { readonly kind: string }>(
  end: End,
  retryAfterSeconds: number,
): End {
  return end.kind === 'refused' ? { ...end, retryAfterSeconds } : end;
}
