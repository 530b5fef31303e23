/** A caller's library: streams a response to its end over as many connections as it takes. */
import { setTimeout as startTimeout } from 'node:timers/promises';

import type { Clock } from '@sequoiarill/types';
import * as Undici from 'undici';

import * as Attempts from './attempts';
import type { Failure } from './attempts';
import * as Backoff from './backoff';
import * as Connections from './connection';
import type { ResponseRequest } from './connection';
import type { ResponseOutcome } from './outcomes';
import * as Progresses from './progress';
import type { Progress } from './progress';
import * as Reading from './reading';
import type { TextDelta } from './reading';

export interface ClientOptions {
  /** Such as `https://gateway.example:8443`, without a path. */
  readonly baseUrl: string;
  readonly apiKey: string;
  readonly backoff?: Partial<Backoff.BackoffSettings>;
  /** Silence on a stream after which it is taken for broken, in milliseconds. */
  readonly idleTimeoutMs?: number;
  /** Uniform in [0, 1). */
  readonly nextRandom?: () => number;
  readonly clock?: Pick<Clock, 'waitMs'>;
}

export interface Client {
  /**
   * Yields each piece of text once and in order, and returns how the answer ended. Returning early
   * from the generator, or aborting the signal, cancels the response.
   */
  readonly streamResponse: (
    request: ResponseRequest,
    signal?: AbortSignal,
  ) => AsyncGenerator<TextDelta, ResponseOutcome, void>;
  /** Closes its connections. */
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
  const bodyTimeout = options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
  const dispatcher = new Undici.Agent({ bodyTimeout });
  const connection = Connections.createConnection({ ...options, dispatcher });

  /** One connection; a refusal or a break is a failure of this attempt. */
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
    const { outcome, problem } = yield* Reading.readDeltas(opened.bytes, progress);
    return { outcome, failure: Attempts.buildBreak(problem) };
  }

  async function* runAttempts(
    request: ResponseRequest,
    progress: Progress,
    signal: AbortSignal,
  ): AsyncGenerator<TextDelta, ResponseOutcome, void> {
    let mayHaveRun = false;
    let attempt = 0;
    while (!signal.aborted) {
      const before = progress.getPosition().sequenceNumber;
      const { failure, outcome } = yield* runAttempt(request, progress, signal);
      if (outcome !== undefined) return outcome;
      if (signal.aborted) break;
      mayHaveRun ||= failure.mayHaveRun;
      attempt = progress.getPosition().sequenceNumber > before ? 1 : attempt + 1;
      if (Backoff.isExhausted(backoff, attempt, failure.retryAfterSeconds)) {
        return Attempts.buildGivenUp(failure, mayHaveRun);
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
      // A reader that returned early leaves a connection open.
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
  /** Used where there is no outcome. */
  readonly failure: Failure;
}
