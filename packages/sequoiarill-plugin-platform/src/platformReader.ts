/** One session of reading the platform: everything once, then watches and a confirmation a second. */
import type { Clock } from '@sequoiarill/types';

import type { FollowOutcome, SourceFollower } from './sourceFollower';

export interface PlatformReaderOptions {
  readonly followers: readonly SourceFollower[];
  readonly clock: Clock;
  /** Told the revision up to which every change is known. */
  readonly handleConfirmed: (revision: number) => void;
  readonly markAway: (isAway: boolean) => void;
  /** Called after everything was read, before it is told as confirmed. */
  readonly handleRead: () => Promise<void>;
}

export interface PlatformReader {
  readonly readOnce: () => Promise<FollowOutcome>;
  /** A watch brought something. */
  readonly handleChange: () => void;
  /** Runs until the signal is aborted or the duty is lost. */
  readonly runSession: (signal: AbortSignal, isAllowed: () => boolean) => Promise<void>;
}

/** Well below the age at which others take the reader for lost. */
const CONFIRM_INTERVAL_MS = 1_000;
/** After a change the confirmation comes early, since peers are told only what is confirmed. */
const EARLY_CONFIRM_MS = 200;
/** Only the holder of the duty asks at this pace while the platform is away. */
const READ_RETRY_MS = 500;

export function createPlatformReader(options: PlatformReaderOptions): PlatformReader {
  const { followers, clock, markAway } = options;
  let change = new AbortController();

  /** Asks all followers; what is confirmed for the whole is what the least of them confirms. */
  async function mergeOutcomes(
    readFollower: (follower: SourceFollower) => Promise<FollowOutcome>,
  ): Promise<FollowOutcome> {
    let revision = Number.POSITIVE_INFINITY;
    for (const follower of followers) {
      const outcome = await readFollower(follower);
      markAway(outcome.kind === 'unavailable');
      if (outcome.kind === 'unavailable') return outcome;
      revision = Math.min(revision, outcome.revision);
    }
    return { kind: 'confirmed', revision };
  }

  /** A second, or a fifth of it when something changed. */
  async function waitForNext(signal: AbortSignal): Promise<void> {
    change = new AbortController();
    await clock.waitMs(EARLY_CONFIRM_MS, signal);
    const isEnough = signal.aborted || change.signal.aborted;
    if (isEnough) return;
    await clock.waitMs(CONFIRM_INTERVAL_MS - EARLY_CONFIRM_MS, change.signal);
  }

  async function runConfirmations(signal: AbortSignal, isAllowed: () => boolean): Promise<void> {
    // One listener for the session; a combined signal for each wait would pile up on the long one.
    signal.addEventListener('abort', () => change.abort(), { once: true });
    while (!signal.aborted && isAllowed()) {
      await waitForNext(signal);
      if (signal.aborted || !isAllowed()) return;
      const outcome = await mergeOutcomes((follower) => follower.checkRevision());
      // The holder may have been paused while the answer was under way.
      if (outcome.kind === 'confirmed' && isAllowed()) options.handleConfirmed(outcome.revision);
    }
  }

  async function readOnce(): Promise<FollowOutcome> {
    const outcome = await mergeOutcomes((follower) => follower.readAll());
    if (outcome.kind === 'confirmed') await options.handleRead();
    return outcome;
  }

  async function readFirst(signal: AbortSignal, isAllowed: () => boolean): Promise<void> {
    let outcome = await readOnce();
    while (outcome.kind === 'unavailable' && !signal.aborted && isAllowed()) {
      await clock.waitMs(READ_RETRY_MS, signal);
      outcome = await readOnce();
    }
    if (outcome.kind === 'confirmed' && isAllowed()) options.handleConfirmed(outcome.revision);
  }

  return {
    readOnce,
    handleChange: () => change.abort(),
    async runSession(signal, isAllowed) {
      await readFirst(signal, isAllowed);
      const stop = new AbortController();
      const watched = AbortSignal.any([signal, stop.signal]);
      const watches = followers.map((follower) => follower.runWatch(watched));
      await runConfirmations(signal, isAllowed);
      stop.abort();
      await Promise.all(watches);
    },
  };
}
