/** A request to forward and its possible outcomes. */
import type { ForwardingRoute, PromptPart, TargetBuild } from '@sequoiarill/types';

import type { RawHeader } from './front/headers';
import type { HeldExchange } from './front/heldExchange';
import type { RequestCalls } from './front/requestCalls';
import type { RelayTerms } from './relay/relayHeaders';

export interface ForwardRequest {
  /** Chosen by the caller, which uses a new one for each of its attempts. */
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Headers that are forwarded unchanged. */
  readonly headers: readonly RawHeader[];
  readonly body: Buffer;
  /** Key of the content: equal for equal requests of one organisation, whatever their ids. */
  readonly contentKey: string;
  readonly route: ForwardingRoute;
  readonly service: string;
  readonly organisation?: string;
  /** As the caller sent it, for another router that checks it again; never sent to a target. */
  readonly apiKey?: string;
  /** Set where another router sent the request on; it is not sent on again. */
  readonly relayTerms?: RelayTerms;
  /** Monotonic time, as all times in this interface. */
  readonly arrivedAtMs: number;
  /** The time limit of the caller or of the route, whichever comes first. */
  readonly expiresAtMs: number;
  /** The time left to the caller shows that it has already waited longer than the route's objective. */
  readonly isClientRetry: boolean;
  /** Last event that the caller received, when it resumes a stream. */
  readonly lastEventId?: string;
  /** The caller's attempt that brought the first event of the stream, as the caller names it. */
  readonly resumedRequestId?: string;
  /** 0 when the request does not state the number. */
  readonly promptTokens: number;
  /** Output tokens that the caller expects, or its maximum; 0 when the request states neither. */
  readonly outputTokens?: number;
  /** Empty when the request does not list any. */
  readonly promptParts: readonly PromptPart[];
  /** Uniform in [0, 1): selects the version of the service during a rollout. */
  readonly versionDraw: number;
  /** Set where a stream has begun: only targets of this build may run the request. */
  readonly build?: TargetBuild;
  /** Id of the target that may have the prompt of a resumed stream in its KV cache. */
  readonly promptHolder?: string | undefined;
  /** Aborted when the caller disconnects, or a stop ends the request. */
  readonly closed: AbortSignal;
  /** The calls that are opened for it; undefined where they are not recorded. */
  readonly calls?: RequestCalls;
  /** Bytes held for the caller; undefined where they are not counted. */
  readonly held?: HeldExchange;
  /** Takes a long plain answer as it arrives; undefined where answers must be whole. */
  readonly sink?: AnswerSink;
}

/** Passes a long answer on to the caller. */
export interface AnswerSink {
  /** Sends the head of the answer. From here on, no other answer can replace it. */
  readonly start: (head: AnswerHead) => void;
  readonly isStarted: () => boolean;
  /** Resolves when the caller takes more bytes. Bytes for a caller that has left are dropped. */
  readonly write: (chunk: Buffer) => Promise<void>;
  /** Time for which the caller was waited for: all waits together, and the longest one; milliseconds. */
  readonly getUnreadMs: () => { readonly totalMs: number; readonly longestMs: number };
}

/** The time limit of the request, later by the time for which a slow caller was waited for. */
export function getDeadlineMs({ expiresAtMs, sink }: ForwardRequest): number {
  return expiresAtMs + (sink?.getUnreadMs().totalMs ?? 0);
}

/**
 * Time that a target is given for the request, milliseconds. It counts from when the target reads the request, which
 * no router knows. So a repeat of a plain request gets half of what is left, or the objective of its route where that is
 * more, and a target may read it as late as the other half allows without working on it after its caller has left. A
 * stream needs all the time that is left for its events.
 */
export function computeTargetMs(
  { expiresAtMs, route }: Pick<ForwardRequest, 'expiresAtMs' | 'route'>,
  nowMs: number,
  isRepeat: boolean,
): number {
  const leftMs = expiresAtMs - nowMs;
  const isShared = isRepeat && !route.isStream;
  const givenMs = isShared ? Math.max(leftMs / 2, Math.min(leftMs, route.objectiveMs)) : leftMs;
  return Math.max(1, Math.floor(givenMs));
}

export interface AnswerHead {
  readonly status: number;
  readonly statusMessage: string;
  /** Keyed by the name in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Outcome of one attempt on one target. */
export type SendOutcome =
  | { readonly kind: 'whole'; readonly head: AnswerHead; readonly body: Buffer }
  /** The target reported that it did not run the request. */
  | { readonly kind: 'notRun'; readonly status: number }
  /** No connection was established, so nothing was sent. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** Sent without receiving a complete answer: the request may have run. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      readonly isTimeout: boolean;
      /** Nothing came of the target: it may receive the request later. */
      readonly isUnanswered?: boolean;
    }
  | { readonly kind: 'expired' }
  | { readonly kind: 'callerLeft' };

/** Outcome of one attempt whose answer was passed on as it arrived. */
export type PassedOutcome =
  | { readonly kind: 'passed'; readonly head: AnswerHead }
  /** The target broke the answer off. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      readonly isTimeout: boolean;
      /** Time since the answer began. */
      readonly ranMs: number;
    }
  /** The target broke the answer off after its caller had left it unread. */
  | { readonly kind: 'unread'; readonly reason: string };

/** Outcome of one attempt of a request whose answer is not streamed. */
export type PlainOutcome = SendOutcome | PassedOutcome;

/** How an answer ended that was passed on as it arrived. */
export type PassedEnd =
  | Extract<PassedOutcome, { kind: 'passed' | 'unread' }>
  | { readonly kind: 'broken'; readonly reason: string; readonly lastTarget?: string };

/** Outcome of a request for its caller, over all attempts. */
export type ForwardOutcome =
  | PassedEnd
  | { readonly kind: 'answer'; readonly head: AnswerHead; readonly body: Buffer }
  /** The request did not run and never will. */
  | {
      readonly kind: 'refused';
      readonly reason: string;
      /** Undefined where coming back cannot help. */
      readonly retryAfterSeconds: number | undefined;
      /** Id of the target of the last attempt. */
      readonly lastTarget?: string;
    }
  /** The request may have run. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly isLate: boolean;
      readonly lastTarget?: string;
    }
  | { readonly kind: 'callerLeft' };

/** Replaces the retry delay of a refusal; returns other outcomes unchanged. */
export function setRetryAfter<Outcome extends { readonly kind: string }>(
  outcome: Outcome,
  retryAfterSeconds: number | undefined,
): Outcome {
  return outcome.kind === 'refused' ? { ...outcome, retryAfterSeconds } : outcome;
}

export function isPassed(
  outcome: Readonly<{ kind: string }> | PassedOutcome,
): outcome is PassedOutcome {
  const { kind } = outcome;
  return kind === 'passed' || kind === 'broken' || kind === 'unread';
}

/** Undefined where the answer was not passed on. */
export function findPassedEnd(
  outcome: Readonly<{ kind: string }> | PassedOutcome,
  lastTarget?: string,
): PassedEnd | undefined {
  if (!isPassed(outcome)) return undefined;
  if (outcome.kind !== 'broken') return outcome;
  const { kind, reason } = outcome;
  return { kind, reason, ...(lastTarget === undefined ? {} : { lastTarget }) };
}
