/** Reads the platform in sessions: a full read, then watches and one confirming read per second. */
import type { Clock } from '@sequoiarill/types';

import type { ReadOutcome, SourceWatcher } from './sourceWatcher';

export interface PlatformReaderOptions {
  readonly watchers: readonly SourceWatcher[];
  readonly clock: Clock;
  /** Receives the revision up to which every change is known. */
  readonly handleConfirmed: (revision: number) => void;
  readonly markUnavailable: (isUnavailable: boolean) => void;
  /** Called after a full read, before its revision is reported as confirmed. */
  readonly handleRead: () => Promise<void>;
}

export interface PlatformReader {
  readonly readOnce: () => Promise<ReadOutcome>;
  /** Call it when a watch has delivered changes. */
  readonly handleChange: () => void;
  /** Runs until the signal is aborted or `isAllowed` returns false because the role was lost. */
  readonly runSession: (signal: AbortSignal, isAllowed: () => boolean) => Promise<void>;
}

/** Well below the age at which other routers consider the reader lost. */
const CONFIRM_INTERVAL_MS = 1_000;
/** Confirms earlier after a change, because peers receive only confirmed changes. */
const EARLY_CONFIRM_MS = 200;
/** While the platform is unavailable, only the router with the reader role retries at this rate. */
const READ_RETRY_MS = 500;

export function createPlatformReader(options: PlatformReaderOptions): PlatformReader {
  const { watchers, clock, markUnavailable } = options;
  let changeNotice = new AbortController();

  /** Reads with all watchers. The confirmed revision is the lowest that one of them confirms. */
  async function mergeOutcomes(
    readSource: (watcher: SourceWatcher) => Promise<ReadOutcome>,
  ): Promise<ReadOutcome> {
    let revision = Number.POSITIVE_INFINITY;
    for (const watcher of watchers) {
      const outcome = await readSource(watcher);
      markUnavailable(outcome.kind === 'unavailable');
      if (outcome.kind === 'unavailable') return outcome;
      revision = Math.min(revision, outcome.revision);
    }
    return { kind: 'confirmed', revision };
  }

  /** Waits for one second, or a fifth of it after a change. */
  async function waitForNext(signal: AbortSignal): Promise<void> {
    changeNotice = new AbortController();
    await clock.waitMs(EARLY_CONFIRM_MS, signal);
    const isDone = signal.aborted || changeNotice.signal.aborted;
    if (isDone) return;
    await clock.waitMs(CONFIRM_INTERVAL_MS - EARLY_CONFIRM_MS, changeNotice.signal);
  }

  async function runConfirmations(signal: AbortSignal, isAllowed: () => boolean): Promise<void> {
    // One listener per session: a combined signal per wait would accumulate listeners on `signal`.
    signal.addEventListener('abort', () => changeNotice.abort(), { once: true });
    while (!signal.aborted && isAllowed()) {
      await waitForNext(signal);
      if (signal.aborted || !isAllowed()) return;
      const outcome = await mergeOutcomes((watcher) => watcher.checkRevision());
      // The role may have been lost, for example by a process pause, while the response was
      // pending.
      if (outcome.kind === 'confirmed' && isAllowed()) options.handleConfirmed(outcome.revision);
    }
  }

  async function readOnce(): Promise<ReadOutcome> {
    const outcome = await mergeOutcomes((watcher) => watcher.readAll());
    if (outcome.kind === 'confirmed') await options.handleRead();
    return outcome;
  }

  async function readInitial(signal: AbortSignal, isAllowed: () => boolean): Promise<void> {
    let outcome = await readOnce();
    while (outcome.kind === 'unavailable' && !signal.aborted && isAllowed()) {
      await clock.waitMs(READ_RETRY_MS, signal);
      outcome = await readOnce();
    }
    if (outcome.kind === 'confirmed' && isAllowed()) options.handleConfirmed(outcome.revision);
  }

  return {
    readOnce,
    handleChange: () => changeNotice.abort(),
    async runSession(signal, isAllowed) {
      await readInitial(signal, isAllowed);
      const stop = new AbortController();
      const watchSignal = AbortSignal.any([signal, stop.signal]);
      const watches = watchers.map((watcher) => watcher.runWatch(watchSignal));
      await runConfirmations(signal, isAllowed);
      stop.abort();
      await Promise.all(watches);
    },
  };
}
