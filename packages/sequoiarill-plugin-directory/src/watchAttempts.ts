/** Waits for the answer of a watch, and repeats the watch over new connections while none comes in time. */
import type { Clock, KeyValueStore, WatchEvent } from '@sequoiarill/types';

export interface WatchAnswer {
  readonly event: WatchEvent;
  /** Everything that the store held at this time is known with this answer. Monotonic milliseconds. */
  readonly confirmedAtMs: number;
  /** Number of the attempt that was answered, from 1. */
  readonly attempt: number;
}

export interface WatchAttemptsOptions {
  readonly store: Pick<KeyValueStore, 'watchPrefix' | 'renewConnections'>;
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly prefix: string;
  /** Called when an answer is overdue, before the next attempt; receives the number of attempts. */
  readonly reportOverdue: (attempts: number) => void;
}

export interface WatchAttempts {
  /** Returns undefined when all attempts have failed or the signal is aborted. */
  readonly watchOnce: (request: WatchRequest) => Promise<WatchAnswer | undefined>;
}

export interface WatchRequest {
  readonly fromRevision: number;
  /** How long the store may wait for changes, in milliseconds. */
  readonly waitMs: number;
  readonly maxAttempts: number;
  readonly signal: AbortSignal;
}

interface AttemptResult {
  readonly attempt: number;
  readonly answer: WatchAnswer | undefined;
}

/** A responding store answers within a few milliseconds after the wait, a slow one within hundreds. */
export const PATIENCE_MS = 250;
/**
 * Failure: a watch whose answer goes on without end holds all changes back. Changes are to be in force within 8 s; the largest
 * page takes this long over a link of 0.6 MB/s.
 */
export const MAX_ARRIVAL_MS = 4_000;
/** A repeated watch reports what is known at once: a longer wait would hide a silent connection again. */
const REPEATED_WAIT_MS = 1;

export function createWatchAttempts(options: WatchAttemptsOptions): WatchAttempts {
  const { store, clock, prefix } = options;

  /** Without changes, the store answers only after the whole wait; else it may have answered any time since. */
  function computeConfirmedAtMs(event: WatchEvent, sentAtMs: number, waitMs: number): number {
    const isEmpty = event.kind === 'changes' && event.changes.length === 0;
    const isWaitOver = clock.getNowMs() >= sentAtMs + waitMs;
    return isEmpty && isWaitOver ? sentAtMs + waitMs : sentAtMs;
  }

  async function sendAttempt(
    { fromRevision, waitMs }: Pick<WatchRequest, 'fromRevision' | 'waitMs'>,
    attempt: number,
    signal: AbortSignal,
    handleProgress: () => void,
  ): Promise<AttemptResult> {
    const sentAtMs = clock.getNowMs();
    const watch = store.watchPrefix(prefix, fromRevision, signal, { waitMs, handleProgress });
    const { value: event } = await watch.next();
    await watch.return();
    if (event === undefined) return { attempt, answer: undefined };
    const confirmedAtMs = computeConfirmedAtMs(event, sentAtMs, waitMs);
    return { attempt, answer: { event, confirmedAtMs, attempt } };
  }

  async function runAttempts(
    { fromRevision, waitMs, maxAttempts }: WatchRequest,
    signal: AbortSignal,
  ): Promise<WatchAnswer | undefined> {
    const pending = new Map<number, Promise<AttemptResult>>();
    let attempts = 0;
    let progressAtMs = Number.NEGATIVE_INFINITY;

    const handleProgress = () => {
      progressAtMs = clock.getNowMs();
    };

    /** A large answer over a slow link is not requested once more while its parts arrive. */
    async function waitUntilOverdue(attemptWaitMs: number): Promise<'overdue'> {
      const latestMs = clock.getNowMs() + attemptWaitMs + MAX_ARRIVAL_MS;
      let leftMs = attemptWaitMs + PATIENCE_MS;
      while (leftMs > 0 && !signal.aborted) {
        await clock.waitMs(leftMs, signal);
        leftMs = Math.min(progressAtMs + PATIENCE_MS, latestMs) - clock.getNowMs();
      }
      return 'overdue';
    }

    function startAttempt(attemptWaitMs: number): Promise<'overdue'> {
      attempts += 1;
      const request = { fromRevision, waitMs: attemptWaitMs };
      pending.set(attempts, sendAttempt(request, attempts, signal, handleProgress));
      return waitUntilOverdue(attemptWaitMs);
    }

    let overdue = startAttempt(waitMs);
    while (pending.size > 0) {
      const canRepeat = attempts < maxAttempts;
      const result = await Promise.race([...pending.values(), ...(canRepeat ? [overdue] : [])]);
      if (signal.aborted) return undefined;
      if (result === 'overdue') {
        options.reportOverdue(attempts);
        store.renewConnections();
        overdue = startAttempt(REPEATED_WAIT_MS);
      } else if (result.answer === undefined) pending.delete(result.attempt);
      else return result.answer;
    }
    return undefined;
  }

  return {
    async watchOnce(request) {
      const ended = new AbortController();
      const end = () => ended.abort();
      request.signal.addEventListener('abort', end, { once: true });
      const answer = await runAttempts(request, ended.signal);
      request.signal.removeEventListener('abort', end);
      end();
      return answer;
    },
  };
}
