/**
 * Keeps a loop from going on without time passing.
 *
 * Failure: a loop trusts that something in it waits. Where its calls are answered at once, its waits end at once or its
 * clock stands still, it takes the whole processor time, and if all of that happens within one turn of the event loop, the
 * process does nothing else ever again.
 */
import type { Clock } from '@sequoiarill/types';

export interface RoundPacer {
  /** Must be awaited once a round. Waits where rounds follow each other too fast. */
  readonly waitForRound: () => Promise<void>;
}

/** Rounds that may follow each other at once. */
const BURST_ROUNDS = 8;
/** Time between further rounds. */
const ROUND_INTERVAL_MS = 5;
/** Bounds the wait where the clock stands still. */
const MAX_WAIT_MS = 200;

export function createRoundPacer(clock: Pick<Clock, 'getNowMs' | 'waitMs'>): RoundPacer {
  /** Time at which the rounds so far would have begun at their interval, less the burst. */
  let dueMs = Number.NEGATIVE_INFINITY;

  return {
    async waitForRound() {
      const nowMs = clock.getNowMs();
      dueMs = Math.max(dueMs, nowMs - BURST_ROUNDS * ROUND_INTERVAL_MS) + ROUND_INTERVAL_MS;
      // Without a signal: one that is aborted would end the wait at once.
      if (dueMs > nowMs) await clock.waitMs(Math.min(MAX_WAIT_MS, dueMs - nowMs));
    },
  };
}
