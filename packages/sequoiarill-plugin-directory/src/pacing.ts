/** Keeps the calls of a loop apart when their answers come at once. */
import type { Clock } from '@sequoiarill/types';

/**
 * Failure: a call that is to wait for changes is answered at once without any, again and again, and the calls take the
 * whole processor time. A sound store or router answers it at the end of the wait, or with something new.
 */
const MIN_CALL_INTERVAL_MS = 100;

/** Waits until the next call is due after one that was made at `calledAtMs` and brought nothing. */
export async function waitForNextCall(
  clock: Pick<Clock, 'getNowMs' | 'waitMs'>,
  calledAtMs: number,
  signal: AbortSignal,
): Promise<void> {
  const leftMs = calledAtMs + MIN_CALL_INTERVAL_MS - clock.getNowMs();
  if (leftMs > 0) await clock.waitMs(leftMs, signal);
}
