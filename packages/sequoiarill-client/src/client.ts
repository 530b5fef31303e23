/**
 * Client library for callers: streams a response and resumes it over further connections if needed.
 */
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { Clock } from '@sequoiarill/types';

import * as Attempts from './attempts';
import type { AttemptFailure } from './attempts';
import * as Backoff from './backoff';
import * as Connections from './connection';
import type { ResponseRequest, StreamOpened } from './connection';
import * as Dispatchers from './dispatcher';
import type { ResponseOutcome } from './outcomes';
import * as Progresses from './progress';
import type { Progress } from './progress';
import * as DeltaReader from './deltaReader';
import type { TextDelta } from './deltaReader';
import * as WatchedStreams from './watchedStream';

export interface ClientOptions {
  /** Scheme, host and port without a path, such as `https://gateway.example:8443`. */
  readonly baseUrl: string;
  readonly apiKey: string;
  readonly backoff?: Partial<Backoff.BackoffSettings>;
  /** Time without data after which another connection to the response is tried, in milliseconds. */
  readonly idleTimeoutMs?: number;
  /** Longest time until a response begins, in milliseconds. */
  readonly headTimeoutMs?: number;
  /** Returns uniformly distributed numbers in [0, 1). */
  readonly nextRandom?: () => number;
  readonly clock?: Pick<Clock, 'waitMs'>;
}

export interface Client {
  /**
   * Yields each text delta exactly once and in order, and returns the outcome of the response.
   * Returning early from the generator, or aborting the signal, cancels the response.
   */
  readonly streamResponse: (
    request: ResponseRequest,
    signal?: AbortSignal,
  ) => AsyncGenerator<TextDelta, ResponseOutcome, void>;
  /** Closes all connections of the client. */
  readonly close: () => Promise<void>;
}

const DEFAULT_IDLE_TIMEOUT_MS = 30_000;
const CANCELLED: ResponseOutcome = { kind: 'cancelled' };

const SYSTEM_CLOCK: Pick<Clock, 'waitMs'> = {
  async waitMs(ms, signal) {
    await startTimeout(ms, undefined, signal && { signal }).catch(() => undefined);
  },
};

export function createClient(options: ClientOptions): Client {
  const backoff = { ...Backoff.DEFAULT_BACKOFF, ...options.backoff };
  const nextRandom = options.nextRandom ?? Math.random;
  const clock = options.clock ?? SYSTEM_CLOCK;
  const idleTimeoutMs = options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
  const dispatcher = Dispatchers.createDispatcher();
  const connection = Connections.createConnection({ ...options, dispatcher });

  /**
   * Reads the response over one connection; a refusal or an interruption fails this attempt only.
   */
  async function* runAttempt(
    request: ResponseRequest,
    progress: Progress,
    signal: AbortSignal,
  ): AsyncGenerator<TextDelta, AttemptResult, void> {
    const position = progress.getPosition();
    const opened = await connection.openStream(request, position, signal);
    if (opened.kind !== 'opened') {
      const failure = Attempts.buildFailure(opened);
      const isRefused = opened.kind === 'refused';
      const outcome = isRefused ? Attempts.findFinalOutcome(opened, position) : undefined;
      return { outcome, failure };
    }
    return yield* readStreams(opened, request, progress, signal);
  }

  /** Reads the stream, and another one in its place whenever it was silent. */
  async function* readStreams(
    opened: StreamOpened,
    request: ResponseRequest,
    progress: Progress,
    signal: AbortSignal,
  ): AsyncGenerator<TextDelta, AttemptResult, void> {
    let stream = opened;
    for (;;) {
      const watched = WatchedStreams.createWatchedStream({
        stream,
        idleTimeoutMs,
        maxFailures: backoff.maxAttempts,
        getSequenceNumber: () => progress.getPosition().sequenceNumber,
        openRest() {
          const position = progress.getPosition();
          const isKnown = position.responseId !== undefined;
          return isKnown ? connection.openStream(request, position, signal) : undefined;
        },
      });
      const { outcome, failureReason } = yield* DeltaReader.readDeltas(watched.bytes, progress);
      const replacement = watched.getReplacement();
      if (outcome !== undefined || replacement === undefined) {
        return { outcome, failure: Attempts.buildStreamFailure(failureReason) };
      }
      stream = replacement;
    }
  }

  async function* runAttempts(
    request: ResponseRequest,
    progress: Progress,
    signal: AbortSignal,
  ): AsyncGenerator<TextDelta, ResponseOutcome, void> {
    let mayHaveRun = false;
    let attempt = 0;
    while (!signal.aborted) {
      const previousSequenceNumber = progress.getPosition().sequenceNumber;
      const { failure, outcome } = yield* runAttempt(request, progress, signal);
      if (outcome !== undefined) return outcome;
      if (signal.aborted) break;
      mayHaveRun ||= failure.mayHaveRun;
      attempt = progress.getPosition().sequenceNumber > previousSequenceNumber ? 1 : attempt + 1;
      if (Backoff.isExhausted(backoff, attempt, failure.retryAfterSeconds)) {
        return Attempts.buildExhaustedOutcome(failure, mayHaveRun);
      }
      const delayMs = Backoff.computeDelayMs(
        backoff,
        attempt,
        failure.retryAfterSeconds,
        nextRandom,
      );
      await clock.waitMs(delayMs, signal);
    }
    return CANCELLED;
  }

  async function* runResponse(
    request: ResponseRequest,
    signal?: AbortSignal,
  ): AsyncGenerator<TextDelta, ResponseOutcome, void> {
    const controller = new AbortController();
    const handleAbort = (): void => controller.abort();
    signal?.addEventListener('abort', handleAbort);
    if (signal?.aborted === true) handleAbort();
    const progress = Progresses.createProgress();
    let outcome: ResponseOutcome = CANCELLED;
    try {
      outcome = yield* runAttempts(request, progress, controller.signal);
    } finally {
      signal?.removeEventListener('abort', handleAbort);
      // Closes the connection that is still open if the consumer returned early.
      controller.abort();
      const { responseId } = progress.getPosition();
      if (outcome === CANCELLED && responseId !== undefined) {
        await connection.cancelResponse(responseId);
      }
    }
    return outcome;
  }

  return { streamResponse: runResponse, close: () => dispatcher.destroy() };
}

interface AttemptResult {
  readonly outcome: ResponseOutcome | undefined;
  /** Applies only if `outcome` is undefined. */
  readonly failure: AttemptFailure;
}
